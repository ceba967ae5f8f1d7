// Package gateway is the host of a front machine, a gateway: it listens, owns connections and timers, runs the
// decisions of package scheduling on one goroutine, and follows the control nodes through package controlclient. The
// command line and the adapter of the users' platform open it. It never decides where a request goes, and it keeps
// nothing on disk.
//
// A call comes by a Listener or by POST /v1/calls (calls.go), waits for decisions (run.go) and is sent by its Exchange:
// nativeExchange for this product's interface (attempts.go), the one of package platform for the users'. The decider, the
// subscriber and the informer belong to one actor; what other goroutines read of them is in atomics of Host.
package gateway
