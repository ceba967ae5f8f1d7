package scheduling

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// Event is one thing that has happened to the gateway. The types of this file that have the method isEvent are all there are.
type Event interface{ isEvent() }

// CallArrived hands a new call to the decider, which owns its unexported fields from then on.
type CallArrived struct{ Call *Call }

// AttemptEnded says how an attempt ended. Call and Attempt are the IDs that AttemptStart gave.
type AttemptEnded struct {
	Call    string
	Attempt string
	Outcome Outcome
}

// CallCanceled says that the client of a call, named by its ID, has left.
type CallCanceled struct{ Call string }

// SnapshotReceived brings a configuration; one that is older than the decider's own is ignored.
type SnapshotReceived struct{ Snapshot *Snapshot }

// LeaseExtended says until when, in microseconds of this process's clock, a gateway of the declared platform may start
// attempts. A lease is never shortened.
type LeaseExtended struct{ UntilUs int64 }

// DrainStarted begins a graceful shutdown: readiness fails, queued calls go on, and a new call is served only if a replica
// can take it at once (routed), or refused (declared).
type DrainStarted struct{}

// DrainEnded ends it: what is still queued is refused, as nobody will be here to answer it.
type DrainEnded struct{}

// Tick says that time has passed.
type Tick struct{}

func (CallArrived) isEvent()      {}
func (AttemptEnded) isEvent()     {}
func (CallCanceled) isEvent()     {}
func (SnapshotReceived) isEvent() {}
func (LeaseExtended) isEvent()    {}
func (DrainStarted) isEvent()     {}
func (DrainEnded) isEvent()       {}
func (Tick) isEvent()             {}

// Effect is one thing to be done by whoever drives the decider: *AttemptStart, *CallFailed, *CallFinished, CancelAttempt
// or CallUnplaced. All of them are as wide as a pointer or empty, so that none is allocated beyond what it points to.
type Effect interface{ isEffect() }

// CancelAttempt ends the attempt that a call has under way; its AttemptEnded is still to come.
type CancelAttempt struct{ Call *Call }

// CallUnplaced says that a call has begun to wait for what no replica has loaded, so that a report should not wait.
type CallUnplaced struct{}

func (*AttemptStart) isEffect() {}
func (*CallFailed) isEffect()   {}
func (*CallFinished) isEffect() {}
func (CancelAttempt) isEffect() {}
func (CallUnplaced) isEffect()  {}

// CallFinished says that an attempt was the last one of its call, and how it ended.
type CallFinished struct {
	Call    *Call
	Outcome Outcome
}

// AttemptStart begins an attempt: the call is sent to one incarnation of one replica.
type AttemptStart struct {
	Call        *Call
	Attempt     string
	GrantNumber uint64
	Replica     string
	Addr        string
	Incarnation string
	Revision    uint64
	DeadlineUs  int64
	// Route, Service and Priority are those of the decision; a later declaration changes those of the call, not these.
	// Priority is 0 for the most urgent.
	Route    *configuration.Route
	Service  string
	Priority int
	Kind     RequestKind
	// EstimatedFirstByteMs is when the first piece was expected, Running what was known to run there.
	EstimatedFirstByteMs float64
	Running              int
}

// CallFailed answers a call that has no attempt and gets none any more.
type CallFailed struct {
	Call  *Call
	Fault *fault.Fault
}
