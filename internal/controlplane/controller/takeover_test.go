package controller

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// ordersSince returns the number of replicas that a leader has ordered since the given time, and the time of the first such
// order.
func (f *fleet) ordersSince(sinceUs int64, leader string) (n int, firstUs int64) {
	for id := range f.replicas {
		for _, o := range f.orders["at "+id] {
			if o.leader == leader && o.atUs >= sinceUs {
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

// requestModels reports demand for a different random model in each round, so that there is always something to order.
func (f *fleet) requestModels(rounds int) {
	for range rounds {
		unit := fmt.Sprint("m", f.rand.Intn(9))
		f.reportDemand(map[string]int{unit: 3}, map[string]float64{unit: 10})
		f.advance(250 * clock.Ms)
	}
}

// A new leader sends no order to a replica that the previous leader ordered recently before the lease there has expired. It
// orders the other replicas immediately.
func TestSuccessorWaitsOutLeaseOnlyAtReplicasOrderedByPredecessor(t *testing.T) {
	withinLease, delaysMs := 0, []int64{}
	for seed := int64(0); seed < 12; seed++ {
		f := newFleet(t, seed, 9)
		f.requestModels(24)
		f.takeOver()
		atUs := f.nowUs
		f.requestModels(24)
		n, firstUs := f.ordersSince(atUs, fmt.Sprint("node", f.head))
		if n == 0 {
			t.Fatalf("seed %d: no order was sent after the takeover", seed)
		}
		delaysMs = append(delaysMs, (firstUs-atUs)/1000)
		if firstUs-atUs < fleetLeaseUs {
			withinLease++
		}
	}
	slices.Sort(delaysMs)
	t.Logf("first orders %v ms after the takeover", delaysMs)
	if withinLease < 9 || delaysMs[len(delaysMs)/2] > 2000 {
		t.Errorf("takeovers with an order within the lease: got %d of 12 with first orders after %v ms, want at least 9 and a median of at most 2000 ms",
			withinLease, delaysMs)
	}
}

// A control node that was out of the chain is restored from a snapshot and observes none of the commands in it. If it takes
// over soon after, it must not assume that the replicas had no orders.
func TestControllerRestoredFromSnapshotWaitsOutUnseenOrders(t *testing.T) {
	for name, restored := range map[string]bool{"observed the commands": false, "restored from a snapshot": true} {
		s := statemachine.NewState()
		index := uint64(0)
		controller := New("two", Options{LeaseUs: fleetLeaseUs, StoreWindowUs: fleetWindowUs, StoreOvershoot: fleetOvershoot})
		apply := func(nowUs int64, c statemachine.Change) {
			index++
			if out := s.Apply(index, c); out.Fault != nil || len(out.Faults) > 0 {
				t.Fatal(out.Fault, out.Faults)
			}
			if c.LeaderUpdate != nil && !restored {
				controller.OnApplied(nowUs, c.Epoch, *c.LeaderUpdate, s)
			}
		}
		apply(0, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
		apply(0, statemachine.Change{ID: "k1", Epoch: 1, Claim: &statemachine.Claim{Leader: "one"}})
		snapshot := Snapshot{State: s, CanWrite: true, Registry: registry.New(3 * clock.Sec)}
		tick := func(nowUs int64) {
			snapshot.NowUs = nowUs
			controller.Step(snapshot, Tick{})
		}
		tick(clock.Sec)
		replicaUpdate := func(id string) statemachine.ReplicaUpdate {
			return statemachine.ReplicaUpdate{ID: id, Incarnation: id, CapacityMB: fleetCapacityMb, Slots: 8, Service: "s"}
		}
		apply(8*clock.Sec, statemachine.Change{ID: "d1", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{replicaUpdate("r0"), replicaUpdate("r1")},
			Commands: []statemachine.ReplicaCommand{{Replica: "r0", Incarnation: "r0", Revision: s.Revision, Action: statemachine.Load, Unit: "m0"}}}})
		apply(9*clock.Sec, statemachine.Change{ID: "d2", Epoch: 1, LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: 1, Succeeded: true}}}})
		snapshot.IsHead, snapshot.IsFresh = true, true
		tick(9500 * clock.Ms)
		apply(9500*clock.Ms, statemachine.Change{ID: "k2", Epoch: 2, Claim: &statemachine.Claim{Leader: "two"}})
		tick(9600 * clock.Ms)
		wantWaits := map[string]int64{"r0": 9*clock.Sec + fleetLeaseUs + leaseSlackUs - 9600*clock.Ms, "r1": 0}
		if restored {
			wantWaits = map[string]int64{"r0": fleetLeaseUs + leaseSlackUs, "r1": fleetLeaseUs + leaseSlackUs}
		}
		for id, us := range wantWaits {
			if got := max(controller.routed.predecessor.waitUs(9600*clock.Ms, id), 0); got != us {
				t.Errorf("%s: time until %s may be ordered: got %d ms, want %d ms", name, id, got/1000, us/1000)
			}
		}
	}
}

// An order may arrive at its replica long after the last sign of it in the replicated state, for example over a link with
// packet loss. The next leader leaves a whole lease between that arrival and its own first order.
func TestOrderInFlightIsWaitedOutWithinLease(t *testing.T) {
	controller := New("two", Options{LeaseUs: fleetLeaseUs})
	controller.routed.predecessor.orders.lastOrderUs = map[string]int64{"r0": 9 * clock.Sec}
	arrivedUs := 9*clock.Sec + MaxOrderInFlightUs
	if controller.routed.predecessor.canOrder(arrivedUs+fleetLeaseUs, "r0") {
		t.Error("r0 may be ordered within a lease of an order that was in flight for the maximum time")
	}
	if !controller.routed.predecessor.canOrder(arrivedUs+fleetLeaseUs+200*clock.Ms, "r0") {
		t.Error("r0 may not be ordered 200 ms after the lease")
	}
}
