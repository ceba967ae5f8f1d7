package scheduling

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// hasNotRun are the endings of attempts that surely have not run and never will, by the users' pages.
func hasNotRun(e Outcome) bool {
	return e == OutcomeUnsent || e == OutcomeRejected || e == OutcomeModelMissing || e == OutcomeWrongIncarnation
}

// cell is what the users' pages ask for one kind of request: sent once more or not, may have run or not, and
// what the caller is told where it is not sent again.
type wantedDecision struct {
	retry, mayHaveRun bool
	response          ClientResponse
}

// Every cell of the table, from the pages: what a replica says that it has not run may go elsewhere, whatever its
// kind, and is refused with a promise; what was sent may have run, unless the replica says otherwise; only
// idempotent requests and streams that may be resumed are repeatable; a begun answer goes on only where an event
// says where; a replica's own answer is passed on whole, with its stamp, or not as a success.
func TestRetryDecisionOfEveryObservationAndRequestKind(t *testing.T) {
	refuse := wantedDecision{true, false, RespondRejected}
	once, more := wantedDecision{false, true, RespondFailed}, wantedDecision{true, true, RespondFailed}
	late, cut, goOn := wantedDecision{false, true, RespondExpired}, wantedDecision{false, true, AbortResponse}, wantedDecision{true, true, AbortResponse}
	pass, gone := wantedDecision{false, true, ForwardResponse}, wantedDecision{false, true, NoResponse}
	want := map[Observation][requestKinds]wantedDecision{
		// in order:           idempotent, not, stream, stream that may be resumed
		NothingSent:                  {refuse, refuse, refuse, refuse},
		RouteWithdrawn:               {refuse, refuse, refuse, refuse},
		Rejected:                     {refuse, refuse, refuse, refuse},
		ModelMissing:                 {refuse, refuse, refuse, refuse},
		OtherIncarnation:             {refuse, refuse, refuse, refuse},
		NoResponseBeforeDeadline:     {late, late, late, late},
		ClosedBeforeResponse:         {more, once, once, more},
		MalformedResponse:            {more, once, once, more},
		UnstampedSuccess:             {more, once, once, more},
		TruncatedResponse:            {more, once, once, more},
		OversizedResponse:            {more, once, once, more},
		UnconfirmedRejection:         {more, once, once, more},
		ErrorResponse:                {more, pass, pass, more},
		ErrorResponseRepeated:        {pass, pass, pass, pass},
		CompleteResponse:             {pass, pass, pass, pass},
		StreamEnded:                  {pass, pass, pass, pass},
		StreamInterrupted:            {cut, cut, cut, goOn},
		StreamInterruptedUnresumable: {cut, cut, cut, cut},
		StreamExpired:                {cut, cut, cut, cut},
		NonStreamResponse:            {cut, cut, cut, goOn},
		ClientDisconnected:           {gone, gone, gone, gone},
		MigratedAway:                 {more, once, once, more},
	}
	got := map[Observation][requestKinds]wantedDecision{}
	for seen := range observations {
		row := [requestKinds]wantedDecision{}
		for k := range requestKinds {
			d := Decide(k, seen)
			row[k] = wantedDecision{d.Retry, d.MayHaveRun, d.Response}
		}
		got[seen] = row
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(wantedDecision{})); diff != "" {
		t.Error(diff)
	}
}

// The decider goes by endings, the sender by observations: both say the same.
func TestRetryByOutcomeAgreesWithRetryDecisions(t *testing.T) {
	for seen := range observations {
		for k := range requestKinds {
			d := Decide(k, seen)
			if d.Outcome == "" {
				t.Fatalf("observation %d has no ending", seen)
			}
			if mayRetry(k, d.Outcome) != d.Retry || MayHaveRun(d.Outcome) != d.MayHaveRun || hasNotRun(d.Outcome) == d.MayHaveRun {
				t.Errorf("kind %d, observation %d: %+v, by its ending %s sent again %t, may have run %t", k, seen, d, d.Outcome, mayRetry(k, d.Outcome), MayHaveRun(d.Outcome))
			}
		}
	}
	for _, e := range []Outcome{OutcomeDone, OutcomeRejected, OutcomeModelMissing, OutcomeWrongIncarnation, OutcomeFailed, OutcomeUnsent, OutcomeBroken, OutcomeUnknown, OutcomeMigrated, OutcomeTimedOut, OutcomeStopped} {
		if _, known := retryByOutcome[e]; !known {
			t.Errorf("no observation ends as %s", e)
		}
	}
}

// A call that was under a declaration which lets it run once only is never repeatable again.
func TestCallOnceNonRetryableStaysNonRetryable(t *testing.T) {
	rows := replicaUpdates("s", "r1", "r2")
	once, many := routeSpec{"r", configuration.NonIdempotent, 3, onlyService("s"), false}, routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}
	for what, docs := range map[string][]routeSpec{"it became repeatable": {once, many}, "it was once only for a while": {many, once, many}} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(docs[0]), 1, rows...))
		h.sendCall("c", "r", "")
		for _, doc := range docs[1:] {
			h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(routedDeclaration(doc), 1, rows...)})
		}
		if h.endAttempt("c", OutcomeUnknown); len(h.attempts["c"]) != 1 || h.final["c"] == nil || asCallFinished(h.final["c"]) == nil {
			t.Errorf("%s: %d attempts, %+v", what, len(h.attempts["c"]), h.final["c"])
		}
	}
}

// An answer that has begun on a route that is idempotent by now, but not resumable, is not begun anew.
func TestStartedStreamIsNotRestartedWhenRouteBecomesIdempotent(t *testing.T) {
	rows := replicaUpdates("s", "r1", "r2")
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Streaming, 3, onlyService("s"), true}), 1, rows...))
	h.sendCall("c", "r", "").Progress.Store(2)
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}), 1, rows...)})
	if h.endAttempt("c", OutcomeBroken); len(h.attempts["c"]) != 1 {
		t.Errorf("%d attempts", len(h.attempts["c"]))
	}
	if f := h.final["c"]; f == nil || asCallFinished(f) == nil && asCallFailed(f).Fault.Run == fault.RunNone {
		t.Errorf("%+v", f)
	}
}

// A call that waits for a further try, and whose route then goes to another service, draws on that service's budget.
func TestRetrySpendsBudgetOfServiceItGoesTo(t *testing.T) {
	opts := Options{RetryBudget: RetryBudgetOptions{Ratio: 0.1, Slack: 10, WindowUs: 10_000_000}}
	rows := append(replicaUpdates("s", "r1", "r2"), replicaUpdates("other", "o1", "o2")...)
	h := newHarness(opts, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}, routeSpec{"o", configuration.Idempotent, 3, onlyService("other"), false}), 1, rows...))
	for n := 0; n < 50 && h.d.spendRetry("other"); n++ {
	}
	h.sendCall("c", "r", "")
	moved := routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("other"), false}, routeSpec{"o", configuration.Idempotent, 3, onlyService("other"), false})
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(moved, 1, rows...)})
	if h.endAttempt("c", OutcomeUnknown); len(h.attempts["c"]) != 1 {
		t.Errorf("it was sent to %s, whose budget is spent", h.attempts["c"][1].Replica)
	}
	if f := h.final["c"]; f == nil || asCallFailed(f) != nil && asCallFailed(f).Fault.Run == fault.RunNone {
		t.Errorf("%+v", f)
	}
}
