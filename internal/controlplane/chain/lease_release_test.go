package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// refuse lets a disk take no more bytes, from the next save of its member on.
func (tc *testCluster) refuse(s *testMember) {
	for len(s.saves) == 0 {
		tc.advance(yardStepUs)
	}
	s.slow = true
	tc.step(s, PersistRefused{Seq: s.saves[0].save.Seq})
}

// A tail whose disk refuses gives its lease up: the others put it out and acknowledge again without waiting for the end
// of it, as they do for any other seat.
func TestMemberWithRefusingDiskIsRemovedAtOnce(t *testing.T) {
	for place := range 3 {
		for seed := range int64(20) {
			t.Run(fmt.Sprintf("seat %d, seed %d", place, seed), func(t *testing.T) {
				y := newPacedTestCluster(t, seed, 3)
				y.advance(seed * 7 * clock.Ms)
				s := y.at(y.members[0].node.View().Replicas[place].Addr)
				y.refuse(s)
				most := y.lastAcked
				y.advance(400 * clock.Ms)
				for _, other := range y.members {
					if v := other.node.View(); other != s && (v.HasReplica(s.me.ID) || len(v.Replicas) != 2) {
						t.Errorf("%s has %v", other.me.ID, v.Replicas)
					}
				}
				if y.lastAcked <= most {
					t.Error("nothing was acknowledged within 0.4 s")
				}
			})
		}
	}
}

// The same where links bring messages twice, late and out of their order, and disks come and go: no two tails are open,
// and none is open without what was acknowledged.
func TestLeaseReleaseOverLossyLinks(t *testing.T) {
	for seed := range int64(60) {
		y := newPacedTestCluster(t, seed, 3)
		y.lossyLinks = true
		for range 12 {
			s := y.members[y.r.Intn(3)]
			if tail := y.at(y.members[0].node.View().Tail().Addr); y.r.Intn(2) == 0 {
				s = tail
			}
			y.refuse(s)
			y.advance(y.r.Int63n(900 * clock.Ms))
			s.slow = false
			y.advance(y.r.Int63n(1500 * clock.Ms))
		}
		y.lossyLinks = false
		y.advance(6 * clock.Sec)
		if why := y.unsettledReason(); why != "" {
			t.Fatalf("seed %d: %s", seed, why)
		}
	}
}

// Nobody can take the tail's place: it keeps its lease and goes on answering for as long as its voters grant it.
func TestIrreplaceableTailKeepsItsLease(t *testing.T) {
	y := newPacedTestCluster(t, 1, 3)
	tail := y.at(y.members[0].node.View().Tail().Addr)
	for _, s := range y.members {
		if s != tail {
			y.refuse(s)
		}
	}
	y.advance(20 * clock.Ms)
	y.refuse(tail)
	for endUs := y.nowUs + 3*clock.Sec; y.nowUs < endUs; {
		y.advance(yardStepUs)
		if !tail.node.IsTailReady(y.nowUs) {
			t.Fatalf("it is not open: waits for %q", tail.node.WaitReason())
		}
	}
}

// releasedNode is a voter of view 5, whose tail is another, and a way to hand it messages of that tail.
func releasedNode(t *testing.T, me string) (n *Node, got func(from string, m Msg) []Effect) {
	seat := func(id string) Replica { return Replica{Member: Member{ID: id, Addr: id}, Incarnation: id + "1"} }
	v := View{Number: 5, Replicas: []Replica{seat("a"), seat("b"), seat("c")}}
	for _, s := range v.Replicas {
		v.Voters = append(v.Voters, s.Member)
	}
	n, err := NewNode(Options{Self: seat(me).Member, Incarnation: me + "1"}, []Record{{View: &v}, {CaughtUpView: 5}}, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	n.votesRecovered = true
	nowUs := 4 * clock.Sec
	return n, func(from string, m Msg) []Effect {
		nowUs += clock.Ms
		m.From, m.Incarnation = seat(from).Member, seat(from).Incarnation
		return n.Step(nowUs, MessageReceived{Msg: &m})
	}
}

func TestVoterWaitsForItsGrantUnlessReleased(t *testing.T) {
	lease := func(sentUs int64) Msg { return Msg{Lease: &Lease{View: 5, SentUs: sentUs}} }
	release := func(sentUs int64) Msg { return Msg{Lease: &Lease{View: 5, SentUs: sentUs, Released: true}} }
	for name, c := range map[string]struct {
		from     string
		messages []Msg
		accepts  bool
	}{
		"a lease":                           {"c", []Msg{lease(10)}, false},
		"released":                          {"c", []Msg{lease(10), release(20)}, true},
		"released as it was asked for":      {"c", []Msg{lease(10), release(10)}, true},
		"asked for again":                   {"c", []Msg{lease(10), release(20), lease(30)}, false},
		"the release came late":             {"c", []Msg{lease(10), lease(30), release(20)}, false},
		"the requests came in turned order": {"c", []Msg{lease(30), lease(10), release(20)}, false},
		"an old request came late":          {"c", []Msg{release(20), lease(10)}, false},
	} {
		n, got := releasedNode(t, "a")
		for _, m := range c.messages {
			got(c.from, m)
		}
		next := View{Number: 6, Voters: n.view.Voters, Replicas: n.view.Replicas[:2]}
		got("b", Msg{Accept: &Accept{Number: 6, Ballot: Ballot{Round: 1, Proposer: "b"}, View: next}})
		if (n.acceptedProposal != nil) != c.accepts {
			t.Errorf("%s: accepted %v", name, n.acceptedProposal != nil)
		}
	}
}

// Only the tail of the view releases its lease.
func TestLeaseReleaseOfOtherThanTailIsIgnored(t *testing.T) {
	n, got := releasedNode(t, "a")
	got("c", Msg{Lease: &Lease{View: 5, SentUs: 10}})
	got("b", Msg{Lease: &Lease{View: 5, SentUs: 20, Released: true}})
	got("c", Msg{Lease: &Lease{View: 4, SentUs: 20, Released: true}})
	if n.grantedLease.untilUs <= n.nowUs {
		t.Error("its lease counts as released")
	}
}

// A voter that accepts a next view once the lease is released does so at once, not with its next tick.
func TestPendingViewIsAcceptedOnceLeaseIsReleased(t *testing.T) {
	n, got := releasedNode(t, "a")
	got("c", Msg{Lease: &Lease{View: 5, SentUs: 10}})
	next := View{Number: 6, Voters: n.view.Voters, Replicas: n.view.Replicas[:2]}
	got("b", Msg{Accept: &Accept{Number: 6, Ballot: Ballot{Round: 1, Proposer: "b"}, View: next}})
	if n.acceptedProposal != nil || n.pendingAccept == nil {
		t.Fatal("it does not wait")
	}
	got("c", Msg{Lease: &Lease{View: 5, SentUs: 20, Released: true}})
	if n.acceptedProposal == nil {
		t.Error("it still waits")
	}
}

// A tail takes up no grant that it asked for before it released its lease.
func TestLeaseGrantFromBeforeReleaseIsIgnored(t *testing.T) {
	n, got := releasedNode(t, "c")
	n.phase = PhaseServing
	n.leaseReleasedUs = 4 * clock.Sec
	for _, from := range []string{"a", "b"} {
		got(from, Msg{Lease: &Lease{View: 5, SentUs: 4 * clock.Sec, Granted: true}})
	}
	if n.leaseUntilUs != 0 {
		t.Error("it has a lease")
	}
	for _, from := range []string{"a", "b"} {
		got(from, Msg{Lease: &Lease{View: 5, SentUs: 4*clock.Sec + 1, Granted: true}})
	}
	if n.leaseUntilUs == 0 {
		t.Error("it has no lease")
	}
}
