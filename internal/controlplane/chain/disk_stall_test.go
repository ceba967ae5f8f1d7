package chain

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// stallAllDisks stalls all disks for spanUs, each from a moment when it has a sync outstanding. Then the disks recover in the
// given order, apartUs apart, the first one immediately.
func (tc *testCluster) stallAllDisks(order []int, spanUs, apartUs int64) {
	for _, replica := range slices.Backward(tc.members[0].node.View().Replicas) {
		s := tc.memberAt(replica.Addr)
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

// A disk shared by all members, or a common hypervisor, stalls every sync at once. The member that recovers first must not remove
// others from the view for a stall that it has just had itself: each removal costs three more syncs on the same disks, and the
// removed member has to rejoin from a snapshot.
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
						t.Fatalf("%s: got view %d with %d members after the stall, want unchanged view %d with 3 members", s.member.ID, now.Number, len(now.Replicas), viewNumber)
					}
				}
				if tc.lastAcked <= ackedBefore {
					t.Errorf("got last acknowledged index %d after the stall, want more than %d", tc.lastAcked, ackedBefore)
				}
			})
		}
	}
}

// Only some members have a sync outstanding when every disk stalls. The others notice the stall of their own disks by the sync
// that a view change needs, and drop the change once the members that it would remove have recovered.
func TestStallOfAllDisksUnnoticedBySomeKeepsView(t *testing.T) {
	for idle := range 3 {
		for _, spanUs := range []int64{1000 * clock.Ms, 1150 * clock.Ms, 1300 * clock.Ms} {
			t.Run(fmt.Sprintf("member %d idle, stall of %d ms", idle, spanUs/clock.Ms), func(t *testing.T) {
				tc := newFleetTimedCluster(t, 1, 3)
				viewNumber := tc.members[0].node.View().Number
				tc.stallDisksWithOneIdle(idle, spanUs)
				tc.advance(2 * clock.Sec)
				for _, s := range tc.members {
					if now := s.node.View(); now.Number != viewNumber {
						t.Fatalf("%s: got view %d with %d members after the stall, want unchanged view %d with 3 members", s.member.ID, now.Number, len(now.Replicas), viewNumber)
					}
				}
			})
		}
	}
}

// stallDisksWithOneIdle stalls all disks for spanUs while each member but one has a sync outstanding.
func (tc *testCluster) stallDisksWithOneIdle(idle int, spanUs int64) {
	for _, replica := range slices.Backward(tc.members[0].node.View().Replicas) {
		s := tc.memberAt(replica.Addr)
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

// A member whose disk stays stalled is still removed from the view by those that have recovered.
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
					t.Fatalf("%s: got replicas %v, want two without %s", tc.members[i].member.ID, now.Replicas, tc.members[stalled].member.ID)
				}
			}
			ackedBefore := tc.lastAcked
			tc.advance(clock.Sec)
			if tc.lastAcked <= ackedBefore {
				t.Errorf("got last acknowledged index %d without the stalled member, want more than %d", tc.lastAcked, ackedBefore)
			}
		})
	}
}
