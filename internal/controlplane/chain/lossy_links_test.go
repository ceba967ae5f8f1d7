package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// injectFaults injects one random fault into a chain and reverts it.
func (tc *testCluster) injectFaults() {
	live := tc.remainingMembers()
	s := live[tc.r.Intn(len(live))]
	switch tc.r.Intn(7) {
	case 0, 1:
		s.paused = true
		tc.advance(tc.r.Int63n(3 * clock.Sec))
		s.paused = false
	case 2:
		for _, o := range live {
			o.paused = tc.r.Intn(2) == 0
		}
		tc.advance(tc.r.Int63n(2 * clock.Sec))
		for _, o := range live {
			o.paused = false
			tc.advance(tc.r.Int63n(100 * clock.Ms))
		}
	case 3:
		tc.stop(s)
		tc.advance(tc.r.Int63n(3 * clock.Sec))
		tc.start(s, false)
	case 4:
		s.syncsHeld = true
		tc.advance(tc.r.Int63n(2 * clock.Sec))
		s.syncsHeld = false
	case 5:
		for _, a := range live {
			for _, b := range live {
				if a != b && tc.r.Intn(3) == 0 {
					tc.cutLinks[[2]string{a.member.Addr, b.member.Addr}] = true
				}
			}
		}
		s.paused = tc.r.Intn(2) == 0
		tc.advance(tc.r.Int63n(3 * clock.Sec))
		s.paused = false
		clear(tc.cutLinks)
	case 6:
		for _, o := range live {
			tc.stop(o)
		}
		tc.advance(tc.r.Int63n(clock.Sec))
		for _, o := range live {
			tc.start(o, false)
			tc.advance(tc.r.Int63n(200 * clock.Ms))
		}
	}
	tc.advance(tc.r.Int63n(2 * clock.Sec))
}

// Messages of every kind are duplicated, delayed and reordered, as happens with requests that timed out and with snapshots that
// are sent beside other messages. Processes are paused and resumed at any moment. There is one chain, no acknowledged entry is
// lost, and finally all members have joined.
func TestChainSurvivesLossyLinksAndPauses(t *testing.T) {
	seeds := int64(lossyLinkSeeds * exploreFactor())
	if raceEnabled {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			tc := newTestCluster(t, seed, []int{3, 3, 5}[seed%3], 3)
			tc.fleetTimings, tc.minReplicas, tc.lossyLinks = seed%2 == 0, 2, true
			for _, s := range tc.members {
				tc.start(s, true)
			}
			tc.requireSettled(60*clock.Sec, "bootstrap")
			for range 20 {
				tc.injectFaults()
			}
			tc.requireSettled(60*clock.Sec, "finally")
			if len(tc.views) < 4 || tc.lastAcked < 50 {
				t.Errorf("got %d views and last acknowledged index %d, want at least 4 and 50 for a meaningful test", len(tc.views), tc.lastAcked)
			}
		})
	}
}

// lossyLinkSeeds is the number of seeds without PETRELTIDE_EXPLORE.
const lossyLinkSeeds = 60
