package controller

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// rig plays ledger, platform and replicas for one controller, all in step.
type rig struct {
	t      *testing.T
	f      *Controller
	s      *statemachine.State
	nowUs  int64
	list   wire.ReplicaList
	states map[string]*wire.ReplicaState
	orders []wire.Order
	runs   []PolicyRun
	mute   bool
}

func newRig(t *testing.T, me string, s *statemachine.State) *rig {
	r := &rig{t: t, f: New(me, Options{}), s: s, nowUs: clock.Sec, states: map[string]*wire.ReplicaState{}, list: wire.ReplicaList{Version: 1}}
	for _, id := range []string{"r1", "r2"} {
		r.list.Replicas = append(r.list.Replicas, wire.ListedReplica{ID: id, Addr: id, Zone: "a", CapacityMB: 100, Slots: 4, State: wire.ListedReady})
		r.states[id] = &wire.ReplicaState{ID: id, Incarnation: "i"}
	}
	return r
}

func freshState() *statemachine.State {
	s := statemachine.NewState()
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Doc: &configuration.Declaration{
		Store: configuration.Store{Loads: 2, MBPerSecond: 1000, BurstMB: 100}, Models: []configuration.Model{{Name: "m", SizeMB: 60, Weight: 1, Capacity: []configuration.CapacityPoint{{Replicas: 1, CallsPerSecond: 10, LatencyMs: 5}}}},
	}}})
	return s
}

func (r *rig) seen() Snapshot {
	return Snapshot{NowUs: r.nowUs, State: r.s, IsHead: true, IsFresh: true, CanWrite: true}
}

func (r *rig) feed(ev Event) {
	for _, e := range r.f.Step(r.seen(), ev) {
		switch e := e.(type) {
		case PollPlatform:
			list := r.list
			r.feed(PlatformListing{List: &list})
		case ReportRequest:
			known := r.states[e.Replica]
			if known == nil {
				continue
			}
			st := *known
			r.feed(ReplicaReport{RequestedUs: e.RequestedUs, Replica: e.Replica, Addr: e.Addr, State: &st})
		case SendOrder:
			r.orders = append(r.orders, e.Order)
			if !r.mute {
				t := e.Order.Command
				r.states[t.Replica].LastOrder = &wire.OrderState{Number: t.Number, State: wire.OrderRunning}
			}
		case WriteChange:
			out := r.s.Apply(r.s.Index+1, *e.Change)
			r.feed(WriteResult{Outcome: out})
		case PolicyRun:
			r.runs = append(r.runs, e)
			r.feed(PolicyResult{Number: e.Number, Revision: e.Revision})
		}
	}
}

func (r *rig) pass(us int64) {
	for end := r.nowUs + us; r.nowUs < end; r.nowUs += 25 * clock.Ms {
		r.feed(Tick{})
	}
}

func (r *rig) propose(replica string) {
	last := r.runs[len(r.runs)-1]
	r.feed(PolicyResult{Number: last.Number, Revision: last.Revision, Live: placement.RunResult{Proposals: []placement.Proposal{{Step: statemachine.Load, Replica: replica, Unit: "m"}}}})
	r.pass(200 * clock.Ms)
}

func TestScalerCountsNewReplicasAndNotDrainingOnes(t *testing.T) {
	r := newRig(t, "one", freshState())
	r.pass(2 * clock.Sec)
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
		t.Fatalf("%d usable", usable())
	}
	r.list.Version++
	r.list.Replicas = append(r.list.Replicas, wire.ListedReplica{ID: "r3", Addr: "r3", Zone: "b", CapacityMB: 100, Slots: 4, State: wire.ListedReady})
	r.states["r3"] = &wire.ReplicaState{ID: "r3", Incarnation: "i"}
	r.pass(2 * clock.Sec)
	if usable() != 3 {
		t.Fatalf("a new replica is not counted: %d", usable())
	}
	r.list.Version++
	r.list.Replicas[0].State = wire.ListedDraining
	r.pass(2 * clock.Sec)
	if usable() != 2 || !r.s.Replicas["r1"].Draining {
		t.Fatalf("a leaving replica is still counted: %d", usable())
	}
}

// At each point a ticket can be at when its controller dies, the successor neither repeats it
// under another number nor loses its room.
func TestSuccessorSettlesPendingCommands(t *testing.T) {
	for _, at := range []string{"written, not sent", "sent, running", "sent, done", "sent, failed", "overtaken"} {
		t.Run(at, func(t *testing.T) {
			one := newRig(t, "one", freshState())
			one.mute = true
			one.pass(2 * clock.Sec)
			one.propose("r1")
			ticket, pending := one.s.Pending["r1"]
			if !pending || len(one.orders) == 0 {
				t.Fatal("no ticket was issued and sent")
			}
			two := newRig(t, "two", one.s)
			two.nowUs = one.nowUs
			last := &wire.OrderState{Number: ticket.Number}
			switch at {
			case "sent, running":
				last.State = wire.OrderRunning
			case "sent, done":
				last.State = wire.OrderDone
				two.states["r1"].Loaded = []statemachine.ResidentUnit{{Unit: "m", SizeMB: 60}}
			case "sent, failed":
				last.State = wire.OrderFailed
			case "overtaken":
				last.Number, last.State = ticket.Number+9, wire.OrderDone
			default:
				last = nil
			}
			two.states["r1"].LastOrder = last
			two.pass(2 * clock.Sec)
			if two.s.Epoch != 2 || two.s.Leader != "two" {
				t.Fatal("leadership was not taken over")
			}
			_, stillPending := two.s.Pending["r1"]
			_, held := two.s.Replicas["r1"].Resident["m"]
			switch at {
			case "written, not sent":
				if len(two.orders) == 0 || two.orders[0].Command.Number != ticket.Number || !stillPending || two.s.ReservedMB("r1") != 60 {
					t.Fatalf("orders %+v", two.orders)
				}
			case "sent, running":
				if len(two.orders) != 0 || !stillPending || two.s.ReservedMB("r1") != 60 {
					t.Fatalf("orders %+v, pending %v", two.orders, stillPending)
				}
			case "sent, done":
				if stillPending || !held {
					t.Fatal("a done load is not held")
				}
			default:
				if stillPending || held {
					t.Fatalf("pending %v held %v", stillPending, held)
				}
			}
			late := one.s.Apply(one.s.Index+1, statemachine.Change{ID: "late", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Replica: "r2", Incarnation: "i", Revision: 1, Action: statemachine.Load, Unit: "m"}}}})
			if late.Fault == nil {
				t.Fatal("the frozen predecessor's write was taken")
			}
		})
	}
}

func TestControllerOrdersNothingWithoutFreshChain(t *testing.T) {
	r := newRig(t, "one", freshState())
	r.pass(2 * clock.Sec)
	r.propose("r1")
	r.orders = nil
	r.nowUs += 2 * clock.Sec
	snapshot := r.seen()
	snapshot.IsFresh = false
	for _, e := range r.f.Step(snapshot, Tick{}) {
		switch e.(type) {
		case SendOrder, WriteChange:
			t.Fatalf("a head that the chain has not answered acts: %+v", e)
		}
	}
	snapshot.IsHead = false
	if r.f.Step(snapshot, Tick{}); r.f.IsLeader(r.s) {
		t.Fatal("a control node that is not the head keeps leadership")
	}
}

func TestReplicaIsRemovedOnlyByValidListing(t *testing.T) {
	r := newRig(t, "one", freshState())
	r.pass(2 * clock.Sec)
	good := r.list
	for _, bad := range []*wire.ReplicaList{nil, {Version: 0}, {Version: 9}, {Version: 9, Replicas: []wire.ListedReplica{{ID: "r1"}}}} {
		r.feed(PlatformListing{List: bad})
		r.feed(Tick{})
		if len(r.s.Replicas) != 2 {
			t.Fatalf("%+v dropped replicas", bad)
		}
	}
	r.list = wire.ReplicaList{Version: 10, Replicas: good.Replicas[:1]}
	r.pass(clock.Sec)
	if len(r.s.Replicas) != 1 {
		t.Fatal("a replica missing from a good list stays")
	}
}

// A load between two ticks is spent from a bucket that is full now, not from what it would have held by
// the next tick had it gone on filling (found by seeded day 2321).
func TestBudgetIsRefilledBeforeSpendingBetweenTicks(t *testing.T) {
	r := newRig(t, "one", freshState())
	r.mute = true
	r.pass(2 * clock.Sec)
	full := r.f.declared.budget.bucket.TokensMb
	if full != float64(r.s.Doc.Store.BurstMB) {
		t.Fatalf("%v of %d", full, r.s.Doc.Store.BurstMB)
	}
	r.nowUs += 20 * clock.Ms
	r.propose("r1")
	spent := full - r.f.declared.budget.bucket.TokensMb
	r.nowUs += clock.Ms
	r.feed(Tick{})
	if most := full - spent + 2; r.f.declared.budget.bucket.TokensMb > most {
		t.Fatalf("%v tokens a millisecond after spending %v of %v", r.f.declared.budget.bucket.TokensMb, spent, full)
	}
}
