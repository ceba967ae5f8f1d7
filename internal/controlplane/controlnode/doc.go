// Package controlnode implements a control node. It feeds events from sockets, timers and the disk to chain replication, the
// replicated state machine, the controller and the distribution of state to gateways, and serves operators, gateways and the
// other control nodes. The command line and the platform adapter open it.
//
// Core is the deterministic part, without I/O; the simulator drives it as well: Step takes an Event with its time and returns
// Effects. Host runs a Core on one actor and executes its effects. A control node never acknowledges a change that the chain
// has not committed.
package controlnode
