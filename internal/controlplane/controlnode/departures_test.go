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

// trio is three control nodes with disks that sync at once, messages that arrive at once, and links that can be cut.
type threeNodeCluster struct {
	t           *testing.T
	nowUs       int64
	cores       [3]*Core
	cutLinks    map[[2]int]bool
	acks        map[uint64]bool
	lastReplyID uint64
	// tap sees every message that is sent.
	onSend func(peering.Message)
}

func newThreeNodeCluster(t *testing.T) *threeNodeCluster {
	t.Helper()
	tr := &threeNodeCluster{t: t, nowUs: clock.Sec, cutLinks: map[[2]int]bool{}, acks: map[uint64]bool{}}
	addrs := []string{"a0", "a1", "a2"}
	for i, addr := range addrs {
		node, err := chain.NewNode(WithAutoMembershipTimings(chain.Options{
			Self: chain.Member{ID: "o" + addr, Name: "o" + addr, Addr: addr}, Incarnation: fmt.Sprint(i), BootstrapAddrs: addrs, AutoMembership: true, MinReplicas: 2,
		}), nil, tr.nowUs)
		if err != nil {
			t.Fatal(err)
		}
		tr.cores[i] = NewCore(node, CoreOptions{UnreachableUs: 3 * clock.Sec})
		tr.step(i, LearnPeers{Addrs: addrs})
	}
	tr.advance(3 * clock.Sec)
	for i, c := range tr.cores {
		if c.Node.Phase() != chain.PhaseServing {
			t.Fatalf("control node %d is %s", i, c.Node.Phase())
		}
	}
	return tr
}

func (tr *threeNodeCluster) step(i int, event Event) {
	for _, effect := range tr.cores[i].Step(tr.nowUs, event) {
		switch e := effect.(type) {
		case Persist:
			tr.step(i, Persisted{Seq: e.Request.Seq})
		case AcknowledgeReplica:
			tr.acks[e.ReplyID] = e.OK
		case SendMessage:
			if tr.onSend != nil {
				tr.onSend(e.Message)
			}
			var to int
			if _, err := fmt.Sscanf(e.Addr, "a%d", &to); err == nil && !tr.cutLinks[[2]int{i, to}] {
				message := e.Message
				tr.step(to, PeerMessage{Message: &message})
			}
		}
	}
}

func (tr *threeNodeCluster) advance(us int64) {
	for endUs := tr.nowUs + us; tr.nowUs < endUs; {
		tr.nowUs += 25 * clock.Ms
		for i := range tr.cores {
			tr.step(i, Tick{})
		}
	}
}

// cutLinksOf takes away what a control node says, what is said to it, or both.
func (tr *threeNodeCluster) cutLinksOf(isolated int, cutOutgoing, cutIncoming bool) {
	for other := range tr.cores {
		if other != isolated {
			tr.cutLinks[[2]int{isolated, other}], tr.cutLinks[[2]int{other, isolated}] = cutOutgoing, cutIncoming
		}
	}
}

// say brings a control node a replica's word, and returns whether it was answered within a second, and how.
func (tr *threeNodeCluster) sendAndAwait(i int, ev Event) (ok, answered bool) {
	tr.lastReplyID++
	tr.step(i, withReplyID(ev, tr.lastReplyID))
	tr.advance(clock.Sec)
	ok, answered = tr.acks[tr.lastReplyID]
	return ok, answered
}

// awaited is a replica's event whose acknowledgement is awaited under a number.
func withReplyID(event Event, reply uint64) Event {
	switch e := event.(type) {
	case ReplicaHeartbeat:
		e.ReplyID = reply
		return e
	case ReplicaDeregistration:
		e.ReplyID = reply
		return e
	}
	panic("not an event of a replica")
}

func heartbeatEvent(id string, seq uint64, draining bool) Event {
	return ReplicaHeartbeat{Status: &registry.ReplicaStatus{ID: id, Service: "s", Addr: id, Slots: 4, Seq: seq, Draining: draining}}
}

// A control node that is cut off acknowledges no replica: not that it is there, not that it leaves, not that it has left.
func TestPartitionedControlNodeAcknowledgesNoReplica(t *testing.T) {
	for _, c := range []struct {
		name                     string
		cutOutgoing, cutIncoming bool
	}{{"both ways", true, true}, {"it is not heard", true, false}, {"it hears nothing", false, true}} {
		for isolated := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, isolated), func(t *testing.T) {
				tr := newThreeNodeCluster(t)
				for name, ev := range map[string]Event{"ready": heartbeatEvent("r", 1, false), "draining": heartbeatEvent("d", 1, true), "gone": ReplicaDeregistration{ID: "g"}} {
					if ok, answered := tr.sendAndAwait(isolated, ev); !ok || !answered {
						t.Fatalf("in contact, %s: acknowledged %v, answered %v", name, ok, answered)
					}
				}
				tr.cutLinksOf(isolated, c.cutOutgoing, c.cutIncoming)
				for name, ev := range map[string]Event{"draining": heartbeatEvent("r", 2, true), "gone": ReplicaDeregistration{ID: "d"}} {
					if ok, answered := tr.sendAndAwait(isolated, ev); ok || !answered {
						t.Errorf("just cut off, %s: acknowledged %v, answered %v", name, ok, answered)
					}
				}
				tr.advance(2 * clock.Sec)
				if ok, answered := tr.sendAndAwait(isolated, heartbeatEvent("n", 1, false)); ok || !answered {
					t.Errorf("cut off, ready: acknowledged %v, answered %v", ok, answered)
				}
				other := (isolated + 1) % 3
				if ok, _ := tr.sendAndAwait(other, heartbeatEvent("r", 3, true)); !ok {
					t.Error("the others do not acknowledge a leaving")
				}
				tr.cutLinksOf(isolated, false, false)
				tr.advance(2 * clock.Sec)
				if ok, _ := tr.sendAndAwait(isolated, heartbeatEvent("r", 4, true)); !ok {
					t.Error("back in contact, it does not acknowledge a leaving")
				}
			})
		}
	}
}

// What is acknowledged is known to a quorum at that moment, whatever happens to the control node that was told.
func TestDepartureIsAcknowledgedOnceQuorumKnows(t *testing.T) {
	for _, ev := range []Event{heartbeatEvent("r", 2, true), ReplicaDeregistration{ID: "r"}} {
		tr := newThreeNodeCluster(t)
		if ok, _ := tr.sendAndAwait(0, heartbeatEvent("r", 1, false)); !ok {
			t.Fatal("not acknowledged")
		}
		tr.lastReplyID++
		tr.step(0, withReplyID(ev, tr.lastReplyID))
		if !tr.acks[tr.lastReplyID] {
			t.Fatal("not acknowledged while every message arrives at once")
		}
		_, deregisters := ev.(ReplicaDeregistration)
		informed := 0
		for _, c := range tr.cores {
			if e := c.soft.Registry.Entry("r"); e != nil && (e.Draining || e.Removed) && e.Removed == deregisters {
				informed++
			}
		}
		if informed < 2 {
			t.Errorf("%d of 3 know of it", informed)
		}
	}
}

// A control node that is cut off tells the gateways that it may be behind, before they are held to what the others decide.
func TestPartitionedControlNodeReportsItselfBehind(t *testing.T) {
	for _, c := range []struct {
		name                     string
		cutOutgoing, cutIncoming bool
	}{{"both ways", true, true}, {"it is not heard", true, false}, {"it hears nothing", false, true}} {
		for isolated := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, isolated), func(t *testing.T) {
				tr := newThreeNodeCluster(t)
				for range 40 {
					tr.advance(25 * clock.Ms)
					for i, core := range tr.cores {
						if !core.Node.IsUpToDate(tr.nowUs) {
							t.Fatalf("in contact, control node %d says that it is behind", i)
						}
					}
				}
				tr.cutLinksOf(isolated, c.cutOutgoing, c.cutIncoming)
				tr.advance(2 * clock.Sec)
				for range 400 {
					tr.advance(25 * clock.Ms)
					if tr.cores[isolated].Node.IsUpToDate(tr.nowUs) {
						t.Fatal("cut off, it says that it is current")
					}
				}
				for i, core := range tr.cores {
					if i != isolated && !core.Node.IsUpToDate(tr.nowUs) {
						t.Errorf("control node %d, of the quorum, says that it is behind", i)
					}
				}
				tr.cutLinksOf(isolated, false, false)
				tr.advance(4 * clock.Sec)
				if !tr.cores[isolated].Node.IsUpToDate(tr.nowUs) {
					t.Error("back in contact, it says that it is behind")
				}
			})
		}
	}
}

// An order about members is refused for what it asks only by a control node that has word of the chain.
func TestPartitionedControlNodeDoesNotValidateMembershipChanges(t *testing.T) {
	tr := newThreeNodeCluster(t)
	validate := func(i int) fault.Code {
		bad := tr.cores[i].checkMember(tr.nowUs, &statemachine.MembershipChange{Action: statemachine.AddMember, Name: "oa1"}, false)
		if bad == nil {
			return ""
		}
		return bad.Code
	}
	for i := range tr.cores {
		if got := validate(i); got != fault.MembershipMismatch {
			t.Errorf("in contact, control node %d says %q", i, got)
		}
	}
	tr.cutLinksOf(0, true, true)
	tr.advance(2 * clock.Sec)
	if got := validate(0); got != fault.NotServing {
		t.Errorf("cut off, it says %q", got)
	}
	if got := validate(1); got != fault.MembershipMismatch {
		t.Errorf("a control node of the quorum says %q", got)
	}
}
