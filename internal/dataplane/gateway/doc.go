// Package gateway is the host of a front machine, a gateway: it listens, owns connections and timers, runs the
// decisions of package scheduling on one goroutine, and follows the control nodes through package controlclient. The
// command line and the adapter of the users' platform open it. It never decides where a request goes, and it keeps
// nothing on disk.
package gateway
