package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// declarationWithTarget returns a declaration with one route, which has the given latency target, and two models that take loadMs
// to load.
func declarationWithTarget(targetMs, loadMs int64) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "engine", Engine: &configuration.Engine{
		Slots: 4, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 1, LoadMs: loadMs}, {Name: "n", SizeMB: 1, LoadMs: loadMs}},
	}}}, Routes: []configuration.Route{{
		Name: "page", Host: "h", Prefix: "/page/", RetryClass: configuration.Streaming, TimeoutMs: 20_000, LatencyTargetMs: targetMs, MaxAttempts: 1, Split: onlyService("engine"),
	}}}
	return doc.Indexed()
}

// sendCallWithTimeout sends a call whose client has timeoutMs left. The first few calls of a route cannot be told from client
// retries.
func (h *harness) sendCallWithTimeout(id, model string, timeoutMs int64) *Call {
	c := &Call{ID: id, Kind: "page", Model: model, TimeoutMs: timeoutMs, Routed: &RoutedCall{Host: "h", Path: pathOf("page"), PromptTokens: 100}}
	h.step(CallArrived{Call: c})
	return c
}

// newHarnessWithTimeoutHistory returns a harness whose route has had enough calls for later ones to count as first tries.
func newHarnessWithTimeoutHistory(s *Snapshot) *harness {
	h := newHarness(Options{}, s)
	for _, id := range []string{"w", "x", "y", "z"} {
		h.sendCallWithTimeout(id, "m", 5000)
		h.endAttempt(id, OutcomeDone)
	}
	return h
}

// loadingReplicas returns one replica that has "m" loaded and is loading unit.
func loadingReplicas(unit string) []wire.ReplicaUpdate {
	updates := replicaUpdates("engine", "r1")
	updates[0].Loading = unit
	return updates
}

func TestFirstTryRefusedEarlyStillCountsAsDemand(t *testing.T) {
	doc := declarationWithTarget(1000, 2000)
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(doc, 1, loadingReplicas("n")...))
	h.sendCallWithTimeout("first", "n", 5000)
	e := h.final["first"]
	if e == nil || asCallFailed(e) == nil || asCallFailed(e).Fault.Run != fault.RunNone || asCallFailed(e).Fault.Code != fault.Overloaded {
		t.Fatalf("call whose model loads after its latency target: got %+v, want an overloaded fault that states that it has not run", e)
	}
	retryMs := asCallFailed(e).Fault.RetryMs
	if retryMs < 1500 || retryMs > 5000/3 {
		t.Errorf("retry delay: got %d ms, want 1500 to 1666 ms: the load takes more than 2000 ms, and a third of the timeout is 1666 ms",
			retryMs)
	}
	if n := h.d.Report(h.nowUs).Queued["n"]; n != 1 {
		t.Errorf("reported queued calls for the model: got %d, want the 1 whose client will retry", n)
	}
	h.advance(retryMs * clock.Ms)
	if n := h.d.Report(h.nowUs).Queued["n"]; n != 0 {
		t.Errorf("reported queued calls for the model after the retry delay: got %d, want 0", n)
	}
	h.sendCallWithTimeout("again", "n", 3200)
	h.advance(900 * clock.Ms)
	if h.final["again"] != nil {
		t.Fatalf("client retry was rejected again: %+v", asCallFailed(h.final["again"]))
	}
	loaded := replicaUpdates("engine", "r1")
	loaded[0].Loaded = []string{"m", "n"}
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc, 1, loaded...)})
	if len(h.attempts["again"]) != 1 {
		t.Errorf("attempts of the client retry after its model was loaded: got %d, want 1", len(h.attempts["again"]))
	}
}

func TestFirstTryWaitsWhenItsModelLoadsInTime(t *testing.T) {
	doc := declarationWithTarget(3000, 1000)
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(doc, 1, loadingReplicas("n")...))
	h.sendCallWithTimeout("c", "n", 10_000)
	h.advance(600 * clock.Ms)
	if h.final["c"] != nil {
		t.Fatalf("call whose model loads in time was rejected: %+v", asCallFailed(h.final["c"]))
	}
	loaded := replicaUpdates("engine", "r1")
	loaded[0].Loaded = []string{"m", "n"}
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc, 1, loaded...)})
	if len(h.attempts["c"]) != 1 {
		t.Errorf("attempts after the model was loaded: got %d, want 1", len(h.attempts["c"]))
	}
}

func TestFirstTryWithoutLoadUnderWayIsRejectedOnlyNearEarlyLimit(t *testing.T) {
	h := newHarnessWithTimeoutHistory(newRoutedSnapshot(declarationWithTarget(1000, 2000), 1, replicaUpdates("engine", "r1")...))
	h.sendCallWithTimeout("c", "n", 5000)
	h.advance(100 * clock.Ms)
	if h.final["c"] != nil {
		t.Fatalf("call was rejected after 100 ms, before a load of its model could be ordered: %+v", asCallFailed(h.final["c"]))
	}
	h.advance(100 * clock.Ms)
	if h.final["c"] == nil || asCallFailed(h.final["c"]) == nil {
		t.Errorf("call without a load of its model after 200 ms, near the end of the time for an early refusal: got %+v, want it rejected",
			h.final["c"])
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
			t.Errorf("call %s for a loaded model: got fault %+v, want none", id, asCallFailed(e).Fault)
		}
	}
}

// Loads of different durations that end with the same snapshot are evaluated in a fixed order, so that the same events lead to the
// same decisions.
func TestLoadEstimatesDoNotDependOnOrderOfLoadsThatEndTogether(t *testing.T) {
	doc := declarationWithTarget(1000, 500)
	factors := map[float64]bool{}
	for range 64 {
		estimates := newLoadEstimates()
		loading := replicaUpdates("engine", "r1", "r2")
		loading[0].Loading = "m"
		estimates.observe(newRoutedSnapshot(doc, 1, loading...), clock.Ms)
		loading[1].Loading = "n"
		estimates.observe(newRoutedSnapshot(doc, 2, loading...), 900*clock.Ms)
		loaded := replicaUpdates("engine", "r1", "r2")
		loaded[1].Loaded = []string{"n"}
		estimates.observe(newRoutedSnapshot(doc, 3, loaded...), 1200*clock.Ms)
		factors[estimates.loadFactor] = true
	}
	if len(factors) != 1 {
		t.Errorf("load factors after the same loads: got %v, want a single value", factors)
	}
	if factors[initialLoadFactor] {
		t.Errorf("load factor is still the initial %v after two loads", initialLoadFactor)
	}
}
