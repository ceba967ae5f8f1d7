// Package membership defines the identities of the control nodes, the views of their replication chain, and the ring on
// which gateways monitor each other. Control nodes decide on views (package chain) and send them; gateways follow them to
// find the tail, which grants leases. The package holds values and their accessors, and makes no decisions.
//
// Sources: chain replication (van Renesse and Schneider, 2004) for head, tail and order; single-decree Paxos for the voters
// of a view.
package membership
