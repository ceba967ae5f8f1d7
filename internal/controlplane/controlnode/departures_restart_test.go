package controlnode

import (
	"fmt"
	"testing"

	"petreltide/internal/controlplane/chain"
	"petreltide/internal/process/clock"
)

// storedCluster is a threeNodeCluster that keeps what its members have written, so that all of them can be killed and started again.
type storedCluster struct {
	*threeNodeCluster
	records [3][]chain.Record
}

func newStoredCluster(t *testing.T) *storedCluster {
	t.Helper()
	sc := &storedCluster{}
	tc := &threeNodeCluster{t: t, nowUs: clock.Sec, cutLinks: map[[2]int]bool{}, acks: map[uint64]bool{}}
	tc.onPersist = func(i int, p *chain.Persist) {
		if p.Snapshot != nil {
			t.Fatalf("control node %d stores a snapshot, which this cluster does not keep", i)
		}
		sc.records[i] = append(sc.records[i], p.Records...)
	}
	sc.threeNodeCluster = tc
	sc.start()
	return sc
}

// start starts all control nodes on what they have written.
func (sc *storedCluster) start() {
	sc.t.Helper()
	addrs := []string{"a0", "a1", "a2"}
	for i, addr := range addrs {
		node, err := chain.NewNode(WithAutoMembershipTimings(chain.Options{
			Self: chain.Member{ID: "o" + addr, Name: "o" + addr, Addr: addr}, Incarnation: fmt.Sprintf("%d-%d", i, sc.nowUs), BootstrapAddrs: addrs,
			AutoMembership: true, MinReplicas: 2,
		}), sc.records[i], sc.nowUs)
		if err != nil {
			sc.t.Fatal(err)
		}
		sc.cores[i] = NewCore(node, CoreOptions{UnreachableUs: 3 * clock.Sec})
	}
	for i := range sc.cores {
		sc.step(i, LearnPeers{Addrs: addrs})
	}
	sc.advance(3 * clock.Sec)
	for i, c := range sc.cores {
		if c.Node.Phase() != chain.PhaseServing {
			sc.t.Fatalf("phase of control node %d: got %s, want %s", i, c.Node.Phase(), chain.PhaseServing)
		}
	}
}

// Guards against DRAIN of review case 2: the acknowledged leaving of a replica rested on the memory of the control nodes, so that
// killing all of them made it a replica that stays again. It must be on the disks before it is acknowledged, whether the replica
// belongs to a service with an engine or not, and no heartbeat that was sent before may undo it.
func TestAcknowledgedDepartureSurvivesKillOfAllControlNodes(t *testing.T) {
	for _, c := range []struct {
		name    string
		leaving Event
		removed bool
	}{{"draining", heartbeatEvent("r", 3, true), false}, {"deregistered", ReplicaDeregistration{ID: "r"}, true}} {
		for receiver := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, receiver), func(t *testing.T) {
				sc := newStoredCluster(t)
				if ok, _ := sc.sendAndAwait(receiver, heartbeatEvent("r", 1, false)); !ok {
					t.Fatal("the heartbeat of a ready replica was not acknowledged")
				}
				sc.lastReplyID++
				sc.step(receiver, withReplyID(c.leaving, sc.lastReplyID))
				for endUs := sc.nowUs + clock.Sec; !sc.acks[sc.lastReplyID] && sc.nowUs < endUs; {
					sc.advance(25 * clock.Ms)
				}
				if !sc.acks[sc.lastReplyID] {
					t.Fatal("the leaving was not acknowledged")
				}
				sc.start()
				late := (receiver + 1) % 3
				sc.step(late, heartbeatEvent("r", 2, false))
				sc.advance(clock.Sec)
				for i, core := range sc.cores {
					e := core.soft.Registry.Entry("r")
					if e == nil || e.Removed != c.removed || !e.Removed && !e.Draining {
						t.Errorf("control node %d after the restart: got %+v, want a replica that is %s", i, e, c.name)
					}
				}
			})
		}
	}
}

// Guards against the acknowledgement of a leaving while the chain cannot store it: with its disks stalled nothing is acknowledged.
func TestDepartureIsNotAcknowledgedWhileItCannotBeStored(t *testing.T) {
	for _, leaving := range []Event{heartbeatEvent("r", 2, true), ReplicaDeregistration{ID: "r"}} {
		tc := newThreeNodeCluster(t)
		tc.stalledDisks = true
		if ok, answered := tc.sendAndAwait(0, leaving); ok || !answered {
			t.Errorf("%T with stalled disks: got acknowledged %v and answered %v, want a negative answer", leaving, ok, answered)
		}
	}
}

// A replica that reports again that it drains is answered at once from the record, without another entry in the log.
func TestRepeatedDepartureAddsNoEntry(t *testing.T) {
	tc := newThreeNodeCluster(t)
	if ok, _ := tc.sendAndAwait(0, heartbeatEvent("r", 1, true)); !ok {
		t.Fatal("a draining replica was not acknowledged")
	}
	last := tc.cores[0].Node.LastIndex()
	for i := range tc.cores {
		tc.lastReplyID++
		tc.step(i, withReplyID(heartbeatEvent("r", uint64(2+i), true), tc.lastReplyID))
		if !tc.acks[tc.lastReplyID] {
			t.Errorf("control node %d did not acknowledge a recorded departure at once", i)
		}
	}
	if got := tc.cores[0].Node.LastIndex(); got != last {
		t.Errorf("log entries added by repeated reports: got %d, want 0", got-last)
	}
}
