package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

const (
	// powerLossSpreadUs and killSpreadUs bound the time between the first and the last start of the members in one restart: after a
	// loss of power, and after a kill.
	powerLossSpreadUs = 450 * clock.Ms
	killSpreadUs      = 10 * clock.Ms
	// maxViewDelayUs bounds the time from the start of the last member to the next view: a round trip of hellos, a tick, and the
	// two syncs of a decision.
	maxViewDelayUs = 120 * clock.Ms
)

// restartAll stops all members and restarts them up to apartUs apart. It returns how long after the start of the last member all
// had installed the next view.
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
	isBehind := func(s *testMember) bool { return s.node.View().Number <= before || !s.node.isServing() }
	for slices.ContainsFunc(tc.members, isBehind) {
		if tc.advance(stepUs); tc.nowUs-lastUs > 2*clock.Sec {
			tc.t.Fatalf("got no view of all members 2 s after the last start, want one after view %d", before)
		}
	}
	return tc.nowUs - lastUs
}

// Guards against two delays of the next view after a restart of all members, during which no member serves. The last member to
// restart heard the others only with their next hello, up to 200 ms later. And a member that had not heard all others yet when it
// received a Prepare was asked again only 200 ms later.
func TestNextViewFollowsReturnOfLastMember(t *testing.T) {
	for _, c := range []struct {
		size    int
		apartUs int64
	}{{3, powerLossSpreadUs}, {5, powerLossSpreadUs}, {3, killSpreadUs}, {5, killSpreadUs}} {
		durationsUs := []int64{}
		for seed := int64(1); seed <= 60; seed++ {
			tc := newFleetTimedCluster(t, seed, c.size)
			durationsUs = append(durationsUs, tc.restartAll(c.apartUs))
			tc.requireSettled(30*clock.Sec, "after the restart")
		}
		slices.Sort(durationsUs)
		median, most := durationsUs[len(durationsUs)/2], durationsUs[len(durationsUs)-1]
		t.Logf("%d members up to %d ms apart, from the last start to the view: median %d ms, maximum %d ms", c.size, c.apartUs/1000, median/1000, most/1000)
		if most > maxViewDelayUs {
			t.Errorf("%d members up to %d ms apart: got up to %d ms from the last start to the view, want at most %d ms", c.size, c.apartUs/1000, most/1000, maxViewDelayUs/1000)
		}
	}
}

// A head issues orders only while the tail has recently confirmed one of its time stamps (IsHeadConfirmed). Members that restart
// together send their heartbeats at the same time; this must not delay the confirmation. When each member forwarded the head's
// time stamp only with its own next heartbeat, the head of a chain of five got the confirmation too late, and issued no orders for
// as long as that lasted.
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
				t.Errorf("%d members, seed %d: got an unconfirmed head for %d of 4000 ms, want 0", size, seed, int64(stale)*stepUs/1000)
			}
		}
	}
}
