package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// Effect is an action that the caller of Node.Step has to carry out: Send, Persist, Applied, ViewInstalled, ChangeRejected,
// Fenced or MessageRejected. Effects are carried out in the order in which Step returns them.
type Effect interface{ isEffect() }

// Send is a message to be sent to an address. It may be lost, delayed or reordered.
type Send struct {
	Addr string
	Msg  Msg
}

// Persist is written to the disk and synced as one unit before it is reported by Persisted. A snapshot is stored separately
// from the log, which can be appended to meanwhile.
type Persist struct {
	// Seq is the sequence number of the Persist within its process, from OpeningPersistSeq + 1.
	Seq uint64
	// Records are appended to the log; there may be none.
	Records []Record
	// Snapshot replaces the stored snapshot; nil keeps that.
	Snapshot *Snapshot
	// Compact means that Records and Snapshot replace the whole log before them, which is deleted once Snapshot is stored.
	Compact bool
}

// Applied is an entry that was committed and applied, with its outcome.
type Applied struct {
	Entry   Entry
	Outcome statemachine.Outcome
}

// ViewInstalled is the view that this node has installed.
type ViewInstalled struct{ View View }

// ChangeRejected is a submitted change that was not appended to the log, with a human-readable reason.
type ChangeRejected struct {
	// ID is the ID of the change.
	ID     string
	Reason string
}

// Fenced reports that a newer process of the same member has permanently replaced this one.
type Fenced struct{ By Start }

// MessageRejected reports why a message was discarded: it belongs to another system, has a later version or is malformed.
type MessageRejected struct{ Fault *fault.Fault }

func (Send) isEffect()            {}
func (Persist) isEffect()         {}
func (Applied) isEffect()         {}
func (ViewInstalled) isEffect()   {}
func (ChangeRejected) isEffect()  {}
func (Fenced) isEffect()          {}
func (MessageRejected) isEffect() {}

// OpeningPersistSeq is the sequence number of the sync of the records that were read back from the disk at the start of the
// process. A node numbers its own Persists from the one after it.
const OpeningPersistSeq uint64 = 1
