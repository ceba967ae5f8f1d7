package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// aimed is a declaration whose one route aims at aimMs and whose models take loadMs to load.
func aimed(aimMs, loadMs int64) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "engine", Engine: &configuration.Engine{
		Slots: 4, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 1, LoadMs: loadMs}, {Name: "n", SizeMB: 1, LoadMs: loadMs}},
	}}}, Routes: []configuration.Route{{
		Name: "page", Host: "h", Prefix: "/page/", RetryClass: configuration.Streaming, TimeoutMs: 20_000, LatencyTargetMs: aimMs, MaxAttempts: 1, Split: one("engine"),
	}}}
	return doc.Indexed()
}

// patient asks as a caller who has maxMs left; a route's first few callers cannot be told from ones that came back.
func (k *harness) patient(id, model string, mostMs int64) *Call {
	c := &Call{ID: id, Kind: "page", Model: model, TimeoutMs: mostMs, Routed: &RoutedCall{PromptTokens: 100}}
	k.step(CallArrived{Call: c})
	return c
}

func prospecting(s *Snapshot) *harness {
	k := newHarness(Options{}, s)
	for _, id := range []string{"w", "x", "y", "z"} {
		k.patient(id, "m", 5000)
		k.end(id, OutcomeDone)
	}
	return k
}

func loading(unit string) []wire.ReplicaUpdate {
	rows := at("engine", "r1")
	rows[0].Loading = unit
	return rows
}

func TestAFirstTryWhoseModelComesTooLateIsSentBackAndStillCountsAsDemand(t *testing.T) {
	doc := aimed(1000, 2000)
	k := prospecting(stands(doc, 1, loading("n")...))
	k.patient("first", "n", 5000)
	e := k.final["first"]
	if e == nil || failed(e) == nil || failed(e).Fault.Run != fault.RunNone || failed(e).Fault.Code != fault.Overloaded {
		t.Fatalf("a call whose model comes after its aim is not sent back at once: %+v", e)
	}
	retryMs := failed(e).Fault.RetryMs
	if retryMs < 1500 || retryMs > 5000/3 {
		t.Errorf("it is to come back after %d ms, while the load takes more than 2000 ms and it waits 1666 ms at most", retryMs)
	}
	if n := k.d.Report(k.nowUs).Queued["n"]; n != 1 {
		t.Errorf("%d calls wait for the model by the report, want the one that will come back", n)
	}
	k.after(retryMs * clock.Ms)
	if n := k.d.Report(k.nowUs).Queued["n"]; n != 0 {
		t.Errorf("%d calls wait for the model by the report after their time to come back", n)
	}
	k.patient("again", "n", 3200)
	k.after(900 * clock.Ms)
	if k.final["again"] != nil {
		t.Fatalf("a call that came back is sent back once more: %+v", failed(k.final["again"]))
	}
	held := at("engine", "r1")
	held[0].Loaded = []string{"m", "n"}
	k.step(SnapshotReceived{Snapshot: stands(doc, 1, held...)})
	if len(k.attempts["again"]) != 1 {
		t.Error("a call that came back was not sent once its model was there")
	}
}

func TestAFirstTryIsHeldWhereItsModelComesInTime(t *testing.T) {
	doc := aimed(3000, 1000)
	k := prospecting(stands(doc, 1, loading("n")...))
	k.patient("c", "n", 10_000)
	k.after(600 * clock.Ms)
	if k.final["c"] != nil {
		t.Fatalf("it is refused though its model comes in time: %+v", failed(k.final["c"]))
	}
	held := at("engine", "r1")
	held[0].Loaded = []string{"m", "n"}
	k.step(SnapshotReceived{Snapshot: stands(doc, 1, held...)})
	if len(k.attempts["c"]) != 1 {
		t.Error("it was not sent once its model was there")
	}
}

func TestAFirstTryWaitsForAnOrderWhileARefusalIsStillEarly(t *testing.T) {
	k := prospecting(stands(aimed(1000, 2000), 1, at("engine", "r1")...))
	k.patient("c", "n", 5000)
	k.after(100 * clock.Ms)
	if k.final["c"] != nil {
		t.Fatalf("it is refused before anybody could order its model: %+v", failed(k.final["c"]))
	}
	k.after(100 * clock.Ms)
	if k.final["c"] == nil || failed(k.final["c"]) == nil {
		t.Error("it is held beyond a quarter of its aim with no order in sight")
	}
}

func TestACallWhoseModelIsHeldIsNeverSentBackForIt(t *testing.T) {
	k := prospecting(stands(aimed(1000, 2000), 1, at("engine", "r1")...))
	for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
		k.patient(id, "m", 5000)
	}
	k.after(300 * clock.Ms)
	for id, e := range k.final {
		if failed(e) != nil {
			t.Errorf("%s: %+v", id, failed(e).Fault)
		}
	}
}

// Loads of different lengths that end with the same news are learned from in one order, so that the same events
// lead to the same decisions.
func TestLoadsThatEndTogetherAreLearnedFromInOneOrder(t *testing.T) {
	doc := aimed(1000, 500)
	factors := map[float64]bool{}
	for range 64 {
		p := newLoadEstimates()
		begun := at("engine", "r1", "r2")
		begun[0].Loading = "m"
		p.observe(stands(doc, 1, begun...), clock.Ms)
		begun[1].Loading = "n"
		p.observe(stands(doc, 2, begun...), 900*clock.Ms)
		held := at("engine", "r1", "r2")
		held[1].Loaded = []string{"n"}
		p.observe(stands(doc, 3, held...), 1200*clock.Ms)
		factors[p.loadFactor] = true
	}
	if len(factors) != 1 {
		t.Errorf("the same loads gave the factors %v", factors)
	}
	if factors[initialLoadFactor] {
		t.Error("nothing was learned from the loads")
	}
}
