package scheduling

import "petreltide/internal/api/configuration"

// RequestKind determines how often a request may run.
type RequestKind uint8

const (
	// Idempotent requests may run any number of times, until a byte of a response has reached the client.
	Idempotent RequestKind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests are answered with events and may run at most once.
	Streaming
	// ResumableStreaming requests may run again, from the last event that has reached the client.
	ResumableStreaming

	requestKinds
)

// KindOf returns the kind of the requests of a route.
func KindOf(r *configuration.Route) RequestKind {
	switch {
	case r.RetryClass == configuration.Streaming && r.Resumable:
		return ResumableStreaming
	case r.RetryClass == configuration.Streaming:
		return Streaming
	case r.RetryClass == configuration.Idempotent:
		return Idempotent
	}
	return NonIdempotent
}

// Retryable reports whether requests of this kind may run more than once.
func (k RequestKind) Retryable() bool { return k == Idempotent || k == ResumableStreaming }

// Observation is what the sender of a request observed at one replica.
type Observation uint8

const (
	// NothingSent means that no connection was established, or no byte of the request was written.
	NothingSent Observation = iota
	// RouteWithdrawn means that a connection was established, but the newest declaration no longer routes the request to the replica.
	RouteWithdrawn
	// Rejected is a response in which the replica states that it has not run the request.
	Rejected
	// ModelMissing means that the addressed incarnation states that it does not have the requested model or adapter.
	ModelMissing
	// OtherIncarnation means that another incarnation or another replica has the address, and has not run the request.
	OtherIncarnation
	// NoResponseBeforeDeadline means that the request was sent, at least in part, and no response came before its deadline.
	NoResponseBeforeDeadline
	// ClosedBeforeResponse means that the request was sent, at least in part, and the connection ended before a response header.
	ClosedBeforeResponse
	// MalformedResponse means that the bytes received form no response, or only responses to other requests.
	MalformedResponse
	// UnstampedSuccess is a success response without the replica's stamp.
	UnstampedSuccess
	// TruncatedResponse means that the response ended early or became unreadable before any of it was forwarded.
	TruncatedResponse
	// OversizedResponse means that the response is larger than this process buffers.
	OversizedResponse
	// UnconfirmedRejection is a status that implies that nothing has run, without the replica's confirmation.
	UnconfirmedRejection
	// ErrorResponse is any other complete response that is not a success, the first one for this request.
	ErrorResponse
	// ErrorResponseRepeated is such a response after an earlier one was withheld, or on the only attempt that the route allows.
	ErrorResponseRepeated
	// CompleteResponse is a complete success response with the replica's stamp.
	CompleteResponse
	// StreamEnded means that a stream reached the end that the replica marked.
	StreamEnded
	// StreamInterrupted means that a stream ended early, or its events came out of order, after an event from which it can be resumed.
	StreamInterrupted
	// StreamInterruptedUnresumable is the same without an event that tells from where to resume having reached the client.
	StreamInterruptedUnresumable
	// StreamExpired means that a stream had not ended at the request's deadline.
	StreamExpired
	// NonStreamResponse is a response that is not a stream where a stream was to be resumed.
	NonStreamResponse
	// ClientDisconnected means that the client accepted no more bytes.
	ClientDisconnected
	// MigratedAway means that this process canceled the attempt to continue it at another replica.
	MigratedAway

	observations
)

// ClientResponse is what the client receives if its request is not retried.
type ClientResponse uint8

const (
	// RespondRejected states that the request has not run. If an earlier attempt of it may have run, it becomes RespondFailed.
	RespondRejected ClientResponse = iota
	// RespondFailed is a failure that leaves open whether the request has run, or an aborted response if one has begun.
	RespondFailed
	// RespondExpired is the same when the deadline has passed.
	RespondExpired
	// ForwardResponse forwards the replica's own response.
	ForwardResponse
	// AbortResponse aborts a response that has begun, so that it does not look complete.
	AbortResponse
	// NoResponse is for a client that has disconnected.
	NoResponse
)

// RetryDecision is the consequence of an observation for a kind of request.
type RetryDecision struct {
	// Outcome is the outcome recorded for the attempt.
	Outcome Outcome
	// Retry permits one more attempt, within the route's maximum number of attempts and the retry budget.
	Retry bool
	// MayHaveRun is set if the replica may have run the request.
	MayHaveRun bool
	// Response is what the client receives if the request is not retried.
	Response ClientResponse
	// ReuseConnection permits another request on the connection, if the response left it in a usable state.
	ReuseConnection bool
}

// decisionRow holds the decisions for one observation, by kind of request.
type decisionRow [requestKinds]RetryDecision

// forEveryKind returns a row with the same decision for every kind of request.
func forEveryKind(d RetryDecision) decisionRow { return decisionRow{d, d, d, d} }

// retryIfIdempotent returns a row for requests that may have run: they are retried only if a second run is harmless.
func retryIfIdempotent(outcome Outcome) decisionRow {
	noRetry := RetryDecision{Outcome: outcome, MayHaveRun: true, Response: RespondFailed}
	retry := noRetry
	retry.Retry = true
	return decisionRow{Idempotent: retry, NonIdempotent: noRetry, Streaming: noRetry, ResumableStreaming: retry}
}

// retryIfResumable returns a row for responses that have begun to reach the client: only resumable streams are retried.
func retryIfResumable(outcome Outcome) decisionRow {
	abort := RetryDecision{Outcome: OutcomeStopped, MayHaveRun: true, Response: AbortResponse}
	return decisionRow{Idempotent: abort, NonIdempotent: abort, Streaming: abort,
		ResumableStreaming: {Outcome: outcome, Retry: true, MayHaveRun: true, Response: AbortResponse}}
}

var (
	withheldError  = RetryDecision{Outcome: OutcomeBroken, Retry: true, MayHaveRun: true, Response: RespondFailed}
	forwardedError = RetryDecision{Outcome: OutcomeFailed, MayHaveRun: true, Response: ForwardResponse, ReuseConnection: true}
)

// retryDecisions is the only definition of what is retried and what the client receives otherwise.
var retryDecisions = [observations]decisionRow{
	NothingSent:                  forEveryKind(RetryDecision{Outcome: OutcomeUnsent, Retry: true, Response: RespondRejected}),
	RouteWithdrawn:               forEveryKind(RetryDecision{Outcome: OutcomeUnsent, Retry: true, Response: RespondRejected, ReuseConnection: true}),
	Rejected:                     forEveryKind(RetryDecision{Outcome: OutcomeRejected, Retry: true, Response: RespondRejected, ReuseConnection: true}),
	ModelMissing:                 forEveryKind(RetryDecision{Outcome: OutcomeModelMissing, Retry: true, Response: RespondRejected, ReuseConnection: true}),
	OtherIncarnation:             forEveryKind(RetryDecision{Outcome: OutcomeWrongIncarnation, Retry: true, Response: RespondRejected}),
	NoResponseBeforeDeadline:     forEveryKind(RetryDecision{Outcome: OutcomeTimedOut, MayHaveRun: true, Response: RespondExpired}),
	ClosedBeforeResponse:         retryIfIdempotent(OutcomeUnknown),
	MalformedResponse:            retryIfIdempotent(OutcomeUnknown),
	UnstampedSuccess:             retryIfIdempotent(OutcomeBroken),
	TruncatedResponse:            retryIfIdempotent(OutcomeBroken),
	OversizedResponse:            retryIfIdempotent(OutcomeBroken),
	UnconfirmedRejection:         retryIfIdempotent(OutcomeUnknown),
	ErrorResponse:                {Idempotent: withheldError, NonIdempotent: forwardedError, Streaming: forwardedError, ResumableStreaming: withheldError},
	ErrorResponseRepeated:        forEveryKind(forwardedError),
	CompleteResponse:             forEveryKind(RetryDecision{Outcome: OutcomeDone, MayHaveRun: true, Response: ForwardResponse, ReuseConnection: true}),
	StreamEnded:                  forEveryKind(RetryDecision{Outcome: OutcomeDone, MayHaveRun: true, Response: ForwardResponse, ReuseConnection: true}),
	StreamInterrupted:            retryIfResumable(OutcomeBroken),
	StreamInterruptedUnresumable: forEveryKind(RetryDecision{Outcome: OutcomeStopped, MayHaveRun: true, Response: AbortResponse}),
	StreamExpired:                forEveryKind(RetryDecision{Outcome: OutcomeTimedOut, MayHaveRun: true, Response: AbortResponse}),
	NonStreamResponse:            retryIfResumable(OutcomeBroken),
	ClientDisconnected:           forEveryKind(RetryDecision{Outcome: OutcomeStopped, MayHaveRun: true, Response: NoResponse}),
	MigratedAway:                 retryIfIdempotent(OutcomeMigrated),
}

// Decide returns the decision for an observation at a request of kind k.
func Decide(k RequestKind, observed Observation) RetryDecision { return retryDecisions[observed][k] }

// retryByOutcome is retryDecisions indexed by outcome. All observations with the same outcome agree in Retry and MayHaveRun.
// An error response does not have the same outcome for every kind: it counts as OutcomeBroken only where it is withheld.
var retryByOutcome = indexByOutcome()

func indexByOutcome() map[Outcome]decisionRow {
	rows := map[Outcome]decisionRow{}
	for _, row := range retryDecisions {
		for kind, d := range row {
			known := rows[d.Outcome]
			known[kind] = d
			rows[d.Outcome] = known
		}
	}
	return rows
}

// MayHaveRun reports whether a request may have run after an attempt with this outcome.
func MayHaveRun(outcome Outcome) bool {
	return retryByOutcome[outcome][NonIdempotent].MayHaveRun || retryByOutcome[outcome][Idempotent].MayHaveRun
}

// mayRetry reports whether a request of kind k may be retried after an attempt with this outcome.
func mayRetry(k RequestKind, outcome Outcome) bool { return retryByOutcome[outcome][k].Retry }
