package controller

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// harness simulates the replicated state, the platform and the replicas for one controller, synchronously.
type harness struct {
	t            *testing.T
	controller   *Controller
	state        *statemachine.State
	nowUs        int64
	list         wire.ReplicaList
	replicas     map[string]*wire.ReplicaState
	orders       []wire.Order
	runs         []PolicyRun
	ignoreOrders bool
}

func newHarness(t *testing.T, nodeID string, s *statemachine.State) *harness {
	r := &harness{t: t, controller: New(nodeID, Options{}), state: s, nowUs: clock.Sec, replicas: map[string]*wire.ReplicaState{}, list: wire.ReplicaList{Version: 1}}
	for _, id := range []string{"r1", "r2"} {
		r.list.Replicas = append(r.list.Replicas, wire.ListedReplica{ID: id, Addr: id, Zone: "a", CapacityMB: 100, Slots: 4, State: wire.ListedReady})
		r.replicas[id] = &wire.ReplicaState{ID: id, Incarnation: "i"}
	}
	return r
}

func newTestState() *statemachine.State {
	s := statemachine.NewState()
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Doc: &configuration.Declaration{
		Store: configuration.Store{Loads: 2, MBPerSecond: 1000, BurstMB: 100}, Models: []configuration.Model{{Name: "m", SizeMB: 60, Weight: 1, Capacity: []configuration.CapacityPoint{{Replicas: 1, CallsPerSecond: 10, LatencyMs: 5}}}},
	}}})
	return s
}

func (r *harness) snapshot() Snapshot {
	return Snapshot{NowUs: r.nowUs, State: r.state, IsHead: true, IsFresh: true, CanWrite: true}
}

func (r *harness) dispatch(ev Event) {
	for _, e := range r.controller.Step(r.snapshot(), ev) {
		switch e := e.(type) {
		case PollPlatform:
			list := r.list
			r.dispatch(PlatformListing{List: &list})
		case ReportRequest:
			known := r.replicas[e.Replica]
			if known == nil {
				continue
			}
			st := *known
			r.dispatch(ReplicaReport{RequestedUs: e.RequestedUs, Replica: e.Replica, Addr: e.Addr, State: &st})
		case SendOrder:
			r.orders = append(r.orders, e.Order)
			if !r.ignoreOrders {
				command := e.Order.Command
				r.replicas[command.Replica].LastOrder = &wire.OrderState{Number: command.Number, State: wire.OrderRunning}
			}
		case WriteChange:
			out := r.state.Apply(r.state.Index+1, *e.Change)
			r.dispatch(WriteResult{Outcome: out})
		case PolicyRun:
			r.runs = append(r.runs, e)
			r.dispatch(PolicyResult{Number: e.Number, Revision: e.Revision})
		}
	}
}

func (r *harness) advance(us int64) {
	for end := r.nowUs + us; r.nowUs < end; r.nowUs += 25 * clock.Ms {
		r.dispatch(Tick{})
	}
}

func (r *harness) propose(replica string) {
	last := r.runs[len(r.runs)-1]
	r.dispatch(PolicyResult{Number: last.Number, Revision: last.Revision, Live: placement.RunResult{Proposals: []placement.Proposal{{Step: statemachine.Load, Replica: replica, Unit: "m"}}}})
	r.advance(200 * clock.Ms)
}

func TestScalerCountsNewReplicasAndNotDrainingOnes(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.advance(2 * clock.Sec)
	usable := func() int {
		n := 0
		for _, row := range r.runs[len(r.runs)-1].Fleet.Replicas {
			if row.Usable {
				n++
			}
		}
		return n
	}
	if usable() != 2 {
		t.Fatalf("usable replicas: got %d, want 2", usable())
	}
	r.list.Version++
	r.list.Replicas = append(r.list.Replicas, wire.ListedReplica{ID: "r3", Addr: "r3", Zone: "b", CapacityMB: 100, Slots: 4, State: wire.ListedReady})
	r.replicas["r3"] = &wire.ReplicaState{ID: "r3", Incarnation: "i"}
	r.advance(2 * clock.Sec)
	if usable() != 3 {
		t.Fatalf("usable replicas after a third was listed: got %d, want 3", usable())
	}
	r.list.Version++
	r.list.Replicas[0].State = wire.ListedDraining
	r.advance(2 * clock.Sec)
	if usable() != 2 || !r.state.Replicas["r1"].Draining {
		t.Fatalf("usable replicas after r1 began to drain: got %d (r1 draining: %v), want 2", usable(), r.state.Replicas["r1"].Draining)
	}
}

// A command can be in any of these stages when its leader fails. In each of them the successor neither issues the command
// again under another number nor loses the capacity reserved for it.
func TestSuccessorSettlesPendingCommands(t *testing.T) {
	for _, stage := range []string{"written but not sent", "running", "completed", "failed", "superseded"} {
		t.Run(stage, func(t *testing.T) {
			predecessor := newHarness(t, "one", newTestState())
			predecessor.ignoreOrders = true
			predecessor.advance(2 * clock.Sec)
			predecessor.propose("r1")
			command, pending := predecessor.state.Pending["r1"]
			if !pending || len(predecessor.orders) == 0 {
				t.Fatalf("no command was issued and sent: pending %v, %d orders sent", pending, len(predecessor.orders))
			}
			successor := newHarness(t, "two", predecessor.state)
			successor.nowUs = predecessor.nowUs
			last := &wire.OrderState{Number: command.Number}
			switch stage {
			case "running":
				last.State = wire.OrderRunning
			case "completed":
				last.State = wire.OrderDone
				successor.replicas["r1"].Loaded = []statemachine.ResidentUnit{{Unit: "m", SizeMB: 60}}
			case "failed":
				last.State = wire.OrderFailed
			case "superseded":
				last.Number, last.State = command.Number+9, wire.OrderDone
			default:
				last = nil
			}
			successor.replicas["r1"].LastOrder = last
			successor.advance(2 * clock.Sec)
			if successor.state.Epoch != 2 || successor.state.Leader != "two" {
				t.Fatalf("leadership was not taken over: leader %q in epoch %d, want two in epoch 2",
					successor.state.Leader, successor.state.Epoch)
			}
			_, stillPending := successor.state.Pending["r1"]
			_, isResident := successor.state.Replicas["r1"].Resident["m"]
			switch stage {
			case "written but not sent":
				if len(successor.orders) == 0 || successor.orders[0].Command.Number != command.Number || !stillPending || successor.state.ReservedMB("r1") != 60 {
					t.Fatalf("command not sent to r1: got orders %+v, pending %v, reserved %d MB; want command %d, pending, 60 MB",
						successor.orders, stillPending, successor.state.ReservedMB("r1"), command.Number)
				}
			case "running":
				if len(successor.orders) != 0 || !stillPending || successor.state.ReservedMB("r1") != 60 {
					t.Fatalf("command running at r1: got orders %+v, pending %v, reserved %d MB; want no orders, pending, 60 MB",
						successor.orders, stillPending, successor.state.ReservedMB("r1"))
				}
			case "completed":
				if stillPending || !isResident {
					t.Fatalf("completed load: got pending %v, resident %v; want settled and resident", stillPending, isResident)
				}
			default:
				if stillPending || isResident {
					t.Fatalf("%s load: got pending %v, resident %v; want settled and not resident", stage, stillPending, isResident)
				}
			}
			outcome := predecessor.state.Apply(predecessor.state.Index+1, statemachine.Change{ID: "late", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Replica: "r2", Incarnation: "i", Revision: 1, Action: statemachine.Load, Unit: "m"}}}})
			if outcome.Fault == nil {
				t.Fatal("a write of the suspended predecessor in epoch 1 was accepted")
			}
		})
	}
}

func TestControllerSendsNoOrdersWithoutHeadLease(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.advance(2 * clock.Sec)
	r.propose("r1")
	r.orders = nil
	r.nowUs += 2 * clock.Sec
	snapshot := r.snapshot()
	snapshot.IsFresh = false
	for _, e := range r.controller.Step(snapshot, Tick{}) {
		switch e.(type) {
		case SendOrder, WriteChange:
			t.Fatalf("head without a valid lease: got effect %+v, want no orders and no writes", e)
		}
	}
	snapshot.IsHead = false
	if r.controller.Step(snapshot, Tick{}); r.controller.IsLeader(r.state) {
		t.Fatal("a control node that is not the head still leads")
	}
}

func TestReplicaIsRemovedOnlyByValidListing(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.advance(2 * clock.Sec)
	valid := r.list
	for _, invalid := range []*wire.ReplicaList{nil, {Version: 0}, {Version: 9}, {Version: 9, Replicas: []wire.ListedReplica{{ID: "r1"}}}} {
		r.dispatch(PlatformListing{List: invalid})
		r.dispatch(Tick{})
		if len(r.state.Replicas) != 2 {
			t.Fatalf("recorded replicas after invalid listing %+v: got %d, want 2", invalid, len(r.state.Replicas))
		}
	}
	r.list = wire.ReplicaList{Version: 10, Replicas: valid.Replicas[:1]}
	r.advance(clock.Sec)
	if len(r.state.Replicas) != 1 {
		t.Fatalf("recorded replicas after a valid listing of one: got %d, want 1", len(r.state.Replicas))
	}
}

// Guards against charging a load that is issued between two ticks to tokens that the bucket would only have held at the next
// tick, had it continued to fill. The bucket must be refilled to the current time and its limit first (found by the
// simulated day with seed 2321).
func TestBudgetIsRefilledBeforeSpendingBetweenTicks(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.ignoreOrders = true
	r.advance(2 * clock.Sec)
	full := r.controller.declared.budget.bucket.TokensMb
	if full != float64(r.state.Doc.Store.BurstMB) {
		t.Fatalf("tokens in the bucket: got %v MB, want the burst of %d MB", full, r.state.Doc.Store.BurstMB)
	}
	r.nowUs += 20 * clock.Ms
	r.propose("r1")
	spent := full - r.controller.declared.budget.bucket.TokensMb
	r.nowUs += clock.Ms
	r.dispatch(Tick{})
	if maxTokens := full - spent + 2; r.controller.declared.budget.bucket.TokensMb > maxTokens {
		t.Fatalf("tokens one millisecond after spending %v of %v MB: got %v MB, want at most %v MB",
			spent, full, r.controller.declared.budget.bucket.TokensMb, maxTokens)
	}
}
