package chain

import "petreltide/internal/controlplane/statemachine"

// Entry is one change in the log, with the number of the view whose head appended it.
type Entry struct {
	Index  uint64              `json:"index"`
	View   uint64              `json:"view"`
	Change statemachine.Change `json:"change"`
}

// Snapshot is the state as of an index. State must not be modified once it is part of a Snapshot.
type Snapshot struct {
	Index uint64              `json:"index"`
	View  uint64              `json:"view"`
	State *statemachine.State `json:"state,omitempty"`
}

// Record is one record of the persisted log. NewNode replays the records in order; each has one field set.
type Record struct {
	Owner            *Owner            `json:"seal,omitempty"`
	View             *View             `json:"view,omitempty"`
	PromisedBallot   *Ballot           `json:"promised,omitempty"`
	AcceptedProposal *AcceptedProposal `json:"accepted,omitempty"`
	Entry            *Entry            `json:"entry,omitempty"`
	Snapshot         *Snapshot         `json:"copy,omitempty"`
	CaughtUpView     uint64            `json:"whole,omitempty"`
	Bootstrap        *Bootstrap        `json:"founding,omitempty"`
	// Incarnation is a process that has run on this disk since the last View record before it.
	Incarnation string `json:"incarnation,omitempty"`
}

// Bootstrap lists the addresses of the founders of the chain, as configured at the first start of the whole fleet.
type Bootstrap struct {
	Addrs []string `json:"addrs"`
}

// Owner is the member that a disk belongs to.
type Owner struct {
	MemberID string `json:"identity"`
	Name     string `json:"name"`
}
