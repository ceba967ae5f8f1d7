package chain

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// stallAllDisks lets no disk come back with a sync for a while, from a moment on when each has one under way. Then they do so
// one after the other, the first of them at once.
func (tc *testCluster) stallAllDisks(order []int, spanUs, apartUs int64) {
	for _, seat := range slices.Backward(tc.members[0].node.View().Replicas) {
		s := tc.memberAt(seat.Addr)
		for len(s.pendingSyncs) == 0 {
			tc.advance(stepUs)
		}
		s.syncsHeld = true
	}
	tc.advance(spanUs)
	for _, i := range order {
		tc.members[i].syncsHeld = false
		tc.advance(apartUs)
	}
}

// A disk that all members share, or a hypervisor that holds all of them, stalls every sync at once. Whoever is back
// first puts nobody out of the view for a stall that it has only just had itself: each removal costs three more syncs
// on the same disks, and the removed member comes back by a copy.
func TestStallOfAllDisksKeepsView(t *testing.T) {
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for _, apartUs := range []int64{5 * clock.Ms, 30 * clock.Ms, 150 * clock.Ms} {
			t.Run(fmt.Sprint(order, " ", apartUs/clock.Ms, " ms apart"), func(t *testing.T) {
				tc := newFleetTimedCluster(t, 1, 3)
				viewNumber, ackedBefore := tc.members[0].node.View().Number, tc.lastAcked
				tc.stallAllDisks(order, 750*clock.Ms, apartUs)
				tc.advance(2 * clock.Sec)
				for _, s := range tc.members {
					if now := s.node.View(); now.Number != viewNumber {
						t.Fatalf("%s is in view %d of %d members, and was in view %d of three", s.member.ID, now.Number, len(now.Replicas), viewNumber)
					}
				}
				if tc.lastAcked <= ackedBefore {
					t.Error("nothing was acknowledged after the stall")
				}
			})
		}
	}
}

// Only some have something to sync when every disk stalls. The others learn of their own disks' stall by the sync that
// a change of the view needs, and give the change up once the members that they wanted to put out are back.
func TestStallOfAllDisksUnnoticedBySomeKeepsView(t *testing.T) {
	for idle := range 3 {
		for _, spanUs := range []int64{1000 * clock.Ms, 1150 * clock.Ms, 1300 * clock.Ms} {
			t.Run(fmt.Sprintf("member %d is idle, %d ms", idle, spanUs/clock.Ms), func(t *testing.T) {
				tc := newFleetTimedCluster(t, 1, 3)
				viewNumber := tc.members[0].node.View().Number
				tc.stallDisksWithOneIdle(idle, spanUs)
				tc.advance(2 * clock.Sec)
				for _, s := range tc.members {
					if now := s.node.View(); now.Number != viewNumber {
						t.Fatalf("%s is in view %d of %d members, and was in view %d of three", s.member.ID, now.Number, len(now.Replicas), viewNumber)
					}
				}
			})
		}
	}
}

// stallDisksWithOneIdle stalls all disks while each but one has a sync under way.
func (tc *testCluster) stallDisksWithOneIdle(idle int, spanUs int64) {
	for _, seat := range slices.Backward(tc.members[0].node.View().Replicas) {
		s := tc.memberAt(seat.Addr)
		for (len(s.pendingSyncs) > 0) == (s == tc.members[idle]) {
			tc.advance(stepUs)
		}
		s.syncsHeld = true
	}
	tc.advance(spanUs)
	for _, s := range tc.members {
		s.syncsHeld = false
	}
}

// A member whose disk goes on standing still is put out all the same, by those that are back.
func TestMemberStalledLongerThanOthersIsRemoved(t *testing.T) {
	for stalled := range 3 {
		t.Run(fmt.Sprint("member ", stalled), func(t *testing.T) {
			tc := newFleetTimedCluster(t, 1, 3)
			order := []int{}
			for i := range tc.members {
				if i != stalled {
					order = append(order, i)
				}
			}
			tc.stallAllDisks(order, 750*clock.Ms, 5*clock.Ms)
			tc.advance(2 * clock.Sec)
			for _, i := range order {
				if now := tc.members[i].node.View(); now.HasReplica(tc.members[stalled].member.ID) || len(now.Replicas) != 2 {
					t.Fatalf("%s has %v", tc.members[i].member.ID, now.Replicas)
				}
			}
			ackedBefore := tc.lastAcked
			tc.advance(clock.Sec)
			if tc.lastAcked <= ackedBefore {
				t.Error("nothing is acknowledged without it")
			}
		})
	}
}
