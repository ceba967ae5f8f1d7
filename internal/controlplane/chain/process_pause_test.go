package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// freeze lets a member's process stand still. What came meanwhile is read only after its next tick.
func (y *yard) freeze(s *spot, spanUs int64) {
	s.frozen = true
	y.pass(spanUs)
	s.frozen = false
	y.step(s, Tick{})
}

// A member that stood still has heard nobody, which says nothing of the others, however short or long it was.
func TestAMemberThatStoodStillSuspectsNobody(t *testing.T) {
	for member := range 3 {
		for spanUs := 100 * clock.Ms; spanUs <= 1500*clock.Ms; spanUs += 50 * clock.Ms {
			t.Run(fmt.Sprintf("member %d for %d ms", member, spanUs/clock.Ms), func(t *testing.T) {
				y := pacedYard(t, 1, 3)
				s := y.spots[member]
				y.freeze(s, spanUs)
				if p := s.node.proposal; p != nil {
					t.Fatalf("it wants %v", p.desired.Replicas)
				}
				y.pass(3 * clock.Sec)
				for _, v := range y.views {
					for _, other := range y.spots {
						if other != s && !v.HasReplica(other.me.ID) {
							t.Fatalf("view %d is without %s, which never stood still", v.Number, other.me.ID)
						}
					}
				}
			})
		}
	}
}

// Members that stand still again and again, as on a machine of too few cores, put out a lost one all the same.
func TestMembersThatStandStillOftenPutOutALostOne(t *testing.T) {
	for _, spanUs := range []int64{150 * clock.Ms, 300 * clock.Ms, 600 * clock.Ms} {
		t.Run(fmt.Sprint(spanUs/clock.Ms, " ms each"), func(t *testing.T) {
			y := pacedYard(t, 1, 3)
			y.stop(y.spots[2])
			for endUs := y.nowUs + 5*clock.Sec; y.nowUs < endUs; {
				y.spots[0].frozen, y.spots[1].frozen = true, true
				y.pass(spanUs)
				y.spots[0].frozen, y.spots[1].frozen = false, false
				y.pass(100 * clock.Ms)
			}
			for _, s := range y.spots[:2] {
				if v := s.node.View(); v.HasReplica(y.spots[2].me.ID) || len(v.Replicas) != 2 {
					t.Errorf("%s has %v", s.me.ID, v.Replicas)
				}
			}
		})
	}
}
