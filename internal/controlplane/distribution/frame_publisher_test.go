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

// newRoutedState returns a state with replicas that hold model m1 and have a pending command to load m2.
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

// Guards against redundant frames: with 140 replicas and 40 loads per second, every frame contained all pending commands, and
// every completed load was sent twice more, when the replica itself reported what the state had already recorded.
func TestFramesCarryOnlyChangesAndStandbyStreamsGetFewer(t *testing.T) {
	s := newRoutedState(t, "r1", "r2", "r3")
	reg := registry.New(3 * clock.Sec)
	p := NewFramePublisher()
	nowUs := clock.Sec
	heartbeat := func(id string, seq uint64, units ...string) {
		reg.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: id, Service: "s", Addr: id, Slots: 4, Seq: seq, Units: units})
	}
	frames := func(passUs int64) map[string]*wire.Frame {
		nowUs += passUs
		out := map[string]*wire.Frame{}
		for _, push := range p.Frames(FrameInput{NowUs: nowUs, State: s, Committed: true, Registry: reg}) {
			out[push.Gateway] = push.Frame
		}
		return out
	}
	for i := range 3 {
		heartbeat(fmt.Sprint("r", i+1), 1, "m1")
	}
	p.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "primary", Incarnation: "i"})
	p.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "standby", Incarnation: "i", Standby: true})
	first := frames(0)
	if len(first) != 2 || !first["primary"].Complete || len(first["standby"].Replicas) != 3 || len(first["standby"].Orders.Rows) != 3 {
		t.Fatal("first frames: got an incomplete or missing frame, want a complete one for each of the two streams")
	}
	number := s.Pending["r2"].Number
	s.Apply(3, statemachine.Change{ID: "e", LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: number, Succeeded: true}}}})
	after := frames(50 * clock.Ms)
	if after["standby"] != nil {
		t.Error("standby stream: got a frame 50 ms after the change, want none before the standby delay")
	}
	f := after["primary"]
	if f == nil || len(f.Replicas) != 1 || f.Replicas[0].ID != "r2" {
		t.Fatalf("primary stream after a completed load: got %+v, want the row of r2 alone", f)
	}
	if diff := cmp.Diff(&wire.PendingOrders{Number: 3, Rows: []wire.PendingOrder{{Replica: "r2"}}}, f.Orders); diff != "" {
		t.Errorf("pending commands (-want +got):\n%s", diff)
	}
	heartbeat("r2", 2, "m1", "m2")
	if again := frames(50 * clock.Ms); len(again) != 0 {
		t.Errorf("frames after the replica reported the recorded load: got rows %v, want no frame", again["primary"].Replicas)
	}
	if late := frames(400 * clock.Ms); late["standby"] == nil || len(late["standby"].Replicas) != 1 || len(late["standby"].Orders.Rows) != 1 {
		t.Error("standby stream: got no frame with one row and one command after the standby delay, want one")
	}
	p.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "late", Incarnation: "i"})
	s.Apply(4, statemachine.Change{ID: "f", LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.Pending["r1"].Number, Succeeded: true}}}})
	joined := frames(clock.Ms)
	if joined["primary"] == nil || joined["primary"].Orders == nil || joined["primary"].Orders.Number != joined["late"].Orders.Number {
		t.Error("new stream starts at another point than the others, want the same: items added and removed in between would remain")
	}
}

// Guards against missing replicas: a gateway that subscribed before the control node knew what is committed received each replica
// only after that replica's next heartbeat, as rows of replicas without a heartbeat were sent in full frames alone.
func TestGatewaySubscribedBeforeCommitReceivesAllReplicasOfState(t *testing.T) {
	reg := registry.New(3 * clock.Sec)
	p := NewFramePublisher()
	nowUs := clock.Sec
	in := FrameInput{State: statemachine.NewState(), Registry: reg}
	frame := func(passUs int64) *wire.Frame {
		nowUs += passUs
		in.NowUs = nowUs
		for _, push := range p.Frames(in) {
			if push.Gateway == "d" {
				return push.Frame
			}
		}
		return nil
	}
	reg.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r2", Service: "s", Addr: "r2", Slots: 4, Seq: 1, Units: []string{"m1"}})
	p.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "d", Incarnation: "i"})
	if first := frame(0); first == nil || !first.Complete || len(first.Replicas) != 1 || first.Revision != 0 {
		t.Fatalf("first frame: got %+v, want a complete frame with r2 alone and no declaration", first)
	}
	in.State = newRoutedState(t, "r1", "r2", "r3")
	if before := frame(clock.Ms); before != nil && before.Revision != 0 {
		t.Fatalf("frame before commit: got declaration revision %d, want none", before.Revision)
	}
	in.Committed = true
	committed := frame(20 * clock.Ms)
	if committed == nil || committed.Declaration == nil {
		t.Fatal("frame after commit: got no declaration, want one")
	}
	stale := map[string]bool{}
	for _, r := range committed.Replicas {
		stale[r.ID] = r.Stale
		if r.Stale && (r.Addr != r.ID || len(r.Units) != 1) {
			t.Errorf("stale replica %s: got address %q and units %v, want address %q and one unit", r.ID, r.Addr, r.Units, r.ID)
		}
	}
	if diff := cmp.Diff(map[string]bool{"r1": true, "r2": false, "r3": true}, stale); diff != "" {
		t.Errorf("replicas sent with the declaration, and whether stale (-want +got):\n%s", diff)
	}
	if again := frame(20 * clock.Ms); again != nil {
		t.Errorf("frame without any change: got rows %v, want no frame", again.Replicas)
	}
	reg.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r1", Service: "s", Addr: "r1", Slots: 4, Seq: 1, Units: []string{"m1"}})
	if live := frame(20 * clock.Ms); live == nil || len(live.Replicas) != 1 || live.Replicas[0].ID != "r1" || live.Replicas[0].Stale {
		t.Error("replica r1 after its first heartbeat: got no live row, want it to replace the stale row")
	}
	in.State.Apply(3, statemachine.Change{ID: "e", LeaderUpdate: &statemachine.LeaderUpdate{RemovedReplicas: []string{"r3"}}})
	if left := frame(20 * clock.Ms); left == nil || len(left.Replicas) != 1 || left.Replicas[0].ID != "r3" || !left.Replicas[0].Removed {
		t.Error("replica r3 after removal from the state: got no removed row, want one")
	}
}

// A replica incarnation that sent heartbeats and has ended must not reappear after a late change of its row in the state.
func TestStateChangeDoesNotReviveRemovedReplica(t *testing.T) {
	s := newRoutedState(t, "r1", "r2")
	reg := registry.New(3 * clock.Sec)
	p := NewFramePublisher()
	nowUs := clock.Sec
	frame := func(passUs int64) *wire.Frame {
		nowUs += passUs
		for _, push := range p.Frames(FrameInput{NowUs: nowUs, State: s, Committed: true, Registry: reg}) {
			return push.Frame
		}
		return nil
	}
	reg.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r1", Service: "s", Addr: "r1", Slots: 4, Seq: 1, Units: []string{"m1"}})
	p.Subscribe(nowUs, wire.SubscribeRequest{Gateway: "d", Incarnation: "i"})
	frame(0)
	reg.Remove(nowUs, "r1")
	if f := frame(20 * clock.Ms); f == nil || len(f.Replicas) != 1 || !f.Replicas[0].Removed {
		t.Fatalf("frame after the end of r1: got %+v, want a removed row alone", f)
	}
	for passed := int64(0); reg.Entry("r1") != nil; passed += clock.Sec {
		if passed > 300*clock.Sec {
			t.Fatal("replica r1 is still in the registry after 300 s, want it deleted")
		}
		nowUs += clock.Sec
		reg.Sweep(nowUs)
	}
	frame(clock.Sec)
	s.Apply(3, statemachine.Change{ID: "e", LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.Pending["r1"].Number, Succeeded: true}}}})
	if f := frame(clock.Sec); f != nil {
		for _, r := range f.Replicas {
			if r.ID == "r1" && !r.Removed {
				t.Error("removed replica r1: got a row, want none")
			}
		}
	}
}
