package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// refuseWrite makes a disk refuse all writes, from the next write of its member on.
func (tc *testCluster) refuseWrite(s *testMember) {
	for len(s.pendingSyncs) == 0 {
		tc.advance(stepUs)
	}
	s.syncsHeld = true
	tc.step(s, PersistRefused{Seq: s.pendingSyncs[0].persist.Seq})
}

// A tail whose disk refuses writes releases its lease, so that the others remove it and acknowledge again without waiting for the
// lease to expire, as they do for any other replica.
func TestMemberWithRefusingDiskIsRemovedAtOnce(t *testing.T) {
	for position := range 3 {
		for seed := range int64(20) {
			t.Run(fmt.Sprintf("position %d, seed %d", position, seed), func(t *testing.T) {
				tc := newFleetTimedCluster(t, seed, 3)
				tc.advance(seed * 7 * clock.Ms)
				s := tc.memberAt(tc.members[0].node.View().Replicas[position].Addr)
				tc.refuseWrite(s)
				ackedBefore := tc.lastAcked
				tc.advance(400 * clock.Ms)
				for _, other := range tc.members {
					if v := other.node.View(); other != s && (v.HasReplica(s.member.ID) || len(v.Replicas) != 2) {
						t.Errorf("%s: got replicas %v, want two without %s", other.member.ID, v.Replicas, s.member.ID)
					}
				}
				if tc.lastAcked <= ackedBefore {
					t.Errorf("got last acknowledged index %d after 0.4 s, want more than %d", tc.lastAcked, ackedBefore)
				}
			})
		}
	}
}

// The same with links that duplicate, delay and reorder messages, and disks that fail repeatedly: no two tails are ready, and none
// is ready without every acknowledged entry.
func TestLeaseReleaseOverLossyLinks(t *testing.T) {
	for seed := range int64(60) {
		tc := newFleetTimedCluster(t, seed, 3)
		tc.lossyLinks = true
		for range 12 {
			s := tc.members[tc.r.Intn(3)]
			if tail := tc.memberAt(tc.members[0].node.View().Tail().Addr); tc.r.Intn(2) == 0 {
				s = tail
			}
			tc.refuseWrite(s)
			tc.advance(tc.r.Int63n(900 * clock.Ms))
			s.syncsHeld = false
			tc.advance(tc.r.Int63n(1500 * clock.Ms))
		}
		tc.lossyLinks = false
		tc.advance(6 * clock.Sec)
		if why := tc.unsettledReason(); why != "" {
			t.Fatalf("seed %d: %s", seed, why)
		}
	}
}

// A tail that no other member can replace keeps its lease and continues to serve for as long as the voters grant the lease.
func TestIrreplaceableTailKeepsItsLease(t *testing.T) {
	tc := newFleetTimedCluster(t, 1, 3)
	tail := tc.memberAt(tc.members[0].node.View().Tail().Addr)
	for _, s := range tc.members {
		if s != tail {
			tc.refuseWrite(s)
		}
	}
	tc.advance(20 * clock.Ms)
	tc.refuseWrite(tail)
	for endUs := tc.nowUs + 3*clock.Sec; tc.nowUs < endUs; {
		tc.advance(stepUs)
		if !tail.node.IsTailReady(tc.nowUs) {
			t.Fatalf("%s is not ready as the tail: waits for %q", tail.member.ID, tail.node.WaitReason())
		}
	}
}

// newLeaseVoter returns a voter of view 5, whose tail is c, and a function that delivers a message from another member to it.
func newLeaseVoter(t *testing.T, me string) (n *Node, receive func(from string, m Msg) []Effect) {
	replica := func(id string) Replica { return Replica{Member: Member{ID: id, Addr: id}, Incarnation: id + "1"} }
	v := View{Number: 5, Replicas: []Replica{replica("a"), replica("b"), replica("c")}}
	for _, s := range v.Replicas {
		v.Voters = append(v.Voters, s.Member)
	}
	n, err := NewNode(Options{Self: replica(me).Member, Incarnation: me + "1"}, []Record{{View: &v}, {CaughtUpView: 5}}, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	n.votesRecovered = true
	nowUs := 4 * clock.Sec
	return n, func(from string, m Msg) []Effect {
		nowUs += clock.Ms
		m.From, m.Incarnation = replica(from).Member, replica(from).Incarnation
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
		"a request":                         {"c", []Msg{lease(10)}, false},
		"released":                          {"c", []Msg{lease(10), release(20)}, true},
		"released when requested":           {"c", []Msg{lease(10), release(10)}, true},
		"requested again":                   {"c", []Msg{lease(10), release(20), lease(30)}, false},
		"the release arrived late":          {"c", []Msg{lease(10), lease(30), release(20)}, false},
		"the requests arrived out of order": {"c", []Msg{lease(30), lease(10), release(20)}, false},
		"an old request arrived late":       {"c", []Msg{release(20), lease(10)}, false},
	} {
		n, receive := newLeaseVoter(t, "a")
		for _, m := range c.messages {
			receive(c.from, m)
		}
		next := View{Number: 6, Voters: n.view.Voters, Replicas: n.view.Replicas[:2]}
		receive("b", Msg{Accept: &Accept{Number: 6, Ballot: Ballot{Round: 1, Proposer: "b"}, View: next}})
		if (n.acceptedProposal != nil) != c.accepts {
			t.Errorf("%s: got accepted %v, want %v", name, n.acceptedProposal != nil, c.accepts)
		}
	}
}

// A lease is released only by the tail of the current view.
func TestLeaseReleaseOfOtherThanTailIsIgnored(t *testing.T) {
	n, receive := newLeaseVoter(t, "a")
	receive("c", Msg{Lease: &Lease{View: 5, SentUs: 10}})
	receive("b", Msg{Lease: &Lease{View: 5, SentUs: 20, Released: true}})
	receive("c", Msg{Lease: &Lease{View: 4, SentUs: 20, Released: true}})
	if n.grantedLease.untilUs <= n.nowUs {
		t.Errorf("got a lease until %d us at %d us, want the lease to be valid", n.grantedLease.untilUs, n.nowUs)
	}
}

// A voter that waits for a lease to end accepts the next view as soon as the lease is released, not at its next tick.
func TestPendingViewIsAcceptedOnceLeaseIsReleased(t *testing.T) {
	n, receive := newLeaseVoter(t, "a")
	receive("c", Msg{Lease: &Lease{View: 5, SentUs: 10}})
	next := View{Number: 6, Voters: n.view.Voters, Replicas: n.view.Replicas[:2]}
	receive("b", Msg{Accept: &Accept{Number: 6, Ballot: Ballot{Round: 1, Proposer: "b"}, View: next}})
	if n.acceptedProposal != nil || n.pendingAccept == nil {
		t.Fatalf("got accepted %v and pending %v before the release, want false and true", n.acceptedProposal != nil, n.pendingAccept != nil)
	}
	receive("c", Msg{Lease: &Lease{View: 5, SentUs: 20, Released: true}})
	if n.acceptedProposal == nil {
		t.Error("the next view is not accepted after the release")
	}
}

// A tail ignores grants that it requested before it released its lease.
func TestLeaseGrantFromBeforeReleaseIsIgnored(t *testing.T) {
	n, receive := newLeaseVoter(t, "c")
	n.phase = PhaseServing
	n.leaseReleasedUs = 4 * clock.Sec
	for _, from := range []string{"a", "b"} {
		receive(from, Msg{Lease: &Lease{View: 5, SentUs: 4 * clock.Sec, Granted: true}})
	}
	if n.leaseUntilUs != 0 {
		t.Errorf("got a lease until %d us by a grant from before the release, want none", n.leaseUntilUs)
	}
	for _, from := range []string{"a", "b"} {
		receive(from, Msg{Lease: &Lease{View: 5, SentUs: 4*clock.Sec + 1, Granted: true}})
	}
	if n.leaseUntilUs == 0 {
		t.Error("got no lease by a grant from after the release, want one")
	}
}
