package chain

import "petreltide/internal/controlplane/statemachine"

// Event is one input of Node.Step: Tick, MessageReceived, Persisted, PersistRefused, ChangeSubmitted, AddrsLearned,
// ConnectionRefused or ShutdownRequested.
type Event interface{ isEvent() }

// Tick advances the time; a Node checks all its timers on it.
type Tick struct{}

// MessageReceived is a message from another control node. Step retains no pointer to the Msg itself.
type MessageReceived struct{ Msg *Msg }

// Persisted reports that the Persist with this sequence number is synced.
type Persisted struct {
	// Seq is the Seq of the Persist, or OpeningPersistSeq.
	Seq uint64
	// LogBytes is the size of the log on the disk after that.
	LogBytes int64
}

// PersistRefused reports that the disk refuses the Persist with this sequence number for now. The caller of Step retries it
// until it is synced, and then reports Persisted.
type PersistRefused struct{ Seq uint64 }

// ChangeSubmitted is a change to be replicated. A node that is not the head sends it to the head.
type ChangeSubmitted struct{ Change *statemachine.Change }

// AddrsLearned lists addresses of control nodes, to which hellos are sent from now on.
type AddrsLearned struct{ Addrs []string }

// ConnectionRefused reports that the address of a control node refused a connection: the process that listened there has ended.
type ConnectionRefused struct{ Addr string }

// ShutdownRequested asks this process to shut down. It hands over its position in the chain and its vote first.
type ShutdownRequested struct{}

func (Tick) isEvent()              {}
func (MessageReceived) isEvent()   {}
func (Persisted) isEvent()         {}
func (PersistRefused) isEvent()    {}
func (ChangeSubmitted) isEvent()   {}
func (AddrsLearned) isEvent()      {}
func (ConnectionRefused) isEvent() {}
func (ShutdownRequested) isEvent() {}
