// Package membership says who the control nodes are: their identities, the views of their replication chain, and the ring
// on which gateways watch each other. Control nodes decide views (package chain) and send them; gateways follow them to
// find the tail, which gives leases. It holds values and what can be read off them, and decides nothing.
//
// Sources: chain replication (van Renesse and Schneider, 2004) for head, tail and order; single-decree Paxos for the voters
// of a view.
package membership
