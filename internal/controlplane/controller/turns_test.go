package controller

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// ordersSince counts the replicas that a holder has ordered since a moment, and says when the first was.
func (f *fleet) ordersSince(us int64, holder string) (n int, firstUs int64) {
	for id := range f.machines {
		for _, o := range f.orders["at "+id] {
			if o.holder == holder && o.atUs >= us {
				n++
				if firstUs == 0 || o.atUs < firstUs {
					firstUs = o.atUs
				}
				break
			}
		}
	}
	return n, firstUs
}

// calls asks for models that change from round to round, so that there is always something to order.
func (f *fleet) calls(rounds int) {
	for range rounds {
		unit := fmt.Sprint("m", f.r.Intn(9))
		f.demand(map[string]int{unit: 3}, map[string]float64{unit: 10})
		f.pass(250 * clock.Ms)
	}
}

// A holder that takes over waits out the lease at the replicas that the one before has ordered lately; the others
// it orders at once.
func TestSuccessorWaitsOnlyWherePredecessorOrdered(t *testing.T) {
	sooner, spans := 0, []int64{}
	for seed := int64(0); seed < 12; seed++ {
		f := newFleet(t, seed, 9)
		f.calls(24)
		f.take()
		atUs := f.nowUs
		f.calls(24)
		n, firstUs := f.ordersSince(atUs, fmt.Sprint("office", f.head))
		if n == 0 {
			t.Fatalf("seed %d: nothing was ordered after the takeover", seed)
		}
		spans = append(spans, (firstUs-atUs)/1000)
		if firstUs-atUs < fleetLeaseUs {
			sooner++
		}
	}
	slices.Sort(spans)
	t.Logf("first orders %v ms after the takeover", spans)
	if sooner < 9 || spans[len(spans)/2] > 2000 {
		t.Errorf("in %d of 12 takeovers anything was ordered within the lease: after %v ms", sooner, spans)
	}
}

// A control node that was out of the chain comes back by a copy, and sees none of the tickets that are in it. Taking over
// soon after, it does not take the replicas for left alone.
func TestControllerRestoredFromSnapshotWaitsOutUnseenOrders(t *testing.T) {
	for name, deaf := range map[string]bool{"saw them": false, "came by a copy": true} {
		s := statemachine.NewState()
		index := uint64(0)
		f := New("two", Options{LeaseUs: fleetLeaseUs, StoreWindowUs: fleetWindowUs, StoreOvershoot: fleetOver})
		apply := func(nowUs int64, c statemachine.Change) {
			index++
			if out := s.Apply(index, c); out.Fault != nil || len(out.Faults) > 0 {
				t.Fatal(out.Fault, out.Faults)
			}
			if c.LeaderUpdate != nil && !deaf {
				f.OnApplied(nowUs, c.Epoch, *c.LeaderUpdate, s)
			}
		}
		apply(0, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
		apply(0, statemachine.Change{ID: "k1", Epoch: 1, Claim: &statemachine.Claim{Leader: "one"}})
		snapshot := Snapshot{State: s, CanWrite: true, Registry: registry.New(3 * clock.Sec)}
		tick := func(nowUs int64) {
			snapshot.NowUs = nowUs
			f.Step(snapshot, Tick{})
		}
		tick(clock.Sec)
		note := func(id string) statemachine.ReplicaUpdate {
			return statemachine.ReplicaUpdate{ID: id, Incarnation: id, CapacityMB: fleetRoomMb, Slots: 8, Service: "s"}
		}
		apply(8*clock.Sec, statemachine.Change{ID: "d1", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{note("r0"), note("r1")},
			Commands: []statemachine.ReplicaCommand{{Replica: "r0", Incarnation: "r0", Revision: s.Revision, Action: statemachine.Load, Unit: "m0"}}}})
		apply(9*clock.Sec, statemachine.Change{ID: "d2", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: 1, Succeeded: true}}}})
		snapshot.IsHead, snapshot.IsFresh = true, true
		tick(9500 * clock.Ms)
		apply(9500*clock.Ms, statemachine.Change{ID: "k2", Epoch: 2, Claim: &statemachine.Claim{Leader: "two"}})
		tick(9600 * clock.Ms)
		wait := map[string]int64{"r0": 9*clock.Sec + fleetLeaseUs + leaseSlackUs - 9600*clock.Ms, "r1": 0}
		if deaf {
			wait = map[string]int64{"r0": fleetLeaseUs + leaseSlackUs, "r1": fleetLeaseUs + leaseSlackUs}
		}
		for id, us := range wait {
			if got := max(f.routed.predecessor.waitUs(9600*clock.Ms, id), 0); got != us {
				t.Errorf("%s: %s may be ordered in %d ms, want %d", name, id, got/1000, us/1000)
			}
		}
	}
}

// An order may reach its replica long after the last that the ledger shows of it, as over a link that loses packets.
// Whoever leads next leaves a whole lease between that arrival and its own first order.
func TestOrderInFlightIsWaitedOutWithinLease(t *testing.T) {
	f := New("two", Options{LeaseUs: fleetLeaseUs})
	f.routed.predecessor.orders.lastOrderUs = map[string]int64{"r0": 9 * clock.Sec}
	arrivedUs := 9*clock.Sec + MaxOrderInFlightUs
	if f.routed.predecessor.canOrder(arrivedUs+fleetLeaseUs, "r0") {
		t.Error("ordered within a lease of an order that took its whole time")
	}
	if !f.routed.predecessor.canOrder(arrivedUs+fleetLeaseUs+200*clock.Ms, "r0") {
		t.Error("it waits longer than there is a reason for")
	}
}
