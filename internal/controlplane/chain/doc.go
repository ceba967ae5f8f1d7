// Package chain replicates the log of the control plane over the control nodes and agrees on who they are.
//
// The log is replicated by chain replication (van Renesse and Schneider, OSDI 2004): the head numbers entries, each member
// syncs an entry before it forwards it to its successor, and an entry is committed once the tail has synced it. Reads and
// leases have one place, the tail. Who is in the chain and in which order is a View; the next view is one single-decree
// decision of Paxos (Lamport, "Paxos Made Simple", 2001) among the voters of the last one, with ballots that are kept on
// disk: prepare, promise, accept, accepted.
//
// Node is a reducer: Step takes an Event with its time and returns Effects (messages to send, records to persist, entries
// that were applied). It opens no socket or file and reads no clock. Package controlnode drives it, package storage persists
// its records; the simulator and the explorer in its tests drive it too.
//
// Invariants:
//   - An entry is acknowledged only when it is synced on every member of a view that accepts writes
//     (Options.MinReplicas members in Options.MinZones zones).
//   - A control node that restarts is a new incarnation. It has lost its place in the chain and comes back by a snapshot, so
//     that nothing its disk forgot stands in the chain unnoticed.
//   - Only a member that is caught up, with its predecessor's log as of the view's start, proposes views.
//   - A tail answers only under a lease from a majority of the voters, and a voter that gave a lease accepts no view without
//     that tail until the lease has ended or was released.
package chain
