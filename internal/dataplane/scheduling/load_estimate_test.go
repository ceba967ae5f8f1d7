package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// aimed is a declaration whose one route aims at aimMs and whose models take loadMs to load.
func declarationWithTarget(aimMs, loadMs int64) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "engine", Engine: &configuration.Engine{
		Slots: 4, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 1, LoadMs: loadMs}, {Name: "n", SizeMB: 1, LoadMs: loadMs}},
	}}}, Routes: []configuration.Route{{
		Name: "page", Host: "h", Prefix: "/page/", RetryClass: configuration.Streaming, TimeoutMs: 20_000, LatencyTargetMs: aimMs, MaxAttempts: 1, Split: onlyService("engine"),
	}}}
	return doc.Indexed()
}

// patient asks as a caller who has maxMs left; a route's first few callers cannot be told from ones that came back.
func (h *harness) sendCallWithTimeout(id, model string, timeoutMs int64) *Call {
	c := &Call{ID: id, Kind: "page", Model: model, TimeoutMs: timeoutMs, Routed: &RoutedCall{PromptTokens: 100}}
	h.step(CallArrived{Call: c})
	return c
}

func newHarnessWithTimeoutHistory(s *Snapshot) *harness {
	h := newHarness(Options{}, s)
	for _, id := range []string{"w", "x", "y", "z"} {
		h.sendCallWithTimeout(id, "m", 5000)
		h.endAttempt(id, OutcomeDone)
	}
	return h
}

func loadingReplicas(unit string) []wire.ReplicaUpdate {
	rows := replicaUpdates("engine", "r1")
	rows[0].Loading = unit
	return rows
}

func TestEarlyRefusalRejectsFirstTryAndStillReportsItsDemand(t *testing.T) {
	doc := declarationWithTarget(1000, 2000)
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(doc, 1, loadingReplicas("n")...))
	h.sendCallWithTimeout("first", "n", 5000)
	e := h.final["first"]
	if e == nil || asCallFailed(e) == nil || asCallFailed(e).Fault.Run != fault.RunNone || asCallFailed(e).Fault.Code != fault.Overloaded {
		t.Fatalf("a call whose model comes after its aim is not sent back at once: %+v", e)
	}
	retryMs := asCallFailed(e).Fault.RetryMs
	if retryMs < 1500 || retryMs > 5000/3 {
		t.Errorf("it is to come back after %d ms, while the load takes more than 2000 ms and it waits 1666 ms at most", retryMs)
	}
	if n := h.d.Report(h.nowUs).Queued["n"]; n != 1 {
		t.Errorf("%d calls wait for the model by the report, want the one that will come back", n)
	}
	h.advance(retryMs * clock.Ms)
	if n := h.d.Report(h.nowUs).Queued["n"]; n != 0 {
		t.Errorf("%d calls wait for the model by the report after their time to come back", n)
	}
	h.sendCallWithTimeout("again", "n", 3200)
	h.advance(900 * clock.Ms)
	if h.final["again"] != nil {
		t.Fatalf("a call that came back is sent back once more: %+v", asCallFailed(h.final["again"]))
	}
	held := replicaUpdates("engine", "r1")
	held[0].Loaded = []string{"m", "n"}
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc, 1, held...)})
	if len(h.attempts["again"]) != 1 {
		t.Error("a call that came back was not sent once its model was there")
	}
}

func TestFirstTryWaitsWhenItsModelLoadsInTime(t *testing.T) {
	doc := declarationWithTarget(3000, 1000)
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(doc, 1, loadingReplicas("n")...))
	h.sendCallWithTimeout("c", "n", 10_000)
	h.advance(600 * clock.Ms)
	if h.final["c"] != nil {
		t.Fatalf("it is refused though its model comes in time: %+v", asCallFailed(h.final["c"]))
	}
	held := replicaUpdates("engine", "r1")
	held[0].Loaded = []string{"m", "n"}
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc, 1, held...)})
	if len(h.attempts["c"]) != 1 {
		t.Error("it was not sent once its model was there")
	}
}

func TestFirstTryWithoutLoadUnderWayIsRejectedOnlyNearEarlyLimit(t *testing.T) {
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(declarationWithTarget(1000, 2000), 1, replicaUpdates("engine", "r1")...))
	h.sendCallWithTimeout("c", "n", 5000)
	h.advance(100 * clock.Ms)
	if h.final["c"] != nil {
		t.Fatalf("it is refused before anybody could order its model: %+v", asCallFailed(h.final["c"]))
	}
	h.advance(100 * clock.Ms)
	if h.final["c"] == nil || asCallFailed(h.final["c"]) == nil {
		t.Error("it is held beyond a quarter of its aim with no order in sight")
	}
}

func TestEarlyRefusalNeverRejectsCallForLoadedModel(t *testing.T) {
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(declarationWithTarget(1000, 2000), 1, replicaUpdates("engine", "r1")...))
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		h.sendCallWithTimeout(id, "m", 5000)
	}
	h.advance(300 * clock.Ms)
	for id, e := range h.final {
		if asCallFailed(e) != nil {
			t.Errorf("%s: %+v", id, asCallFailed(e).Fault)
		}
	}
}

// Loads of different lengths that end with the same news are learned from in one order, so that the same events
// lead to the same decisions.
func TestLoadEstimatesDoNotDependOnOrderOfLoadsThatEndTogether(t *testing.T) {
	doc := declarationWithTarget(1000, 500)
	factors := map[float64]bool{}
	for range 64 {
		p := newLoadEstimates()
		begun := replicaUpdates("engine", "r1", "r2")
		begun[0].Loading = "m"
		p.observe(newRoutedSnapshot(doc, 1, begun...), clock.Ms)
		begun[1].Loading = "n"
		p.observe(newRoutedSnapshot(doc, 2, begun...), 900*clock.Ms)
		held := replicaUpdates("engine", "r1", "r2")
		held[1].Loaded = []string{"n"}
		p.observe(newRoutedSnapshot(doc, 3, held...), 1200*clock.Ms)
		factors[p.loadFactor] = true
	}
	if len(factors) != 1 {
		t.Errorf("the same loads gave the factors %v", factors)
	}
	if factors[initialLoadFactor] {
		t.Error("nothing was learned from the loads")
	}
}
