// Package upstream keeps a gateway's connections to replicas: it opens them within bounds, sends one request on
// each at a time, reads its answer, and keeps idle ones for the next. The adapter of the users' platform calls it.
// It never sends a request a second time; whether that may be done is its caller's question.
package upstream
