// Package controlnode is the host of a core machine: it drives the chain, the ledger, the controller and the feed with
// events from sockets, timers and the disk, and serves operators, gateways and the other control nodes. The command
// line and the adapter of the users' platform open it; its Core, the part without sockets, is driven by the
// simulator as well. It never acknowledges a change that the chain has not committed.
package controlnode
