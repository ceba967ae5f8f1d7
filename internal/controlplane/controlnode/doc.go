// Package controlnode is a control node: it drives the chain, the replicated state machine, the controller and the
// distribution to gateways with events from sockets, timers and the disk, and serves operators, gateways and the other
// control nodes. The command line and the adapter of the users' platform open it.
//
// Core is its reducer, the part without sockets, which the simulator drives as well: Step takes an Event with its time and
// returns Effects. Host carries them out on one actor. A control node never acknowledges a change that the chain has not
// committed.
package controlnode
