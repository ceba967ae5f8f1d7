package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// singleReplicaSnapshot has one service with one replica that holds model "m".
func singleReplicaSnapshot() *Snapshot {
	doc := (&configuration.Declaration{
		Version: 1,
		Routes: []configuration.Route{{
			Name: "letters", Host: "h", Prefix: "/l/", RetryClass: configuration.Streaming, Resumable: true, TimeoutMs: 12_000, MaxAttempts: 2,
			Split: []configuration.WeightedService{{Service: "scribe", Weight: 1}},
		}},
		Services: []configuration.Service{{Name: "scribe", Engine: &configuration.Engine{
			Slots: 4, CacheTokens: 1000, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 5, LoadMs: 1000}, {Name: "rare", SizeMB: 5, LoadMs: 1000}},
		}}},
	}).Indexed()
	r := &wire.ReplicaUpdate{ID: "r1", Incarnation: "r1", Addr: "10.0.0.1:80", Service: "scribe", Slots: 4, Loaded: []string{"m"}}
	return &Snapshot{
		Number: 1, Revision: 1, Declaration: doc, Gateways: 1, IDs: []string{"r1"}, Replicas: map[string]*wire.ReplicaUpdate{"r1": r},
		ByService: map[string][]*wire.ReplicaUpdate{"scribe": {r}},
	}
}

func lettersCall(id, model string) *Call {
	return &Call{ID: id, Kind: "letters", Model: model, ArrivedUs: 1, Routed: &RoutedCall{PromptTokens: 100}}
}

// A call that waited for its model when its gateway was told to go down was cut with no answer at the end of
// the grace (mix day, seed 620110391056).
func TestDrainAnswersEveryQueuedCall(t *testing.T) {
	d := New(Options{Gateway: "d1", QueueMax: 8})
	d.Step(1, SnapshotReceived{Snapshot: singleReplicaSnapshot()})
	if got := d.Step(2, CallArrived{Call: lettersCall("c1", "rare")}); len(got) != 1 || !isCallUnplaced(got[0]) {
		t.Fatalf("a call for what nobody holds: %+v", got)
	}
	d.Step(3, DrainStarted{})
	if got := d.Step(4, CallArrived{Call: lettersCall("c2", "m")}); len(got) != 1 || asAttemptStart(got[0]) == nil {
		t.Fatalf("a call that can run was not taken while draining: %+v", got)
	}
	refused := func(got []Effect, id string) {
		t.Helper()
		if len(got) != 1 || asCallFailed(got[0]) == nil || asCallFailed(got[0]).Call.ID != id || asCallFailed(got[0]).Fault.Code != fault.Draining ||
			asCallFailed(got[0]).Fault.Run != fault.RunNone || asCallFailed(got[0]).Fault.RetryMs == 0 {
			t.Fatalf("want %s refused with a time to come back, got %+v", id, got)
		}
	}
	refused(d.Step(5, CallArrived{Call: lettersCall("c3", "rare")}), "c3")
	refused(d.Step(6, DrainEnded{}), "c1")
}
