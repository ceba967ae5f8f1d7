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

// Repeatable says whether requests of this kind may run more than once.
func (k RequestKind) Repeatable() bool { return k == Idempotent || k == ResumableStreaming }

// Observation is what the sender of a request saw of one replica.
type Observation uint8

const (
	// NothingSent means: no connection came about, or no byte of the request was taken from this process.
	NothingSent Observation = iota
	// Withheld means: a connection stood, but the newest declaration no longer sends the request there.
	Withheld
	// TurnedAway means: an answer in which the replica says that it has not run the request.
	TurnedAway
	// ModelMissing means: the incarnation that was asked says that what the request names is not there.
	ModelMissing
	// OtherIncarnation means: another incarnation, or another replica, has the address, and has not run the request.
	OtherIncarnation
	// SilentUntilDeadline means: sent, wholly or in part, and no answer before the request's deadline.
	SilentUntilDeadline
	// ClosedUnanswered means: sent, wholly or in part, and the connection ended before the head of an answer.
	ClosedUnanswered
	// NotAnAnswer means: bytes that form no answer, or only answers to other requests.
	NotAnAnswer
	// UnsealedSuccess means: a success without the replica's stamp.
	UnsealedSuccess
	// CutShort means: the answer ended, or became unreadable, before its end and before any of it was passed on.
	CutShort
	// Oversized means: the answer is larger than this process holds.
	Oversized
	// UnprovenRefusal means: a status that promises that nothing has run, without the replica's word for it.
	UnprovenRefusal
	// FailureAnswer means: another whole answer that is no success, the first for this request.
	FailureAnswer
	// FailureRepeated means: such an answer after one was held back, or on the only attempt that the route allows.
	FailureRepeated
	// WholeAnswer means: a whole success, with the replica's stamp.
	WholeAnswer
	// StreamEnded means: a stream came to the end that the replica gave it.
	StreamEnded
	// StreamCut means: a stream ended early, or lost its order, after an event that names where to go on.
	StreamCut
	// StreamCutUnnamed means: the same, but what has reached the caller does not say where to go on.
	StreamCutUnnamed
	// StreamExpired means: a stream was still under way at the request's deadline.
	StreamExpired
	// AnswerInStream means: an answer that is no stream where a stream was to go on.
	AnswerInStream
	// CallerGone means: the caller took no more bytes.
	CallerGone
	// MovedOff means: this process ended the run to have it go on elsewhere.
	MovedOff

	observations
)

// Answer is what a caller is told where a request is not sent again.
type Answer uint8

const (
	// Refuse promises that the request has not run, if no earlier attempt of it may have; otherwise it is Fail.
	Refuse Answer = iota
	// Fail is a failure that promises nothing, or a cut where an answer has begun.
	Fail
	// Expire is the same where the time has run out.
	Expire
	// PassOn gives the replica's own answer.
	PassOn
	// Cut ends an answer that has begun, so that it does not look complete.
	Cut
	// Nothing is told to a caller that is gone.
	Nothing
)

// RetryDecision is what follows from an observation.
type RetryDecision struct {
	// Ending is how the attempt counts.
	Ending Ending
	// Again means: the request may be sent once more, within the route's attempts and the retry budget.
	Again bool
	// Ran means: the replica may have run the request.
	Ran bool
	// Answer is what the caller is told where it is not sent again.
	Answer Answer
	// Reuse means: the connection may carry another request, if the answer left it whole.
	Reuse bool
}

type decisionRow [requestKinds]RetryDecision

// always is a row in which the request's kind makes no difference.
func always(d RetryDecision) decisionRow { return decisionRow{d, d, d, d} }

// whereRepeatable is a row of what may have run: it is sent again if that does no harm.
func whereRepeatable(e Ending) decisionRow {
	never := RetryDecision{Ending: e, Ran: true, Answer: Fail}
	again := never
	again.Again = true
	return decisionRow{Idempotent: again, NonIdempotent: never, Streaming: never, ResumableStreaming: again}
}

// whereResumable is a row of what has begun to reach the caller.
func whereResumable(e Ending) decisionRow {
	cut := RetryDecision{Ending: Stopped, Ran: true, Answer: Cut}
	return decisionRow{Idempotent: cut, NonIdempotent: cut, Streaming: cut, ResumableStreaming: {Ending: e, Again: true, Ran: true, Answer: Cut}}
}

var (
	heldBack = RetryDecision{Ending: Broken, Again: true, Ran: true, Answer: Fail}
	passedOn = RetryDecision{Ending: Failed, Ran: true, Answer: PassOn, Reuse: true}
)

// decisions is the one place that says what is sent again and what a caller is told.
var decisions = [observations]decisionRow{
	NothingSent:         always(RetryDecision{Ending: Unsent, Again: true, Answer: Refuse}),
	Withheld:            always(RetryDecision{Ending: Unsent, Again: true, Answer: Refuse, Reuse: true}),
	TurnedAway:          always(RetryDecision{Ending: Refused, Again: true, Answer: Refuse, Reuse: true}),
	ModelMissing:        always(RetryDecision{Ending: Missing, Again: true, Answer: Refuse, Reuse: true}),
	OtherIncarnation:    always(RetryDecision{Ending: Elsewhere, Again: true, Answer: Refuse}),
	SilentUntilDeadline: always(RetryDecision{Ending: Final, Ran: true, Answer: Expire}),
	ClosedUnanswered:    whereRepeatable(Unknown),
	NotAnAnswer:         whereRepeatable(Unknown),
	UnsealedSuccess:     whereRepeatable(Broken),
	CutShort:            whereRepeatable(Broken),
	Oversized:           whereRepeatable(Broken),
	UnprovenRefusal:     whereRepeatable(Unknown),
	FailureAnswer:       {Idempotent: heldBack, NonIdempotent: passedOn, Streaming: passedOn, ResumableStreaming: heldBack},
	FailureRepeated:     always(passedOn),
	WholeAnswer:         always(RetryDecision{Ending: Done, Ran: true, Answer: PassOn, Reuse: true}),
	StreamEnded:         always(RetryDecision{Ending: Done, Ran: true, Answer: PassOn, Reuse: true}),
	StreamCut:           whereResumable(Broken),
	StreamCutUnnamed:    always(RetryDecision{Ending: Stopped, Ran: true, Answer: Cut}),
	StreamExpired:       always(RetryDecision{Ending: Final, Ran: true, Answer: Cut}),
	AnswerInStream:      whereResumable(Broken),
	CallerGone:          always(RetryDecision{Ending: Stopped, Ran: true, Answer: Nothing}),
	MovedOff:            whereRepeatable(Moved),
}

// Decide looks up what follows from an observation.
func Decide(k RequestKind, seen Observation) RetryDecision { return decisions[seen][k] }

// endings is the same table by how an attempt counts. All observations that count alike agree in Again and Ran, but
// for a failure: it counts as broken only where it is held back.
var endings = byEnding()

func byEnding() map[Ending]decisionRow {
	rows := map[Ending]decisionRow{}
	for _, row := range decisions {
		for kind, d := range row {
			known := rows[d.Ending]
			known[kind] = d
			rows[d.Ending] = known
		}
	}
	return rows
}

// MayHaveRun says whether a request whose attempt ended so may have run.
func MayHaveRun(e Ending) bool { return endings[e][NonIdempotent].Ran || endings[e][Idempotent].Ran }

// again says whether a request whose attempt ended so may be sent once more.
func again(k RequestKind, e Ending) bool { return endings[e][k].Again }
