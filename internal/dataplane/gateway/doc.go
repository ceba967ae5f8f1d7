// Package gateway implements the gateway process. It owns the listeners, connections and timers, runs the reducers of package
// scheduling on one goroutine, and follows the control nodes through package controlclient. The command line and package
// platform create it. It makes no routing decisions itself and keeps nothing on disk.
//
// A call arrives through a Listener or through POST /v1/calls (calls.go), waits for decisions (run.go), and is sent by its
// Exchange: nativeExchange for the native interface (attempts.go), or the implementation of package platform for the users'
// platform. The decider, the subscriber and the informer are owned by one actor; state of theirs that other goroutines read is
// kept in atomic fields of Host.
package gateway
