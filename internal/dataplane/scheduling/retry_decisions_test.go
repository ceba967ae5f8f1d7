package scheduling

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// hasNotRun reports whether an attempt with this outcome certainly has not run and never will, according to the user documentation.
func hasNotRun(e Outcome) bool {
	return e == OutcomeUnsent || e == OutcomeRejected || e == OutcomeModelMissing || e == OutcomeWrongIncarnation
}

// wantedDecision is what the user documentation requires for one kind of request: whether it is retried, whether it may have run,
// and what the client receives if it is not retried.
type wantedDecision struct {
	retry, mayHaveRun bool
	response          ClientResponse
}

// Every entry of the decision table must match the user documentation:
//
//  1. A request that the replica reports as not run may be retried elsewhere, whatever its kind; otherwise it is refused
//     with the statement that it has not run.
//  2. A request that was sent may have run, unless the replica states otherwise.
//  3. Of the requests that may have run, only idempotent ones and resumable streams are retried.
//  4. A response that has begun is continued only if an event tells from where.
//  5. A replica's own response is forwarded complete and with its stamp, or not as a success.
func TestRetryDecisionOfEveryObservationAndRequestKind(t *testing.T) {
	reject := wantedDecision{true, false, RespondRejected}
	fail, retryOrFail := wantedDecision{false, true, RespondFailed}, wantedDecision{true, true, RespondFailed}
	expire, abort, resumeOrAbort := wantedDecision{false, true, RespondExpired}, wantedDecision{false, true, AbortResponse}, wantedDecision{true, true, AbortResponse}
	forward, disconnected := wantedDecision{false, true, ForwardResponse}, wantedDecision{false, true, NoResponse}
	want := map[Observation][requestKinds]wantedDecision{
		// Columns: Idempotent, NonIdempotent, Streaming, ResumableStreaming.
		NothingSent:                  {reject, reject, reject, reject},
		RouteWithdrawn:               {reject, reject, reject, reject},
		Rejected:                     {reject, reject, reject, reject},
		ModelMissing:                 {reject, reject, reject, reject},
		OtherIncarnation:             {reject, reject, reject, reject},
		NoResponseBeforeDeadline:     {expire, expire, expire, expire},
		ClosedBeforeResponse:         {retryOrFail, fail, fail, retryOrFail},
		MalformedResponse:            {retryOrFail, fail, fail, retryOrFail},
		UnstampedSuccess:             {retryOrFail, fail, fail, retryOrFail},
		TruncatedResponse:            {retryOrFail, fail, fail, retryOrFail},
		OversizedResponse:            {retryOrFail, fail, fail, retryOrFail},
		UnconfirmedRejection:         {retryOrFail, fail, fail, retryOrFail},
		ErrorResponse:                {retryOrFail, forward, forward, retryOrFail},
		ErrorResponseRepeated:        {forward, forward, forward, forward},
		CompleteResponse:             {forward, forward, forward, forward},
		StreamEnded:                  {forward, forward, forward, forward},
		StreamInterrupted:            {abort, abort, abort, resumeOrAbort},
		StreamInterruptedUnresumable: {abort, abort, abort, abort},
		StreamExpired:                {abort, abort, abort, abort},
		NonStreamResponse:            {abort, abort, abort, resumeOrAbort},
		ClientDisconnected:           {disconnected, disconnected, disconnected, disconnected},
		MigratedAway:                 {retryOrFail, fail, fail, retryOrFail},
	}
	got := map[Observation][requestKinds]wantedDecision{}
	for observed := range observations {
		row := [requestKinds]wantedDecision{}
		for k := range requestKinds {
			d := Decide(k, observed)
			row[k] = wantedDecision{d.Retry, d.MayHaveRun, d.Response}
		}
		got[observed] = row
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(wantedDecision{})); diff != "" {
		t.Errorf("retry decisions (-want +got):\n%s", diff)
	}
}

// The decider decides by outcomes and the sender by observations; both must agree.
func TestRetryByOutcomeAgreesWithRetryDecisions(t *testing.T) {
	for observed := range observations {
		for k := range requestKinds {
			d := Decide(k, observed)
			if d.Outcome == "" {
				t.Fatalf("observation %d has no outcome", observed)
			}
			if mayRetry(k, d.Outcome) != d.Retry || MayHaveRun(d.Outcome) != d.MayHaveRun || hasNotRun(d.Outcome) == d.MayHaveRun {
				t.Errorf("kind %d, observation %d: got decision %+v, but by its outcome %s retry %t, may have run %t",
					k, observed, d, d.Outcome, mayRetry(k, d.Outcome), MayHaveRun(d.Outcome))
			}
		}
	}
	for _, e := range []Outcome{OutcomeDone, OutcomeRejected, OutcomeModelMissing, OutcomeWrongIncarnation, OutcomeFailed, OutcomeUnsent, OutcomeBroken, OutcomeUnknown, OutcomeMigrated, OutcomeTimedOut, OutcomeStopped} {
		if _, known := retryByOutcome[e]; !known {
			t.Errorf("no observation has the outcome %s", e)
		}
	}
}

// Once a declaration that does not allow retries has applied to a call, the call is never retryable again.
func TestCallOnceNonRetryableStaysNonRetryable(t *testing.T) {
	updates := replicaUpdates("s", "r1", "r2")
	nonRetryable, retryable := routeSpec{"r", configuration.NonIdempotent, 3, onlyService("s"), false}, routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}
	for name, specs := range map[string][]routeSpec{"route becomes idempotent": {nonRetryable, retryable}, "route is non-idempotent for a while": {retryable, nonRetryable, retryable}} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(specs[0]), 1, updates...))
		h.sendCall("c", "r", "")
		for _, spec := range specs[1:] {
			h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(routedDeclaration(spec), 1, updates...)})
		}
		if h.endAttempt("c", OutcomeUnknown); len(h.attempts["c"]) != 1 || h.final["c"] == nil || asCallFinished(h.final["c"]) == nil {
			t.Errorf("%s: got %d attempts and answer %+v, want 1 attempt and a finished call", name, len(h.attempts["c"]), h.final["c"])
		}
	}
}

// A response that has begun is not restarted if its route has become idempotent but is not resumable.
func TestStartedStreamIsNotRestartedWhenRouteBecomesIdempotent(t *testing.T) {
	updates := replicaUpdates("s", "r1", "r2")
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Streaming, 3, onlyService("s"), true}), 1, updates...))
	h.sendCall("c", "r", "").Progress.Store(2)
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}), 1, updates...)})
	if h.endAttempt("c", OutcomeBroken); len(h.attempts["c"]) != 1 {
		t.Errorf("attempts: got %d, want 1", len(h.attempts["c"]))
	}
	if f := h.final["c"]; f == nil || asCallFinished(f) == nil && asCallFailed(f).Fault.Run == fault.RunNone {
		t.Errorf("answer: got %+v, want one that does not state that the call has not run", f)
	}
}

// A retry of a call whose route has been moved to another service is counted against the budget of that service.
func TestRetrySpendsBudgetOfServiceItGoesTo(t *testing.T) {
	opts := Options{RetryBudget: RetryBudgetOptions{Ratio: 0.1, Slack: 10, WindowUs: 10_000_000}}
	updates := append(replicaUpdates("s", "r1", "r2"), replicaUpdates("other", "o1", "o2")...)
	h := newHarness(opts, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}, routeSpec{"o", configuration.Idempotent, 3, onlyService("other"), false}), 1, updates...))
	for n := 0; n < 50 && h.d.spendRetry("other"); n++ {
	}
	h.sendCall("c", "r", "")
	moved := routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("other"), false}, routeSpec{"o", configuration.Idempotent, 3, onlyService("other"), false})
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(moved, 1, updates...)})
	if h.endAttempt("c", OutcomeUnknown); len(h.attempts["c"]) != 1 {
		t.Errorf("retry was sent to %s, whose service has no retry budget left", h.attempts["c"][1].Replica)
	}
	if f := h.final["c"]; f == nil || asCallFailed(f) != nil && asCallFailed(f).Fault.Run == fault.RunNone {
		t.Errorf("answer: got %+v, want one that does not state that the call has not run", f)
	}
}
