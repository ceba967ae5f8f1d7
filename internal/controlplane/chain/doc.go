// Package chain replicates the log of the control plane over the control nodes and lets them agree on their membership.
//
// The log is replicated by chain replication (van Renesse and Schneider, OSDI 2004): the head numbers entries, each member
// syncs an entry before it forwards it to its successor, and an entry is committed once the tail has synced it. The tail
// alone serves reads and holds leases. A View names the voters and the replicas in chain order; the next view is decided by one
// instance of single-decree Paxos (Lamport, "Paxos Made Simple", 2001) among the voters of the last one. Its phases are
// prepare, promise, accept and accepted, and its ballots are persisted.
//
// Node is a deterministic state machine: Step takes an Event with its time and returns Effects (messages to send, records to
// persist, entries that were applied). It opens no socket or file and reads no clock. Package controlnode drives it, and
// package storage persists its records; the simulator and the state space exploration in its tests drive it too.
//
// Invariants:
//   - An entry is acknowledged only when it is synced on every replica of a view that accepts writes
//     (Options.MinReplicas replicas in Options.MinZones zones).
//   - A control node that restarts is a new incarnation. It has lost its position in the chain and rejoins from a snapshot, so
//     that records lost by its disk cannot go unnoticed in the chain.
//   - Only a member that is caught up, that is, holds its predecessor's log as of the start of the view, proposes views.
//   - A tail answers only under a lease from a majority of the voters, and a voter that granted a lease accepts no view without
//     that tail until the lease has ended or was released.
package chain
