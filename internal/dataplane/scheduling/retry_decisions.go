package scheduling

import "petreltide/internal/api/configuration"

// RequestKind says how often a request may run.
type RequestKind uint8

const (
	// Idempotent requests may run any number of times, until a byte of an answer has reached the caller.
	Idempotent RequestKind = iota
	// NonIdempotent requests may run at most once.
	NonIdempotent
	// Streaming requests are answered by events and may run at most once.
	Streaming
	// ResumableStreaming requests may run again, from the last event that has reached the caller.
	ResumableStreaming

	requestKinds
)

// KindOf is the kind of the requests of a route.
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

// Retryable says whether requests of this kind may run more than once.
func (k RequestKind) Retryable() bool { return k == Idempotent || k == ResumableStreaming }

// Observation is what the sender of a request saw of one replica.
type Observation uint8

const (
	// NothingSent means: no connection came about, or no byte of the request was taken from this process.
	NothingSent Observation = iota
	// RouteWithdrawn means: a connection stood, but the newest declaration no longer sends the request there.
	RouteWithdrawn
	// Rejected means: an answer in which the replica says that it has not run the request.
	Rejected
	// ModelMissing means: the incarnation that was asked says that what the request names is not there.
	ModelMissing
	// OtherIncarnation means: another incarnation, or another replica, has the address, and has not run the request.
	OtherIncarnation
	// NoResponseBeforeDeadline means: sent, wholly or in part, and no answer before the request's deadline.
	NoResponseBeforeDeadline
	// ClosedBeforeResponse means: sent, wholly or in part, and the connection ended before the head of an answer.
	ClosedBeforeResponse
	// MalformedResponse means: bytes that form no answer, or only answers to other requests.
	MalformedResponse
	// UnstampedSuccess means: a success without the replica's stamp.
	UnstampedSuccess
	// TruncatedResponse means: the answer ended, or became unreadable, before its end and before any of it was passed on.
	TruncatedResponse
	// OversizedResponse means: the answer is larger than this process holds.
	OversizedResponse
	// UnconfirmedRejection means: a status that promises that nothing has run, without the replica's word for it.
	UnconfirmedRejection
	// ErrorResponse means: another whole answer that is no success, the first for this request.
	ErrorResponse
	// ErrorResponseRepeated means: such an answer after one was held back, or on the only attempt that the route allows.
	ErrorResponseRepeated
	// CompleteResponse means: a whole success, with the replica's stamp.
	CompleteResponse
	// StreamEnded means: a stream came to the end that the replica gave it.
	StreamEnded
	// StreamInterrupted means: a stream ended early, or lost its order, after an event that names where to go on.
	StreamInterrupted
	// StreamInterruptedUnresumable means: the same, but what has reached the caller does not say where to go on.
	StreamInterruptedUnresumable
	// StreamExpired means: a stream was still under way at the request's deadline.
	StreamExpired
	// NonStreamResponse means: an answer that is no stream where a stream was to go on.
	NonStreamResponse
	// ClientDisconnected means: the caller took no more bytes.
	ClientDisconnected
	// MigratedAway means: this process ended the run to have it go on elsewhere.
	MigratedAway

	observations
)

// ClientResponse is what a caller is told where a request is not sent again.
type ClientResponse uint8

const (
	// RespondRejected promises that the request has not run, if no earlier attempt of it may have; otherwise it is RespondFailed.
	RespondRejected ClientResponse = iota
	// RespondFailed is a failure that promises nothing, or a cut where an answer has begun.
	RespondFailed
	// RespondExpired is the same where the time has run out.
	RespondExpired
	// ForwardResponse gives the replica's own answer.
	ForwardResponse
	// AbortResponse ends an answer that has begun, so that it does not look complete.
	AbortResponse
	// NoResponse is told to a caller that is gone.
	NoResponse
)

// RetryDecision is what follows from an observation.
type RetryDecision struct {
	// Outcome is how the attempt counts.
	Outcome Outcome
	// Retry means: the request may be sent once more, within the route's attempts and the retry budget.
	Retry bool
	// MayHaveRun means: the replica may have run the request.
	MayHaveRun bool
	// Response is what the caller is told where it is not sent again.
	Response ClientResponse
	// ReuseConnection means: the connection may carry another request, if the answer left it whole.
	ReuseConnection bool
}

type decisionRow [requestKinds]RetryDecision

// forEveryKind is a row in which the request's kind makes no difference.
func forEveryKind(d RetryDecision) decisionRow { return decisionRow{d, d, d, d} }

// retryIfIdempotent is a row of what may have run: it is sent again if that does no harm.
func retryIfIdempotent(e Outcome) decisionRow {
	never := RetryDecision{Outcome: e, MayHaveRun: true, Response: RespondFailed}
	again := never
	again.Retry = true
	return decisionRow{Idempotent: again, NonIdempotent: never, Streaming: never, ResumableStreaming: again}
}

// retryIfResumable is a row of what has begun to reach the caller.
func retryIfResumable(e Outcome) decisionRow {
	cut := RetryDecision{Outcome: OutcomeStopped, MayHaveRun: true, Response: AbortResponse}
	return decisionRow{Idempotent: cut, NonIdempotent: cut, Streaming: cut, ResumableStreaming: {Outcome: e, Retry: true, MayHaveRun: true, Response: AbortResponse}}
}

var (
	withheldError  = RetryDecision{Outcome: OutcomeBroken, Retry: true, MayHaveRun: true, Response: RespondFailed}
	forwardedError = RetryDecision{Outcome: OutcomeFailed, MayHaveRun: true, Response: ForwardResponse, ReuseConnection: true}
)

// retryDecisions is the one place that says what is sent again and what a caller is told.
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

// Decide looks up what follows from an observation.
func Decide(k RequestKind, seen Observation) RetryDecision { return retryDecisions[seen][k] }

// retryByOutcome is the same table by how an attempt counts. All observations that count alike agree in Retry and MayHaveRun, but
// for a failure: it counts as broken only where it is held back.
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

// MayHaveRun says whether a request whose attempt ended so may have run.
func MayHaveRun(e Outcome) bool {
	return retryByOutcome[e][NonIdempotent].MayHaveRun || retryByOutcome[e][Idempotent].MayHaveRun
}

// mayRetry says whether a request whose attempt ended so may be sent once more.
func mayRetry(k RequestKind, e Outcome) bool { return retryByOutcome[e][k].Retry }
