package scheduling

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// Event is an input to a Decider. The types in this file that have the method isEvent are all its implementations.
type Event interface{ isEvent() }

// CallArrived passes a new call to the decider, which owns the unexported fields of the call from then on.
type CallArrived struct{ Call *Call }

// AttemptEnded reports the outcome of an attempt. Call and Attempt are the IDs from its AttemptStart.
type AttemptEnded struct {
	Call    string
	Attempt string
	Outcome Outcome
}

// CallCanceled reports that the client has disconnected. Call is the ID of its call.
type CallCanceled struct{ Call string }

// SnapshotReceived carries a new snapshot. A snapshot older than the decider's current one is ignored.
type SnapshotReceived struct{ Snapshot *Snapshot }

// LeaseExtended extends the lease, the time until which a gateway in declared mode may start attempts. UntilUs is
// in microseconds of this process's clock. A lease is never shortened.
type LeaseExtended struct{ UntilUs int64 }

// DrainStarted begins a graceful shutdown. The gateway reports that it is not ready, and queued calls are still served. A
// new call in routed mode is served only if a replica can take it at once; a new call in declared mode is refused.
type DrainStarted struct{}

// DrainEnded ends the graceful shutdown. Calls still queued are refused, because the process exits before it could serve them.
type DrainEnded struct{}

// Tick reports that time has passed.
type Tick struct{}

func (CallArrived) isEvent()      {}
func (AttemptEnded) isEvent()     {}
func (CallCanceled) isEvent()     {}
func (SnapshotReceived) isEvent() {}
func (LeaseExtended) isEvent()    {}
func (DrainStarted) isEvent()     {}
func (DrainEnded) isEvent()       {}
func (Tick) isEvent()             {}

// Effect is an action that the caller of Step must carry out: *AttemptStart, *CallFailed, *CallFinished, CancelAttempt or
// CallUnplaced. Each is either empty or the size of a pointer, so that storing it in an Effect allocates nothing.
type Effect interface{ isEffect() }

// CancelAttempt asks for the current attempt of a call to be canceled. An AttemptEnded for that attempt must still follow.
type CancelAttempt struct{ Call *Call }

// CallUnplaced reports that a new routed call was queued because no replica could take it, for example because none has its
// model loaded. The next report should be sent without delay.
type CallUnplaced struct{}

func (*AttemptStart) isEffect() {}
func (*CallFailed) isEffect()   {}
func (*CallFinished) isEffect() {}
func (CancelAttempt) isEffect() {}
func (CallUnplaced) isEffect()  {}

// CallFinished reports that the last attempt of a call has ended, and its outcome.
type CallFinished struct {
	Call    *Call
	Outcome Outcome
}

// AttemptStart asks for a new attempt: Call is to be sent to one incarnation of one replica. DeadlineUs is in microseconds
// of this process's clock. GrantNumber identifies the controller's grant of attempt numbers to this gateway that the attempt
// number comes from; 0 in routed mode, which needs no grants.
type AttemptStart struct {
	Call        *Call
	Attempt     string
	GrantNumber uint64
	Replica     string
	Addr        string
	Incarnation string
	Revision    uint64
	DeadlineUs  int64
	// Route, Service and Priority hold the values at the time of the decision. A later declaration changes the values of
	// the call, not these. Priority 0 is the most urgent.
	Route    *configuration.Route
	Service  string
	Priority int
	Kind     RequestKind
	// EstimatedFirstByteMs is the estimated time from the start of the attempt to its first byte. Running is the number of
	// this gateway's other attempts open at the replica.
	EstimatedFirstByteMs float64
	Running              int
}

// CallFailed answers a call that has no open attempt and will not get another one.
type CallFailed struct {
	Call  *Call
	Fault *fault.Fault
}
