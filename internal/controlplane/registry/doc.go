// Package registry is the soft state of the replicas that make themselves known by heartbeats: newest first by their
// own count, told among the control nodes, and unreachable once silent. Package controlnode drives it and the controller
// and the feed read it. It is never written to the ledger and decides no placement.
package registry
