package controlclient

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// newFollowingSubscriber returns a subscriber that follows the tail, and the instant of its last step.
func newFollowingSubscriber(t *testing.T) (*Subscriber, int64) {
	t.Helper()
	s := New(Options{Gateway: "d", Incarnation: "i", Addr: "d:1", Seeds: []string{"s1:1", "s2:1"}})
	tail := membership.ChainReplica{Member: membership.Member{ID: "o1", Addr: "o1:1"}, Incarnation: "x"}
	follows := 0
	for _, e := range s.Step(Event{NowUs: clock.Sec, Membership: &wire.MembershipResponse{View: membership.View{Number: 1, Replicas: []membership.ChainReplica{tail}}, ControlNodes: []membership.Member{tail.Member}}}) {
		if e.Follow != nil {
			follows++
		}
	}
	if follows != 1 {
		t.Fatalf("follow effects after the membership is known: got %d, want 1", follows)
	}
	return s, clock.Sec
}

func TestSubscriberIgnoresUpdateThatSkipsDeclaration(t *testing.T) {
	s, now := newFollowingSubscriber(t)
	s.Step(Event{NowUs: now + 1, Update: &wire.GatewayUpdate{Number: 5, Revision: 1, Declaration: &configuration.Declaration{Name: "one"}}})
	applied, followedAgain := false, false
	for _, e := range s.Step(Event{NowUs: now + clock.Sec, Update: &wire.GatewayUpdate{Number: 6, Revision: 2}}) {
		applied = applied || e.Snapshot != nil
		followedAgain = followedAgain || e.Follow != nil
	}
	if applied || !followedAgain {
		t.Fatalf("update without its declaration: got applied %v, followed again %v, want false, true", applied, followedAgain)
	}
}

func TestLeaseIsCountedFromRequestTime(t *testing.T) {
	s, now := newFollowingSubscriber(t)
	s.Step(Event{NowUs: now + 1, Update: &wire.GatewayUpdate{Number: 5, View: 3}})
	var untilUs int64
	for _, e := range s.Step(Event{NowUs: now + clock.Sec, Lease: &wire.Lease{OK: true, View: 3, SentUs: now, LeaseUs: 1_200_000}}) {
		untilUs = max(untilUs, e.LeaseUs)
	}
	if untilUs != now+1_200_000-leaseMarginUs {
		t.Fatalf("end of the lease: got %d, want %d", untilUs, now+1_200_000-leaseMarginUs)
	}
	for _, e := range s.Step(Event{NowUs: now + clock.Sec, Lease: &wire.Lease{OK: true, View: 2, SentUs: now + clock.Sec, LeaseUs: 1_200_000}}) {
		if e.LeaseUs != 0 {
			t.Fatalf("lease of an older view: got an extension to %d, want none", e.LeaseUs)
		}
	}
}

func TestSubscriberAsksKnownControlNodesBeforeSeeds(t *testing.T) {
	s, _ := newFollowingSubscriber(t)
	if got := s.ControlNodes(); got[0] != "o1:1" {
		t.Fatalf("control nodes: got %v, want o1:1 first", got)
	}
}
