package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

func verdictsByReplica(rows ...outlier.Verdict) map[string]outlier.Verdict {
	all := map[string]outlier.Verdict{}
	for _, r := range rows {
		all[r.Replica] = r
	}
	return all
}

func TestSelectionFollowsOutlierVerdicts(t *testing.T) {
	doc := routedDeclaration(routeSpec{"plain", configuration.Idempotent, 2, onlyService("s"), false}, routeSpec{"model", configuration.Idempotent, 2, onlyService("engine"), false})
	for _, c := range []struct {
		what    string
		route   string
		model   string
		at      []string
		verdict []outlier.Verdict
		least   int
		most    int
	}{
		{"both are well", "model", "m", []string{"r1", "r2"}, nil, 30, 170},
		{"the other is well", "model", "m", []string{"r1", "r2"}, []outlier.Verdict{{Replica: "r1"}}, 0, 0},
		{"a trial", "model", "m", []string{"r1", "r2"}, []outlier.Verdict{{Replica: "r1", AllowedPercent: 12}}, 1, 40},
		{"nobody else has it", "model", "m", []string{"r1"}, []outlier.Verdict{{Replica: "r1"}}, 200, 200},
		{"it is dead, and can be loaded elsewhere", "model", "m", []string{"r1"}, []outlier.Verdict{{Replica: "r1", Dead: true}}, 0, 0},
		{"it is dead, and there is no elsewhere", "plain", "", []string{"r1"}, []outlier.Verdict{{Replica: "r1", Dead: true}}, 200, 200},
	} {
		service := "s"
		if c.route == "model" {
			service = "engine"
		}
		rows := replicaUpdates(service, c.at...)
		for i := range rows {
			rows[i].Slots = 1000
		}
		s := newRoutedSnapshot(doc, 1, rows...)
		s.Verdicts = verdictsByReplica(c.verdict...)
		h := newHarness(Options{}, s)
		got := 0
		for i := range 200 {
			id := "c" + itoa(uint64(i))
			h.sendCall(id, c.route, c.model)
			if attempts := h.attempts[id]; len(attempts) > 0 {
				if attempts[0].Replica == "r1" {
					got++
				}
				h.endAttempt(id, OutcomeDone)
			}
		}
		if got < c.least || got > c.most {
			t.Errorf("%s: %d of 200 went to r1, want %d to %d", c.what, got, c.least, c.most)
		}
	}
}

// A call is not sent again at once to the replica that has just failed it, though nobody else has its model.
func TestFailedCallIsNotRetriedAtOnceOnSameReplica(t *testing.T) {
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"many", configuration.Idempotent, 3, onlyService("engine"), false}), 1, replicaUpdates("engine", "r1", "r2")...))
	h.d.snapshot.Replicas["r2"].Loaded = nil
	h.sendCall("c", "many", "m").OutlierClass.Store(int32(outlier.ResetFresh))
	h.endAttempt("c", OutcomeUnknown)
	if n := len(h.attempts["c"]); n != 1 {
		t.Errorf("%d attempts at once", n)
	}
	h.advance(clock.Sec + clock.Ms)
	if n := len(h.attempts["c"]); n != 2 {
		t.Errorf("%d attempts a second later", n)
	}
}

func TestReportClassifiesAttemptOutcomes(t *testing.T) {
	doc := routedDeclaration(routeSpec{"many", configuration.Idempotent, 3, onlyService("engine"), false})
	for _, c := range []struct {
		what   string
		class  outlier.Class
		ending Outcome
		firstMs,
		endMs int64
		want outlier.Class
	}{
		{"an answer", outlier.Unclassified, OutcomeDone, 20, 30, outlier.Success},
		{"an answer that was long in coming", outlier.Unclassified, OutcomeDone, 900, 950, outlier.Slow},
		{"its own error", outlier.ErrorResponse, OutcomeBroken, 20, 20, outlier.ErrorResponse},
		{"an error in the request", outlier.Success, OutcomeFailed, 20, 20, outlier.Success},
		{"a connection that had died", outlier.ResetReused, OutcomeUnknown, 0, 5, outlier.Unclassified},
		{"a new one that was reset", outlier.ResetFresh, OutcomeUnknown, 0, 5, outlier.ResetFresh},
		{"its client left at once", outlier.Unclassified, OutcomeUnknown, 0, 5, outlier.Unclassified},
		{"its client left after a long silence", outlier.Unclassified, OutcomeUnknown, 0, 2000, outlier.ResponseTimeout},
		{"its client left in the middle", outlier.Inconclusive, OutcomeBroken, 20, 30, outlier.Unclassified},
		{"it ran out of time in the middle", outlier.Unclassified, OutcomeTimedOut, 20, 3000, outlier.Slow},
		{"it was full", outlier.Unclassified, OutcomeRejected, 0, 5, outlier.Shed},
	} {
		h := newHarness(Options{}, newRoutedSnapshot(doc, 1, replicaUpdates("engine", "r1")...))
		call := h.sendCall("c", "many", "m")
		startUs := h.nowUs
		if c.firstMs > 0 {
			call.FirstByteUs.Store(startUs + c.firstMs*clock.Ms)
		}
		call.OutlierClass.Store(int32(c.class))
		h.nowUs += c.endMs * clock.Ms
		h.endAttempt("c", c.ending)
		rep := h.d.Report(h.nowUs)
		got := outlier.Unclassified
		if rep.Attempts["engine"] > 0 {
			got = outlier.Success
		}
		for _, o := range rep.Outcomes {
			for name := range o.Failures {
				got = outlier.ParseClass(name)
			}
		}
		if got != c.want {
			t.Errorf("%s: told as %q, want %q", c.what, got, c.want)
		}
	}
}

// An attempt that shows nothing is told of while it still hangs, once.
func TestHangingAttemptIsReportedOnceBeforeItEnds(t *testing.T) {
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"many", configuration.Idempotent, 3, onlyService("engine"), false}), 1, replicaUpdates("engine", "r1")...))
	h.sendCall("c", "many", "m")
	h.advance(clock.Sec)
	told := 0
	for range 3 {
		for _, o := range h.d.Report(h.nowUs).Outcomes {
			told += o.Failures[outlier.ResponseTimeout.String()]
		}
		h.advance(clock.Sec)
	}
	h.endAttempt("c", OutcomeUnknown)
	for _, o := range h.d.Report(h.nowUs).Outcomes {
		told += o.Failures[outlier.ResponseTimeout.String()]
	}
	if told != 1 {
		t.Errorf("told %d times", told)
	}
}

// What was said of an attempt that had been told of already is not said of the call's next one.
func TestOutlierClassOfReportedAttemptDoesNotApplyToNextAttempt(t *testing.T) {
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"many", configuration.Idempotent, 3, onlyService("engine"), false}), 1, replicaUpdates("engine", "r1", "r2")...))
	c := h.sendCall("c", "many", "m")
	h.advance(clock.Sec)
	_ = h.d.Report(h.nowUs)
	c.OutlierClass.Store(int32(outlier.ResetFresh))
	h.endAttempt("c", OutcomeUnknown)
	h.endAttempt("c", OutcomeDone)
	if rep := h.d.Report(h.nowUs); len(rep.Outcomes) != 0 || rep.Attempts["engine"] != 1 {
		t.Errorf("%+v of %v attempts", rep.Outcomes, rep.Attempts)
	}
}
