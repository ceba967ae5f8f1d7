package distribution

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// newRoutedState has replicas that hold m1 and have an order for m2 each.
func newRoutedState(t *testing.T, ids ...string) *statemachine.State {
	t.Helper()
	s := statemachine.NewState()
	engine := &configuration.Engine{Slots: 4, CacheTokens: 1, CapacityMB: 100, LoadsPerSecond: 1, Models: []configuration.EngineModel{{Name: "m1", SizeMB: 10, LoadMs: 100}, {Name: "m2", SizeMB: 10, LoadMs: 100}}}
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s", Engine: engine}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Streaming, TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}}}
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}})
	update := &statemachine.LeaderUpdate{}
	for _, id := range ids {
		update.Replicas = append(update.Replicas, statemachine.ReplicaUpdate{ID: id, Incarnation: id, Addr: id, CapacityMB: 100, Slots: 4, Service: "s", ResidentKnown: true, Resident: []statemachine.ResidentUnit{{Unit: "m1", SizeMB: 10}}})
		update.Commands = append(update.Commands, statemachine.ReplicaCommand{Revision: 1, Replica: id, Incarnation: id, Action: statemachine.Load, Unit: "m2"})
	}
	if out := s.Apply(2, statemachine.Change{ID: "d", LeaderUpdate: update}); out.Fault != nil || len(out.Faults) > 0 {
		t.Fatal(out.Fault, out.Faults)
	}
	return s
}

// With 140 replicas and forty loads a second, every frame named every order that stood, and every load went
// out twice more as the replica's own word of what the ledger had said already.
func TestFramesCarryOnlyChangesAndStandbyStreamsGetFewer(t *testing.T) {
	s := newRoutedState(t, "r1", "r2", "r3")
	soft := registry.New(3 * clock.Sec)
	h := NewFramePublisher()
	nowUs := clock.Sec
	hear := func(id string, seq uint64, units ...string) {
		soft.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: id, Service: "s", Addr: id, Slots: 4, Seq: seq, Units: units})
	}
	frames := func(passUs int64) map[string]*wire.Frame {
		nowUs += passUs
		out := map[string]*wire.Frame{}
		for _, p := range h.Frames(FrameInput{NowUs: nowUs, State: s, Committed: true, Registry: soft}) {
			out[p.Gateway] = p.Frame
		}
		return out
	}
	for i := range 3 {
		hear(fmt.Sprint("r", i+1), 1, "m1")
	}
	h.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "main", Incarnation: "i"})
	h.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "spare", Incarnation: "i", Standby: true})
	first := frames(0)
	if len(first) != 2 || !first["main"].Complete || len(first["spare"].Replicas) != 3 || len(first["spare"].Orders.Rows) != 3 {
		t.Fatal("the first frames are not whole")
	}
	number := s.Pending["r2"].Number
	s.Apply(3, statemachine.Change{ID: "e", LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: number, Succeeded: true}}}})
	after := frames(50 * clock.Ms)
	if after["spare"] != nil {
		t.Error("a spare stream was brought on at once")
	}
	f := after["main"]
	if f == nil || len(f.Replicas) != 1 || f.Replicas[0].ID != "r2" {
		t.Fatal("the load's end did not go to the main stream alone by itself")
	}
	if diff := cmp.Diff(&wire.PendingOrders{Number: 3, Rows: []wire.PendingOrder{{Replica: "r2"}}}, f.Orders); diff != "" {
		t.Errorf("orders: %s", diff)
	}
	hear("r2", 2, "m1", "m2")
	if again := frames(50 * clock.Ms); len(again) != 0 {
		t.Errorf("the replica's own word of it was told again: %v", again["main"].Replicas)
	}
	if late := frames(400 * clock.Ms); late["spare"] == nil || len(late["spare"].Replicas) != 1 || len(late["spare"].Orders.Rows) != 1 {
		t.Error("the spare stream was not brought on in its time")
	}
	h.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "late", Incarnation: "i"})
	s.Apply(4, statemachine.Change{ID: "f", LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.Pending["r1"].Number, Succeeded: true}}}})
	joined := frames(clock.Ms)
	if joined["main"] == nil || joined["main"].Orders == nil || joined["main"].Orders.Number != joined["late"].Orders.Number {
		t.Error("a stream joined at another point than the others stand at: what came and went between would stay")
	}
}

// A gateway that followed a control node before the control node knew what is committed learnt of each replica only with its next
// heartbeat: what the ledger says of replicas that nobody has heard went out in whole frames alone.
func TestGatewaysFollowingBeforeCommitLearnAllReplicasOfTheState(t *testing.T) {
	soft := registry.New(3 * clock.Sec)
	h := NewFramePublisher()
	nowUs := clock.Sec
	in := FrameInput{State: statemachine.NewState(), Registry: soft}
	frame := func(passUs int64) *wire.Frame {
		nowUs += passUs
		in.NowUs = nowUs
		for _, p := range h.Frames(in) {
			if p.Gateway == "d" {
				return p.Frame
			}
		}
		return nil
	}
	soft.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r2", Service: "s", Addr: "r2", Slots: 4, Seq: 1, Units: []string{"m1"}})
	h.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "d", Incarnation: "i"})
	if first := frame(0); first == nil || !first.Complete || len(first.Replicas) != 1 || first.Revision != 0 {
		t.Fatal("the first frame is not what a control node knows that has just started")
	}
	in.State = newRoutedState(t, "r1", "r2", "r3")
	if before := frame(clock.Ms); before != nil && before.Revision != 0 {
		t.Fatal("a declaration was told that may not be the chain's")
	}
	in.Committed = true
	settled := frame(20 * clock.Ms)
	if settled == nil || settled.Declaration == nil {
		t.Fatal("the declaration did not go out once the chain had settled")
	}
	stale := map[string]bool{}
	for _, r := range settled.Replicas {
		stale[r.ID] = r.Stale
		if r.Stale && (r.Addr != r.ID || len(r.Units) != 1) {
			t.Errorf("%s is at %q and holds %v", r.ID, r.Addr, r.Units)
		}
	}
	if diff := cmp.Diff(map[string]bool{"r1": true, "r2": false, "r3": true}, stale); diff != "" {
		t.Errorf("replicas told with the declaration, and whether by the ledger alone: %s", diff)
	}
	if again := frame(20 * clock.Ms); again != nil {
		t.Errorf("told again: %v", again.Replicas)
	}
	soft.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r1", Service: "s", Addr: "r1", Slots: 4, Seq: 1, Units: []string{"m1"}})
	if heard := frame(20 * clock.Ms); heard == nil || len(heard.Replicas) != 1 || heard.Replicas[0].ID != "r1" || heard.Replicas[0].Stale {
		t.Error("a replica's first word did not take the place of the ledger's")
	}
	in.State.Apply(3, statemachine.Change{ID: "e", LeaderUpdate: &statemachine.LeaderUpdate{RemovedReplicas: []string{"r3"}}})
	if left := frame(20 * clock.Ms); left == nil || len(left.Replicas) != 1 || left.Replicas[0].ID != "r3" || !left.Replicas[0].Removed {
		t.Error("a replica that the ledger has let go was not taken back")
	}
}

// An incarnation that was heard and has ended must not come back by a late change of its row in the ledger.
func TestStateChangeDoesNotReviveRemovedReplica(t *testing.T) {
	s := newRoutedState(t, "r1", "r2")
	soft := registry.New(3 * clock.Sec)
	h := NewFramePublisher()
	nowUs := clock.Sec
	frame := func(passUs int64) *wire.Frame {
		nowUs += passUs
		for _, p := range h.Frames(FrameInput{NowUs: nowUs, State: s, Committed: true, Registry: soft}) {
			return p.Frame
		}
		return nil
	}
	soft.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r1", Service: "s", Addr: "r1", Slots: 4, Seq: 1, Units: []string{"m1"}})
	h.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "d", Incarnation: "i"})
	frame(0)
	soft.Remove(nowUs, "r1")
	if f := frame(20 * clock.Ms); f == nil || len(f.Replicas) != 1 || !f.Replicas[0].Removed {
		t.Fatal("its end was not told")
	}
	for passed := int64(0); soft.Entry("r1") != nil; passed += clock.Sec {
		if passed > 300*clock.Sec {
			t.Fatal("it is never forgotten")
		}
		nowUs += clock.Sec
		soft.Sweep(nowUs)
	}
	frame(clock.Sec)
	s.Apply(3, statemachine.Change{ID: "e", LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.Pending["r1"].Number, Succeeded: true}}}})
	if f := frame(clock.Sec); f != nil {
		for _, r := range f.Replicas {
			if r.ID == "r1" && !r.Removed {
				t.Error("it came back")
			}
		}
	}
}
