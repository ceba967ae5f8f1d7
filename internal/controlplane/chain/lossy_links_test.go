package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// injectFaults does one thing to a chain and takes it back.
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

// Messages of every kind come twice, late and out of their order, as posts that were given up, and copies that go beside
// the others, may bring them; processes stand still and go on, at any moment. One chain, nothing acknowledged is lost,
// and in the end all are in it.
func TestSeededLossyLinksAndPauses(t *testing.T) {
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
			tc.requireSettled(60*clock.Sec, "founding")
			for range 20 {
				tc.injectFaults()
			}
			tc.requireSettled(60*clock.Sec, "in the end")
			if len(tc.views) < 4 || tc.lastAcked < 50 {
				t.Errorf("%d views, %d acknowledged: it proves little", len(tc.views), tc.lastAcked)
			}
		})
	}
}

const lossyLinkSeeds = 60
