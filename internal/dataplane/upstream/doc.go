// Package upstream pools a gateway's connections to replicas. It opens connections within limits, hands each one out for one
// request at a time, and keeps idle connections for reuse. Package platform uses it. It never retries a request; whether a retry is
// allowed is up to the caller.
package upstream
