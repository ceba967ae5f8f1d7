package scheduling

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// Event is one thing that has happened; all its fields but NowUs and one are left out.
type Event struct {
	NowUs    int64
	Arrived  *Call
	Ended    *AttemptEnded
	Gone     string
	Snapshot *Snapshot
	LeaseUs  int64
	Drain    bool
	// Close ends a drain: what still waits is refused, as nobody will be here to answer it.
	Close bool
}

// AttemptEnded says how an attempt ended.
type AttemptEnded struct {
	Call    string
	Attempt string
	Outcome Outcome
}

// Effect is one thing to be done; one of its fields is set.
type Effect struct {
	Start  *AttemptStart
	Give   *CallFailed
	Over   *CallFinished
	Cancel string
	// Unplaced: a call has begun to wait for what no replica holds.
	Unplaced bool
}

// CallFinished says that an attempt was the last one; only a call that may be resumed gets another.
type CallFinished struct {
	Call    *Call
	Outcome Outcome
}

// AttemptStart begins an attempt: the call is sent to one incarnation of one replica.
type AttemptStart struct {
	Call        *Call
	Attempt     string
	Ticket      uint64
	Replica     string
	Addr        string
	Incarnation string
	Revision    uint64
	DeadlineUs  int64
	// Route and Service are those of the decision; a later declaration changes those of the call, not these.
	Route   *configuration.Route
	Service string
	Kind    RequestKind
	// EstimatedFirstByteMs is when the first piece was expected, Running what was known to run there.
	EstimatedFirstByteMs float64
	Running              int
}

// CallFailed answers a call that has no attempt and gets none any more.
type CallFailed struct {
	Call  *Call
	Fault *fault.Fault
}
