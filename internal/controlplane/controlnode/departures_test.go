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
type trio struct {
	t     *testing.T
	nowUs int64
	cores [3]*Core
	cuts  map[[2]int]bool
	words map[uint64]bool
	asked uint64
	// tap sees every message that is sent.
	tap func(peering.Message)
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	tr := &trio{t: t, nowUs: clock.Sec, cuts: map[[2]int]bool{}, words: map[uint64]bool{}}
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
	tr.pass(3 * clock.Sec)
	for i, c := range tr.cores {
		if c.Node.Phase() != chain.PhaseServing {
			t.Fatalf("control node %d is %s", i, c.Node.Phase())
		}
	}
	return tr
}

func (tr *trio) step(i int, event Event) {
	for _, effect := range tr.cores[i].Step(tr.nowUs, event) {
		switch e := effect.(type) {
		case Persist:
			tr.step(i, Persisted{Seq: e.Request.Seq})
		case AcknowledgeReplica:
			tr.words[e.ReplyID] = e.OK
		case SendMessage:
			if tr.tap != nil {
				tr.tap(e.Message)
			}
			var to int
			if _, err := fmt.Sscanf(e.Addr, "a%d", &to); err == nil && !tr.cuts[[2]int{i, to}] {
				message := e.Message
				tr.step(to, PeerMessage{Message: &message})
			}
		}
	}
}

func (tr *trio) pass(us int64) {
	for endUs := tr.nowUs + us; tr.nowUs < endUs; {
		tr.nowUs += 25 * clock.Ms
		for i := range tr.cores {
			tr.step(i, Tick{})
		}
	}
}

// cutOff takes away what a control node says, what is said to it, or both.
func (tr *trio) cutOff(struck int, says, hears bool) {
	for other := range tr.cores {
		if other != struck {
			tr.cuts[[2]int{struck, other}], tr.cuts[[2]int{other, struck}] = says, hears
		}
	}
}

// say brings a control node a replica's word, and returns whether it was answered within a second, and how.
func (tr *trio) say(i int, ev Event) (ok, answered bool) {
	tr.asked++
	tr.step(i, awaited(ev, tr.asked))
	tr.pass(clock.Sec)
	ok, answered = tr.words[tr.asked]
	return ok, answered
}

// awaited is a replica's event whose acknowledgement is awaited under a number.
func awaited(event Event, reply uint64) Event {
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

func beatOf(id string, seq uint64, draining bool) Event {
	return ReplicaHeartbeat{Status: &registry.ReplicaStatus{ID: id, Service: "s", Addr: id, Slots: 4, Seq: seq, Draining: draining}}
}

// A control node that is cut off acknowledges no replica: not that it is there, not that it leaves, not that it has left.
func TestAControlNodeCutOffAcknowledgesNoReplica(t *testing.T) {
	for _, c := range []struct {
		name        string
		says, hears bool
	}{{"both ways", true, true}, {"it is not heard", true, false}, {"it hears nothing", false, true}} {
		for struck := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, struck), func(t *testing.T) {
				tr := newTrio(t)
				for name, ev := range map[string]Event{"ready": beatOf("r", 1, false), "draining": beatOf("d", 1, true), "gone": ReplicaDeregistration{ID: "g"}} {
					if ok, answered := tr.say(struck, ev); !ok || !answered {
						t.Fatalf("in contact, %s: acknowledged %v, answered %v", name, ok, answered)
					}
				}
				tr.cutOff(struck, c.says, c.hears)
				for name, ev := range map[string]Event{"draining": beatOf("r", 2, true), "gone": ReplicaDeregistration{ID: "d"}} {
					if ok, answered := tr.say(struck, ev); ok || !answered {
						t.Errorf("just cut off, %s: acknowledged %v, answered %v", name, ok, answered)
					}
				}
				tr.pass(2 * clock.Sec)
				if ok, answered := tr.say(struck, beatOf("n", 1, false)); ok || !answered {
					t.Errorf("cut off, ready: acknowledged %v, answered %v", ok, answered)
				}
				other := (struck + 1) % 3
				if ok, _ := tr.say(other, beatOf("r", 3, true)); !ok {
					t.Error("the others do not acknowledge a leaving")
				}
				tr.cutOff(struck, false, false)
				tr.pass(2 * clock.Sec)
				if ok, _ := tr.say(struck, beatOf("r", 4, true)); !ok {
					t.Error("back in contact, it does not acknowledge a leaving")
				}
			})
		}
	}
}

// What is acknowledged is known to a quorum at that moment, whatever happens to the control node that was told.
func TestALeavingIsAcknowledgedOnceAQuorumKnows(t *testing.T) {
	for _, ev := range []Event{beatOf("r", 2, true), ReplicaDeregistration{ID: "r"}} {
		tr := newTrio(t)
		if ok, _ := tr.say(0, beatOf("r", 1, false)); !ok {
			t.Fatal("not acknowledged")
		}
		tr.asked++
		tr.step(0, awaited(ev, tr.asked))
		if !tr.words[tr.asked] {
			t.Fatal("not acknowledged while every message arrives at once")
		}
		_, deregisters := ev.(ReplicaDeregistration)
		know := 0
		for _, c := range tr.cores {
			if e := c.soft.Registry.Entry("r"); e != nil && (e.Draining || e.Removed) && e.Removed == deregisters {
				know++
			}
		}
		if know < 2 {
			t.Errorf("%d of 3 know of it", know)
		}
	}
}

// A control node that is cut off tells the gateways that it may be behind, before they are held to what the others decide.
func TestAControlNodeCutOffSaysThatItIsBehind(t *testing.T) {
	for _, c := range []struct {
		name        string
		says, hears bool
	}{{"both ways", true, true}, {"it is not heard", true, false}, {"it hears nothing", false, true}} {
		for struck := range 3 {
			t.Run(fmt.Sprintf("%s/%d", c.name, struck), func(t *testing.T) {
				tr := newTrio(t)
				for range 40 {
					tr.pass(25 * clock.Ms)
					for i, core := range tr.cores {
						if !core.Node.IsUpToDate(tr.nowUs) {
							t.Fatalf("in contact, control node %d says that it is behind", i)
						}
					}
				}
				tr.cutOff(struck, c.says, c.hears)
				tr.pass(2 * clock.Sec)
				for range 400 {
					tr.pass(25 * clock.Ms)
					if tr.cores[struck].Node.IsUpToDate(tr.nowUs) {
						t.Fatal("cut off, it says that it is current")
					}
				}
				for i, core := range tr.cores {
					if i != struck && !core.Node.IsUpToDate(tr.nowUs) {
						t.Errorf("control node %d, of the quorum, says that it is behind", i)
					}
				}
				tr.cutOff(struck, false, false)
				tr.pass(4 * clock.Sec)
				if !tr.cores[struck].Node.IsUpToDate(tr.nowUs) {
					t.Error("back in contact, it says that it is behind")
				}
			})
		}
	}
}

// An order about members is refused for what it asks only by a control node that has word of the chain.
func TestAControlNodeCutOffRefusesNoOrderAboutMembers(t *testing.T) {
	tr := newTrio(t)
	ask := func(i int) fault.Code {
		bad := tr.cores[i].checkMember(tr.nowUs, &statemachine.MembershipChange{Action: statemachine.AddMember, Name: "oa1"}, false)
		if bad == nil {
			return ""
		}
		return bad.Code
	}
	for i := range tr.cores {
		if got := ask(i); got != fault.MembershipMismatch {
			t.Errorf("in contact, control node %d says %q", i, got)
		}
	}
	tr.cutOff(0, true, true)
	tr.pass(2 * clock.Sec)
	if got := ask(0); got != fault.NotServing {
		t.Errorf("cut off, it says %q", got)
	}
	if got := ask(1); got != fault.MembershipMismatch {
		t.Errorf("a control node of the quorum says %q", got)
	}
}
