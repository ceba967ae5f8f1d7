package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

const (
	// powerLossSpreadUs is how far apart the members of one restart come back: after a loss of power, and after a kill.
	powerLossSpreadUs = 450 * clock.Ms
	killSpreadUs      = 10 * clock.Ms
	// maxViewDelayUs is how long after the last member's start the next view may take: hellos there and back, a tick,
	// and the two syncs of a decision.
	maxViewDelayUs = 120 * clock.Ms
)

// restartAll loses all members, brings them back up to powerLossSpreadUs apart, and returns how long after the last member's
// start all have the next view.
func (tc *testCluster) restartAll(apartUs int64) int64 {
	tc.t.Helper()
	before := tc.members[0].node.View().Number
	for _, s := range tc.members {
		tc.stop(s)
	}
	tc.advance(clock.Sec)
	lastUs, startUs := int64(0), map[*testMember]int64{}
	for _, s := range tc.members {
		s.tickOffsetUs = tc.r.Int63n(5) * stepUs
		startUs[s] = tc.nowUs + tc.r.Int63n(apartUs/stepUs)*stepUs
		lastUs = max(lastUs, startUs[s])
	}
	for tc.nowUs <= lastUs {
		for _, s := range tc.members {
			if s.node == nil && startUs[s] <= tc.nowUs {
				tc.start(s, false)
			}
		}
		tc.advance(stepUs)
	}
	waits := func(s *testMember) bool { return s.node.View().Number <= before || !s.node.isServing() }
	for slices.ContainsFunc(tc.members, waits) {
		if tc.advance(stepUs); tc.nowUs-lastUs > 2*clock.Sec {
			tc.t.Fatal("no view of all 2 s after the last had started")
		}
	}
	return tc.nowUs - lastUs
}

// After a loss of everything the last member to come back heard the others with their next hello only, up to 200 ms
// later, and one that had not heard all others yet when it was asked for its vote was asked again 200 ms later. All
// that time nobody served.
func TestNextViewFollowsReturnOfLastMember(t *testing.T) {
	for _, c := range []struct {
		size    int
		apartUs int64
	}{{3, powerLossSpreadUs}, {5, powerLossSpreadUs}, {3, killSpreadUs}, {5, killSpreadUs}} {
		took := []int64{}
		for seed := int64(1); seed <= 60; seed++ {
			tc := newFleetTimedCluster(t, seed, c.size)
			took = append(took, tc.restartAll(c.apartUs))
			tc.requireSettled(30*clock.Sec, "after the restart")
		}
		slices.Sort(took)
		median, most := took[len(took)/2], took[len(took)-1]
		t.Logf("%d members up to %d ms apart, last start to the view: median %d ms, most %d ms", c.size, c.apartUs/1000, median/1000, most/1000)
		if most > maxViewDelayUs {
			t.Errorf("%d members up to %d ms apart: %d ms from the last start to the view, at most %d", c.size, c.apartUs/1000, most/1000, maxViewDelayUs/1000)
		}
	}
}

// Members that come back together send their beats together: each beat of the head waited for the next of each member
// on its way to the tail, and a head of five that heard its own back too late gave no orders for as long as that lasted.
func TestHeadIsConfirmedWhenHeartbeatsCoincide(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := int64(1); seed <= 20; seed++ {
			tc := newFleetTimedCluster(t, seed, size)
			tc.restartAll(stepUs)
			for _, s := range tc.members {
				s.tickOffsetUs = 0
			}
			tc.idle = true
			tc.advance(2 * clock.Sec)
			stale := 0
			for endUs := tc.nowUs + 4*clock.Sec; tc.nowUs < endUs; tc.advance(stepUs) {
				for _, s := range tc.members {
					if s.node.IsHead() && !s.node.IsHeadConfirmed(tc.nowUs) {
						stale++
					}
				}
			}
			if stale > 0 {
				t.Errorf("%d members, seed %d: for %d of 4000 ms the head was not fresh", size, seed, int64(stale)*stepUs/1000)
			}
		}
	}
}
