package scheduling

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// notRun are the endings of attempts that surely have not run and never will, by the users' pages.
func notRun(e Outcome) bool {
	return e == OutcomeUnsent || e == OutcomeRejected || e == OutcomeModelMissing || e == OutcomeWrongIncarnation
}

// cell is what the users' pages ask for one kind of request: sent once more or not, may have run or not, and
// what the caller is told where it is not sent again.
type cell struct {
	again, ran bool
	answer     ClientResponse
}

// Every cell of the table, from the pages: what a replica says that it has not run may go elsewhere, whatever its
// kind, and is refused with a promise; what was sent may have run, unless the replica says otherwise; only
// idempotent requests and streams that may be resumed are repeatable; a begun answer goes on only where an event
// says where; a replica's own answer is passed on whole, with its stamp, or not as a success.
func TestEveryCellOfTheDecisionTable(t *testing.T) {
	refuse := cell{true, false, RespondRejected}
	once, more := cell{false, true, RespondFailed}, cell{true, true, RespondFailed}
	late, cut, goOn := cell{false, true, RespondExpired}, cell{false, true, AbortResponse}, cell{true, true, AbortResponse}
	pass, gone := cell{false, true, ForwardResponse}, cell{false, true, NoResponse}
	want := map[Observation][requestKinds]cell{
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
	got := map[Observation][requestKinds]cell{}
	for seen := range observations {
		row := [requestKinds]cell{}
		for k := range requestKinds {
			d := Decide(k, seen)
			row[k] = cell{d.Retry, d.MayHaveRun, d.Response}
		}
		got[seen] = row
	}
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(cell{})); diff != "" {
		t.Error(diff)
	}
}

// The decider goes by endings, the sender by observations: both say the same.
func TestEndingsDecideAsTheObservationsBehindThem(t *testing.T) {
	for seen := range observations {
		for k := range requestKinds {
			d := Decide(k, seen)
			if d.Outcome == "" {
				t.Fatalf("observation %d has no ending", seen)
			}
			if mayRetry(k, d.Outcome) != d.Retry || MayHaveRun(d.Outcome) != d.MayHaveRun || notRun(d.Outcome) == d.MayHaveRun {
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
func TestACallThatWasOnceOnlyStaysSo(t *testing.T) {
	rows := at("s", "r1", "r2")
	once, many := declared{"r", configuration.NonIdempotent, 3, one("s"), false}, declared{"r", configuration.Idempotent, 3, one("s"), false}
	for what, docs := range map[string][]declared{"it became repeatable": {once, many}, "it was once only for a while": {many, once, many}} {
		k := newHarness(Options{}, stands(declaration(docs[0]), 1, rows...))
		k.call("c", "r", "")
		for _, doc := range docs[1:] {
			k.step(SnapshotReceived{Snapshot: stands(declaration(doc), 1, rows...)})
		}
		if k.end("c", OutcomeUnknown); len(k.attempts["c"]) != 1 || k.final["c"] == nil || finished(k.final["c"]) == nil {
			t.Errorf("%s: %d attempts, %+v", what, len(k.attempts["c"]), k.final["c"])
		}
	}
}

// An answer that has begun on a route that is idempotent by now, but not resumable, is not begun anew.
func TestABegunStreamIsNotBegunAnewOnAnotherKindOfRoute(t *testing.T) {
	rows := at("s", "r1", "r2")
	k := newHarness(Options{}, stands(declaration(declared{"r", configuration.Streaming, 3, one("s"), true}), 1, rows...))
	k.call("c", "r", "").Progress.Store(2)
	k.step(SnapshotReceived{Snapshot: stands(declaration(declared{"r", configuration.Idempotent, 3, one("s"), false}), 1, rows...)})
	if k.end("c", OutcomeBroken); len(k.attempts["c"]) != 1 {
		t.Errorf("%d attempts", len(k.attempts["c"]))
	}
	if f := k.final["c"]; f == nil || finished(f) == nil && failed(f).Fault.Run == fault.RunNone {
		t.Errorf("%+v", f)
	}
}

// A call that waits for a further try, and whose route then goes to another service, draws on that service's budget.
func TestAFurtherTryDrawsOnTheBudgetOfTheServiceItGoesTo(t *testing.T) {
	opts := Options{RetryBudget: RetryBudgetOptions{Ratio: 0.1, Slack: 10, WindowUs: 10_000_000}}
	rows := append(at("s", "r1", "r2"), at("other", "o1", "o2")...)
	k := newHarness(opts, stands(declaration(declared{"r", configuration.Idempotent, 3, one("s"), false}, declared{"o", configuration.Idempotent, 3, one("other"), false}), 1, rows...))
	for n := 0; n < 50 && k.d.spendRetry("other"); n++ {
	}
	k.call("c", "r", "")
	moved := declaration(declared{"r", configuration.Idempotent, 3, one("other"), false}, declared{"o", configuration.Idempotent, 3, one("other"), false})
	k.step(SnapshotReceived{Snapshot: stands(moved, 1, rows...)})
	if k.end("c", OutcomeUnknown); len(k.attempts["c"]) != 1 {
		t.Errorf("it was sent to %s, whose budget is spent", k.attempts["c"][1].Replica)
	}
	if f := k.final["c"]; f == nil || failed(f) != nil && failed(f).Fault.Run == fault.RunNone {
		t.Errorf("%+v", f)
	}
}
