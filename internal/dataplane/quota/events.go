package quota

import (
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
)

// Limit is what a tenant may ask for: so many requests a second, and a burst above that.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Event is one thing that has happened. The types of this file that have the method isEvent are all there are.
type Event interface{ isEvent() }

// Requested is a request that has arrived, of a tenant with a limit. It gets one Decision, unless it is cancelled.
type RequestArrived struct {
	ID     string
	Tenant string
	Limit  Limit
	// MaxWaitUs is how long it may wait for its decision, in microseconds; at most maxDecisionUs counts.
	MaxWaitUs int64
}

// Canceled says that the client of a request has left before its decision.
type RequestCanceled struct{ ID string }

// Answered brings the answer to the ask of this number.
type ResponseReceived struct {
	Query    uint64
	Response *wire.QuotaResponse
}

// Failed says that the ask of this number got no answer: its connection was refused or broke, or its time is over.
type QueryFailed struct{ Query uint64 }

// ViewReceived brings a view of the chain; one that is not newer is ignored.
type ViewReceived struct{ View membership.View }

// Tick says that time has passed.
type Tick struct{}

func (RequestArrived) isEvent()   {}
func (RequestCanceled) isEvent()  {}
func (ResponseReceived) isEvent() {}
func (QueryFailed) isEvent()      {}
func (ViewReceived) isEvent()     {}
func (Tick) isEvent()             {}

// Effect is one thing to be done: Ask or Decision.
type Effect interface{ isEffect() }

// Ask sends a question to a control node. Answered or Failed comes of it within its timeout.
type Query struct {
	Number    uint64
	Addr      string
	TimeoutUs int64
	Request   *wire.QuotaRequest
}

// Decision says what becomes of a request, once.
type Decision struct {
	ID      string
	Verdict Verdict
	// RetryMs is when another try may be admitted, of a request that is not.
	RetryMs int64
}

func (Query) isEffect()    {}
func (Decision) isEffect() {}

// Verdict is what becomes of a request.
type Verdict int

const (
	// Admitted requests may be sent to a replica.
	Admitted Verdict = iota
	// OverLimit requests are beyond their tenant's limit.
	OverLimit
	// Unanswered requests may be below it, but nobody could say so in time.
	Unanswered
)
