package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// pause lets a member's process stand still. What came meanwhile is read only after its next tick.
func (tc *testCluster) pause(s *testMember, spanUs int64) {
	s.paused = true
	tc.advance(spanUs)
	s.paused = false
	tc.step(s, Tick{})
}

// A member that stood still has heard nobody, which says nothing of the others, however short or long it was.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	for member := range 3 {
		for spanUs := 100 * clock.Ms; spanUs <= 1500*clock.Ms; spanUs += 50 * clock.Ms {
			t.Run(fmt.Sprintf("member %d for %d ms", member, spanUs/clock.Ms), func(t *testing.T) {
				tc := newFleetTimedCluster(t, 1, 3)
				s := tc.members[member]
				tc.pause(s, spanUs)
				if p := s.node.proposal; p != nil {
					t.Fatalf("it wants %v", p.desired.Replicas)
				}
				tc.advance(3 * clock.Sec)
				for _, v := range tc.views {
					for _, other := range tc.members {
						if other != s && !v.HasReplica(other.member.ID) {
							t.Fatalf("view %d is without %s, which never stood still", v.Number, other.member.ID)
						}
					}
				}
			})
		}
	}
}

// Members that stand still again and again, as on a machine of too few cores, put out a lost one all the same.
func TestOftenPausedMembersRemoveLostOne(t *testing.T) {
	for _, spanUs := range []int64{150 * clock.Ms, 300 * clock.Ms, 600 * clock.Ms} {
		t.Run(fmt.Sprint(spanUs/clock.Ms, " ms each"), func(t *testing.T) {
			tc := newFleetTimedCluster(t, 1, 3)
			tc.stop(tc.members[2])
			for endUs := tc.nowUs + 5*clock.Sec; tc.nowUs < endUs; {
				tc.members[0].paused, tc.members[1].paused = true, true
				tc.advance(spanUs)
				tc.members[0].paused, tc.members[1].paused = false, false
				tc.advance(100 * clock.Ms)
			}
			for _, s := range tc.members[:2] {
				if v := s.node.View(); v.HasReplica(tc.members[2].member.ID) || len(v.Replicas) != 2 {
					t.Errorf("%s has %v", s.member.ID, v.Replicas)
				}
			}
		})
	}
}
