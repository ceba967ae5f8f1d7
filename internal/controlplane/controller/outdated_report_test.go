package controller

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

func stateWithPendingLoad(t *testing.T) *statemachine.State {
	t.Helper()
	s := statemachine.NewState()
	engine := &configuration.Engine{Slots: 4, CacheTokens: 1000, CapacityMB: 100, LoadsPerSecond: 1, Models: []configuration.EngineModel{{Name: "m", SizeMB: 60, LoadMs: 100}, {Name: "n", SizeMB: 60, LoadMs: 100}}}
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s", Engine: engine}},
		Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Streaming, TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}}}
	for i, c := range []statemachine.Change{
		{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}},
		{ID: "k", Epoch: 1, Claim: &statemachine.Claim{Leader: "before"}},
		{ID: "d", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{{ID: "r1", Incarnation: "r1", Addr: "a", CapacityMB: 100, Slots: 4, Service: "s", ResidentKnown: true}}}},
		{ID: "t", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Revision: 1, Replica: "r1", Incarnation: "r1", Action: statemachine.Load, Unit: "m"}}}},
	} {
		if out := s.Apply(uint64(i+1), c); out.Fault != nil || len(out.Faults) > 0 {
			t.Fatal(c.ID, out.Fault, out.Faults)
		}
	}
	return s
}

// Guards against taking a delayed report for the current state of a replica (seeds 44 and 70 of the simulated days in routed
// mode). A report from before the end of the replica's last load was queued on a suspended control node. The controller took
// it for the latest report and ordered a load beyond the replica's capacity.
func TestReportOlderThanLastOrderIsIgnored(t *testing.T) {
	s := stateWithPendingLoad(t)
	controller := New("me", Options{})
	controller.routed.predecessor.startedUs = clock.Sec
	doneUs := 60 * clock.Sec
	done := statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: s.Pending["r1"].Number, Succeeded: true}}}
	s.Apply(5, statemachine.Change{ID: "e", Epoch: 1, LeaderUpdate: &done})
	controller.OnApplied(doneUs, 1, done, s)
	controller.resign()
	for _, c := range []struct {
		name   string
		lateUs int64
		atUs   int64
		taken  bool
	}{
		{"recent receipt of a report from before the result", 0, doneUs + clock.Sec, false},
		{"late receipt after the control node was suspended", 5 * clock.Sec, doneUs + 4*clock.Sec, false},
		{"report from after the maximum report delay", 0, doneUs + 4*clock.Sec, true},
	} {
		replicas := registry.New(3 * clock.Sec)
		replicas.ReadDelayUs = c.lateUs
		replicas.HandleHeartbeat(c.atUs, registry.ReplicaStatus{ID: "r1", Service: "s", Addr: "a", Slots: 4, Seq: 9})
		update := &statemachine.LeaderUpdate{}
		controller.recordRegistry(Snapshot{NowUs: c.atUs, State: s, Registry: replicas}, update)
		if taken := len(update.Replicas) > 0; taken != c.taken {
			t.Errorf("%s: report recorded: got %v, want %v", c.name, taken, c.taken)
		}
	}
}

// A leader that takes over a pending command and resends it does not issue a command of its own. Here a control node is
// isolated while the command is pending and later restored from a snapshot in which it is settled, so that it observes
// neither the resend nor the result. It has to wait until the lease has expired.
func TestUnseenResultCountsAsOrderOfAnotherLeader(t *testing.T) {
	s := stateWithPendingLoad(t)
	controller := New("me", Options{LeaseUs: 3 * clock.Sec})
	controller.Step(Snapshot{NowUs: clock.Sec, State: s, Registry: registry.New(clock.Sec)}, Tick{})

	number := s.Pending["r1"].Number
	s.Apply(5, statemachine.Change{ID: "before", Epoch: 2, Claim: &statemachine.Claim{Leader: "other"}})
	s.Apply(6, statemachine.Change{ID: "settled", Epoch: 2, LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: number, Succeeded: true}}}})
	nowUs := 60 * clock.Sec
	head := func() {
		controller.Step(Snapshot{NowUs: nowUs, State: s, IsHead: true, IsFresh: true, CanWrite: true, Registry: registry.New(clock.Sec)}, Tick{})
	}
	head()
	s.Apply(7, statemachine.Change{ID: "mine", Epoch: 3, Claim: &statemachine.Claim{Leader: "me"}})
	head()
	if !controller.IsLeader(s) {
		t.Fatal("the controller does not lead after its claim was applied")
	}
	if controller.routed.predecessor.canOrder(nowUs+2*clock.Sec, "r1") {
		t.Error("r1 may be ordered within the lease of a leader whose order was not observed")
	}
	if !controller.routed.predecessor.canOrder(nowUs+4*clock.Sec, "r1") {
		t.Error("r1 may not be ordered after the lease has passed")
	}
}

// Guards against missing an order of the previous leader that is settled before the new leader's first tick (seeds 41, 22
// and 31 of the simulated days with slow stores). The new leader received a gateway report with queued calls, requested the
// report of a replica with a pending command of the previous leader, and settled that command before its first tick. At the
// tick no order of another leader was visible, and the new leader ordered the replica within the previous leader's lease.
func TestOrderSettledBeforeFirstTickCountsAsOrderOfPredecessor(t *testing.T) {
	s := stateWithPendingLoad(t)
	controller := New("me", Options{LeaseUs: 3 * clock.Sec})
	replicas := registry.New(clock.Sec)
	nowUs := 60 * clock.Sec
	replicas.HandleHeartbeat(nowUs, registry.ReplicaStatus{ID: "r1", Service: "s", Addr: "a", Slots: 4, Seq: 9})
	snapshot := func() Snapshot {
		return Snapshot{NowUs: nowUs, State: s, IsHead: true, IsFresh: true, CanWrite: true, Registry: replicas}
	}
	controller.Step(Snapshot{NowUs: clock.Sec, State: s, Registry: replicas}, Tick{})
	controller.Step(snapshot(), Tick{})
	s.Apply(5, statemachine.Change{ID: "claimed", Epoch: 2, Claim: &statemachine.Claim{Leader: "me"}})
	if !controller.IsLeader(s) {
		t.Fatal("the controller does not lead after its claim was applied")
	}
	apply := func(effects []Effect) {
		for _, effect := range effects {
			if write, ok := effect.(WriteChange); ok && write.Change.LeaderUpdate != nil {
				s.Apply(s.Index+1, *write.Change)
				controller.OnApplied(nowUs, write.Change.Epoch, *write.Change.LeaderUpdate, s)
			}
		}
	}
	requested := false
	for _, effect := range controller.Step(snapshot(), GatewayReport{Report: &wire.Report{Gateway: "d1", Zone: "a", Queued: map[string]int{"n": 3}}}) {
		_, isRequest := effect.(ReportRequest)
		requested = requested || isRequest
	}
	apply(controller.effects)
	nowUs += 10 * clock.Ms
	apply(controller.Step(snapshot(), ReplicaReport{RequestedUs: nowUs, Replica: "r1", Addr: "a", State: &wire.ReplicaState{ID: "r1", Incarnation: "r1", Orders: 1, Units: []string{"m"}}}))
	if !requested || len(s.Pending) > 0 {
		t.Fatalf("order before the first tick: got report requested %v, pending %v; want requested and settled", requested, s.Pending)
	}
	nowUs += 10 * clock.Ms
	controller.Step(snapshot(), Tick{})
	if controller.routed.predecessor.canOrder(nowUs+3*clock.Sec, "r1") {
		t.Error("r1 may be ordered within the lease of the previous leader")
	}
}
