package scheduling

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// singleReplicaSnapshot returns a snapshot of one service with one replica that has model "m" loaded.
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

// lettersCall returns a call for a model on the route "letters".
func lettersCall(id, model string) *Call {
	return &Call{ID: id, Kind: "letters", Model: model, ArrivedUs: 1, Routed: &RoutedCall{Host: "h", Path: "/l/x", PromptTokens: 100}}
}

// When a gateway was shut down while a call waited for its model, the connection of the call was closed without an answer at
// the end of the grace period (mix day, seed 620110391056).
func TestDrainAnswersEveryQueuedCall(t *testing.T) {
	d := New(Options{Gateway: "d1", QueueMax: 8})
	d.Step(1, SnapshotReceived{Snapshot: singleReplicaSnapshot()})
	if got := d.Step(2, CallArrived{Call: lettersCall("c1", "rare")}); len(got) != 1 || !isCallUnplaced(got[0]) {
		t.Fatalf("call for a model that no replica has: got %+v, want CallUnplaced", got)
	}
	d.Step(3, DrainStarted{})
	if got := d.Step(4, CallArrived{Call: lettersCall("c2", "m")}); len(got) != 1 || asAttemptStart(got[0]) == nil {
		t.Fatalf("call for a loaded model while draining: got %+v, want *AttemptStart", got)
	}
	refused := func(got []Effect, id string) {
		t.Helper()
		if len(got) != 1 || asCallFailed(got[0]) == nil || asCallFailed(got[0]).Call.ID != id || asCallFailed(got[0]).Fault.Code != fault.Draining ||
			asCallFailed(got[0]).Fault.Run != fault.RunNone || asCallFailed(got[0]).Fault.RetryMs == 0 {
			t.Fatalf("got %+v, want call %s refused as draining, with a retry delay", got, id)
		}
	}
	refused(d.Step(5, CallArrived{Call: lettersCall("c3", "rare")}), "c3")
	refused(d.Step(6, DrainEnded{}), "c1")
}
