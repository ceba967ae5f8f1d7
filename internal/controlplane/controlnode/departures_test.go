package controlnode

import (
	"fmt"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// threeNodeCluster is a cluster of three control nodes whose disks sync at once and whose messages arrive at once. Links between
// them can be cut.
type threeNodeCluster struct {
	t     *testing.T
	nowUs int64
	cores [3]*Core
	// cutLinks are the links, as pairs of sender and recipient, on which messages are lost.
	cutLinks map[[2]int]bool
	// acks are the replies to the events of replicas, by reply ID.
	acks        map[uint64]bool
	lastReplyID uint64
	// onPersist, if set, is called with every request to a disk. With stalledDisks no request is synced.
	onPersist    func(i int, p *chain.Persist)
	stalledDisks bool
	// onSend, if set, is called with every message that is sent, also on a link that is cut.
	onSend func(peering.Message)
}

// newThreeNodeCluster returns a cluster whose control nodes are all serving.

func newThreeNodeCluster(t *testing.T) *threeNodeCluster {
	t.Helper()
	tc := &threeNodeCluster{t: t, nowUs: clock.Sec, cutLinks: map[[2]int]bool{}, acks: map[uint64]bool{}}
	addrs := []string{"a0", "a1", "a2"}
	for i, addr := range addrs {
		node, err := chain.NewNode(WithAutoMembershipTimings(chain.Options{
			Self: chain.Member{ID: "o" + addr, Name: "o" + addr, Addr: addr}, Incarnation: fmt.Sprint(i), BootstrapAddrs: addrs,
			AutoMembership: true, MinReplicas: 2,
		}), nil, tc.nowUs)
		if err != nil {
			t.Fatal(err)
		}
		tc.cores[i] = NewCore(node, CoreOptions{UnreachableUs: 3 * clock.Sec})
		tc.step(i, LearnPeers{Addrs: addrs})
	}
	tc.advance(3 * clock.Sec)
	for i, c := range tc.cores {
		if c.Node.Phase() != chain.PhaseServing {
			t.Fatalf("phase of control node %d: got %s, want %s", i, c.Node.Phase(), chain.PhaseServing)
		}
	}
	return tc
}

// step passes an event to control node i, executes its effects and, recursively, delivers the messages that it sends.
func (tc *threeNodeCluster) step(i int, event Event) {
	for _, effect := range tc.cores[i].Step(tc.nowUs, event) {
		switch e := effect.(type) {
		case Persist:
			if tc.onPersist != nil {
				tc.onPersist(i, e.Request)
			}
			if !tc.stalledDisks {
				tc.step(i, Persisted{Seq: e.Request.Seq})
			}
		case AcknowledgeReplica:
			tc.acks[e.ReplyID] = e.OK
		case SendMessage:
			if tc.onSend != nil {
				tc.onSend(e.Message)
			}
			var to int
			if _, err := fmt.Sscanf(e.Addr, "a%d", &to); err == nil && !tc.cutLinks[[2]int{i, to}] {
				message := e.Message
				tc.step(to, PeerMessage{Message: &message})
			}
		}
	}
}

// advance lets time pass in steps of 25 ms, with a Tick to every control node in each.
func (tc *threeNodeCluster) advance(us int64) {
	for endUs := tc.nowUs + us; tc.nowUs < endUs; {
		tc.nowUs += 25 * clock.Ms
		for i := range tc.cores {
			tc.step(i, Tick{})
		}
	}
}

// cutLinksOf cuts or restores all outgoing links of a control node, and all incoming ones.
func (tc *threeNodeCluster) cutLinksOf(isolated int, cutOutgoing, cutIncoming bool) {
	for other := range tc.cores {
		if other != isolated {
			tc.cutLinks[[2]int{isolated, other}], tc.cutLinks[[2]int{other, isolated}] = cutOutgoing, cutIncoming
		}
	}
}

// sendAndAwait passes a replica's event to a control node. It returns whether the event was answered within a second, and
// whether it was acknowledged.
func (tc *threeNodeCluster) sendAndAwait(i int, ev Event) (ok, answered bool) {
	tc.lastReplyID++
	tc.step(i, withReplyID(ev, tc.lastReplyID))
	tc.advance(clock.Sec)
	ok, answered = tc.acks[tc.lastReplyID]
	return ok, answered
}

// withReplyID returns a replica's event with a reply ID.
func withReplyID(event Event, reply uint64) Event {
	switch e := event.(type) {
	case ReplicaHeartbeat:
		e.ReplyID = reply
		return e
	case ReplicaDeregistration:
		e.ReplyID = reply
		return e
	}
	panic("not an event from a replica")
}

func heartbeatEvent(id string, seq uint64, draining bool) Event {
	return ReplicaHeartbeat{Status: &registry.ReplicaStatus{ID: id, Service: "s", Addr: id, Slots: 4, Seq: seq, Draining: draining}}
}

// A partitioned control node acknowledges no event of a replica: neither a heartbeat, nor that the replica drains, nor its
// deregistration.
func TestPartitionedControlNodeAcknowledgesNoReplica(t *testing.T) {
	for _, c := range []struct {
		name                     string
		cutOutgoing, cutIncoming bool
	}{{"both directions", true, true}, {"outgoing", true, false}, {"incoming", false, true}} {
		for isolated := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, isolated), func(t *testing.T) {
				tc := newThreeNodeCluster(t)
				for name, ev := range map[string]Event{"ready": heartbeatEvent("r", 1, false),
					"draining": heartbeatEvent("d", 1, true), "deregistered": ReplicaDeregistration{ID: "g"}} {
					if ok, answered := tc.sendAndAwait(isolated, ev); !ok || !answered {
						t.Fatalf("before the partition, %s: got acknowledged %v and answered %v, want both", name, ok, answered)
					}
				}
				tc.cutLinksOf(isolated, c.cutOutgoing, c.cutIncoming)
				for name, ev := range map[string]Event{"draining": heartbeatEvent("r", 2, true),
					"deregistered": ReplicaDeregistration{ID: "d"}} {
					if ok, answered := tc.sendAndAwait(isolated, ev); ok || !answered {
						t.Errorf("right after the partition, %s: got acknowledged %v and answered %v, want a negative answer", name,
							ok, answered)
					}
				}
				tc.advance(2 * clock.Sec)
				if ok, answered := tc.sendAndAwait(isolated, heartbeatEvent("n", 1, false)); ok || !answered {
					t.Errorf("during the partition, ready: got acknowledged %v and answered %v, want a negative answer", ok, answered)
				}
				other := (isolated + 1) % 3
				if ok, _ := tc.sendAndAwait(other, heartbeatEvent("r", 3, true)); !ok {
					t.Errorf("control node %d of the quorum did not acknowledge a draining replica", other)
				}
				tc.cutLinksOf(isolated, false, false)
				tc.advance(2 * clock.Sec)
				if ok, _ := tc.sendAndAwait(isolated, heartbeatEvent("r", 4, true)); !ok {
					t.Errorf("control node %d did not acknowledge a draining replica after the partition healed", isolated)
				}
			})
		}
	}
}

// An acknowledged departure is known to a quorum at the time of the acknowledgement, so that it survives the loss of the control
// node that acknowledged it.
func TestDepartureIsAcknowledgedOnceQuorumKnows(t *testing.T) {
	for _, ev := range []Event{heartbeatEvent("r", 2, true), ReplicaDeregistration{ID: "r"}} {
		tc := newThreeNodeCluster(t)
		if ok, _ := tc.sendAndAwait(0, heartbeatEvent("r", 1, false)); !ok {
			t.Fatal("the heartbeat of a ready replica was not acknowledged")
		}
		tc.lastReplyID++
		tc.step(0, withReplyID(ev, tc.lastReplyID))
		if !tc.acks[tc.lastReplyID] {
			t.Fatalf("%T was not acknowledged although every message arrives at once", ev)
		}
		_, deregisters := ev.(ReplicaDeregistration)
		informed := 0
		for _, c := range tc.cores {
			if e := c.soft.Registry.Entry("r"); e != nil && (e.Draining || e.Removed) && e.Removed == deregisters {
				informed++
			}
		}
		if informed < 2 {
			t.Errorf("%T was acknowledged: got %d of 3 control nodes that know of it, want at least 2", ev, informed)
		}
	}
}

// A partitioned control node tells its gateways that it may be behind, before they have to comply with what the quorum decides.
func TestPartitionedControlNodeReportsItselfBehind(t *testing.T) {
	for _, c := range []struct {
		name                     string
		cutOutgoing, cutIncoming bool
	}{{"both directions", true, true}, {"outgoing", true, false}, {"incoming", false, true}} {
		for isolated := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, isolated), func(t *testing.T) {
				tc := newThreeNodeCluster(t)
				for range 40 {
					tc.advance(25 * clock.Ms)
					for i, core := range tc.cores {
						if !core.Node.IsUpToDate(tc.nowUs) {
							t.Fatalf("before the partition, control node %d reports that it is behind", i)
						}
					}
				}
				tc.cutLinksOf(isolated, c.cutOutgoing, c.cutIncoming)
				tc.advance(2 * clock.Sec)
				for range 400 {
					tc.advance(25 * clock.Ms)
					if tc.cores[isolated].Node.IsUpToDate(tc.nowUs) {
						t.Fatalf("during the partition, control node %d reports that it is up to date", isolated)
					}
				}
				for i, core := range tc.cores {
					if i != isolated && !core.Node.IsUpToDate(tc.nowUs) {
						t.Errorf("control node %d of the quorum reports that it is behind", i)
					}
				}
				tc.cutLinksOf(isolated, false, false)
				tc.advance(4 * clock.Sec)
				if !tc.cores[isolated].Node.IsUpToDate(tc.nowUs) {
					t.Errorf("control node %d still reports that it is behind after the partition healed", isolated)
				}
			})
		}
	}
}

// Only a control node that is up to date with the chain rejects a membership change for what it asks.
func TestPartitionedControlNodeDoesNotValidateMembershipChanges(t *testing.T) {
	tc := newThreeNodeCluster(t)
	validate := func(i int) fault.Code {
		bad := tc.cores[i].checkMember(tc.nowUs, &statemachine.MembershipChange{Action: statemachine.AddMember, Name: "oa1"}, false)
		if bad == nil {
			return ""
		}
		return bad.Code
	}
	for i := range tc.cores {
		if got := validate(i); got != fault.MembershipMismatch {
			t.Errorf("before the partition, control node %d: got fault %q, want %q", i, got, fault.MembershipMismatch)
		}
	}
	tc.cutLinksOf(0, true, true)
	tc.advance(2 * clock.Sec)
	if got := validate(0); got != fault.NotServing {
		t.Errorf("partitioned control node: got fault %q, want %q", got, fault.NotServing)
	}
	if got := validate(1); got != fault.MembershipMismatch {
		t.Errorf("control node of the quorum: got fault %q, want %q", got, fault.MembershipMismatch)
	}
}
