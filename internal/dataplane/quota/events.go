package quota

import (
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
)

// Limit is the request rate limit of a tenant: the sustained rate, and the number of requests that may exceed it in a burst.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Event is an input of Client. All events are declared in this file.
type Event interface{ isEvent() }

// RequestArrived reports a new request of a tenant with a limit. The request gets exactly one Decision, unless it is canceled
// before.
type RequestArrived struct {
	ID     string
	Tenant string
	Limit  Limit
	// MaxWaitUs is how long the request may wait for its decision, in microseconds; values above maxDecisionUs count as
	// maxDecisionUs.
	MaxWaitUs int64
}

// RequestCanceled reports that the client of a request has disconnected before the decision.
type RequestCanceled struct{ ID string }

// ResponseReceived delivers the response to the query of this number.
type ResponseReceived struct {
	Query    uint64
	Response *wire.QuotaResponse
}

// QueryFailed reports that a query got no response: its connection was refused or broken, or it timed out.
type QueryFailed struct{ Query uint64 }

// ViewReceived delivers a view of the chain. A view that is not newer than the current one is ignored.
type ViewReceived struct{ View membership.View }

// Tick reports that time has passed.
type Tick struct{}

func (RequestArrived) isEvent()   {}
func (RequestCanceled) isEvent()  {}
func (ResponseReceived) isEvent() {}
func (QueryFailed) isEvent()      {}
func (ViewReceived) isEvent()     {}
func (Tick) isEvent()             {}

// Effect is an action that the caller of Client.Step has to perform: a Query or a Decision.
type Effect interface{ isEffect() }

// Query is a request to a control node. The caller responds with ResponseReceived or QueryFailed within TimeoutUs, in
// microseconds.
type Query struct {
	Number    uint64
	Addr      string
	TimeoutUs int64
	Request   *wire.QuotaRequest
}

// Decision is the verdict on a request. Each request gets at most one.
type Decision struct {
	ID      string
	Verdict Verdict
	// RetryMs is the time in milliseconds after which a retry may be admitted; 0 if the request is admitted.
	RetryMs int64
}

func (Query) isEffect()    {}
func (Decision) isEffect() {}

// Verdict is the outcome of a request.
type Verdict int

const (
	// Admitted means that the request may be sent to a replica.
	Admitted Verdict = iota
	// OverLimit means that the request exceeds the limit of its tenant.
	OverLimit
	// Unanswered means that no control node granted or refused the request in time; it may be within the limit.
	Unanswered
)
