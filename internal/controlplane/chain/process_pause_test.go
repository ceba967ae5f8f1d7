package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// pause suspends a member's process. Messages that arrive meanwhile are processed only after its next tick.
func (tc *testCluster) pause(s *testMember, spanUs int64) {
	s.paused = true
	tc.advance(spanUs)
	s.paused = false
	tc.step(s, Tick{})
}

// A member that was paused has heard nobody, and must not suspect the others for that, however long the pause was.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	for member := range 3 {
		for spanUs := 100 * clock.Ms; spanUs <= 1500*clock.Ms; spanUs += 50 * clock.Ms {
			t.Run(fmt.Sprintf("member %d for %d ms", member, spanUs/clock.Ms), func(t *testing.T) {
				tc := newFleetTimedCluster(t, 1, 3)
				s := tc.members[member]
				tc.pause(s, spanUs)
				if p := s.node.proposal; p != nil {
					t.Fatalf("%s proposes replicas %v after its pause, want no proposal", s.member.ID, p.desired.Replicas)
				}
				tc.advance(3 * clock.Sec)
				for _, v := range tc.views {
					for _, other := range tc.members {
						if other != s && !v.HasReplica(other.member.ID) {
							t.Fatalf("view %d is without %s, which was never paused", v.Number, other.member.ID)
						}
					}
				}
			})
		}
	}
}

// Members that are paused repeatedly, as on a machine with too few cores, still remove a lost member from the view.
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
					t.Errorf("%s: got replicas %v, want two without %s", s.member.ID, v.Replicas, tc.members[2].member.ID)
				}
			}
		})
	}
}
