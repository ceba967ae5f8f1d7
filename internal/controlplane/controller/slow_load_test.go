package controller

import (
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// Guards against releasing the capacity of a load that was settled by its declared duration but is still running, as happens
// with a slow store. The replica's next report released the capacity, and the replica was ordered to load more than its
// capacity (vasilev-yearbooks-grown quiet-1, second 16).
func TestSlowLoadKeepsCapacityUntilReported(t *testing.T) {
	s := statemachine.NewState()
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
	controller, replicas, index := New("one", Options{}), registry.New(3*clock.Sec), uint64(1)
	heartbeat := registry.ReplicaStatus{ID: "r", Service: "s", Addr: "r", Slots: 8, Seq: 1}
	nowUs := clock.Sec
	var step func(ev Event)
	step = func(ev Event) {
		for _, e := range controller.Step(Snapshot{NowUs: nowUs, State: s, IsHead: true, IsFresh: true, CanWrite: true, Registry: replicas}, ev) {
			switch e := e.(type) {
			case WriteChange:
				index++
				out := s.Apply(index, *e.Change)
				controller.OnApplied(nowUs, e.Change.Epoch, leaderUpdateOf(e.Change), s)
				step(WriteResult{Outcome: out})
			case SendOrder:
				step(OrderResult{Replica: "r", Incarnation: "r", State: wireRunning(e.Order.Command.Number)})
			}
		}
	}
	advance := func(us int64) {
		for endUs := nowUs + us; nowUs < endUs; {
			nowUs += 25 * clock.Ms
			heartbeat.Seq++
			replicas.HandleHeartbeat(nowUs, heartbeat)
			step(Tick{})
		}
	}
	advance(6 * clock.Sec)
	index++
	out := s.Apply(index, statemachine.Change{ID: "t", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Replica: "r", Incarnation: "r", Revision: s.Revision, Action: statemachine.Load, Unit: "m0"}}}})
	if len(out.Faults) > 0 {
		t.Fatal(out.Faults)
	}
	_, loadMs, _ := s.Doc.EngineUnitSize("s", "m0")
	advance(loadMs*1000 + 500*clock.Ms)
	if s.Replicas["r"].Resident["m0"] == 0 {
		t.Fatal("the load was not settled after its declared duration")
	}
	advance(2*loadMs*1000 + reportDelayUs/2)
	if s.Replicas["r"].Resident["m0"] == 0 {
		t.Fatal("the capacity of the load was released while it may still be running")
	}
	advance(3*loadMs*1000 + 2*reportDelayUs + clock.Sec)
	if s.Replicas["r"].Resident["m0"] != 0 {
		t.Fatal("the capacity of a load that never completed was not released")
	}
}

func leaderUpdateOf(c *statemachine.Change) statemachine.LeaderUpdate {
	if c.LeaderUpdate == nil {
		return statemachine.LeaderUpdate{}
	}
	return *c.LeaderUpdate
}

func wireRunning(number uint64) wire.OrderState {
	return wire.OrderState{Number: number, State: wire.OrderRunning}
}
