package chain

import (
	"slices"
	"testing"

	"petreltide/internal/clock"
)

const (
	// apartUs is how far apart the members of one restart come back.
	apartUs = 450 * clock.Ms
	// viewMostUs is how long after the last member's start the next view may take: hellos there and back, a tick,
	// and the two syncs of a decision.
	viewMostUs = 120 * clock.Ms
)

// After a loss of everything the last member to come back heard the others with their next hello only, up to 200 ms
// later, and all that time nobody served.
func TestTheLastMemberBackIsAnsweredAtOnce(t *testing.T) {
	for _, size := range []int{3, 5} {
		took := []int64{}
		for seed := int64(1); seed <= 60; seed++ {
			y := pacedYard(t, seed, size)
			y.settles(30*clock.Sec, "before the loss")
			before := y.spots[0].node.View().Number
			for _, s := range y.spots {
				y.stop(s)
			}
			y.pass(clock.Sec)
			atUs := map[int]int64{}
			for i := range y.spots {
				atUs[i] = y.nowUs + y.r.Int63n(apartUs/yardStepUs)*yardStepUs
			}
			lastUs := int64(0)
			for _, us := range atUs {
				lastUs = max(lastUs, us)
			}
			for y.nowUs <= lastUs {
				for i, s := range y.spots {
					if s.node == nil && atUs[i] <= y.nowUs {
						y.start(s, false)
					}
				}
				y.pass(yardStepUs)
			}
			serves := func() bool {
				return !slices.ContainsFunc(y.spots, func(s *spot) bool { return s.node.View().Number <= before || !s.node.serving() })
			}
			for !serves() {
				if y.pass(yardStepUs); y.nowUs-lastUs > 2*clock.Sec {
					t.Fatalf("%d members, seed %d: no view of all 2 s after the last had started", size, seed)
				}
			}
			took = append(took, y.nowUs-lastUs)
		}
		slices.Sort(took)
		t.Logf("%d members, last start to the view: median %d ms, most %d ms", size, took[len(took)/2]/1000, took[len(took)-1]/1000)
		if most := took[len(took)-1]; most > viewMostUs {
			t.Errorf("%d members: %d ms from the last start to the view, at most %d", size, most/1000, viewMostUs/1000)
		}
	}
}
