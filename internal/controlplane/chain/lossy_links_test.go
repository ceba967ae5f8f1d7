package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// injectFaults does one thing to a chain and takes it back.
func (tc *testCluster) injectFaults() {
	live := tc.living()
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
		s.slow = true
		tc.advance(tc.r.Int63n(2 * clock.Sec))
		s.slow = false
	case 5:
		for _, a := range live {
			for _, b := range live {
				if a != b && tc.r.Intn(3) == 0 {
					tc.cuts[[2]string{a.me.Addr, b.me.Addr}] = true
				}
			}
		}
		s.paused = tc.r.Intn(2) == 0
		tc.advance(tc.r.Int63n(3 * clock.Sec))
		s.paused = false
		clear(tc.cuts)
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
	seeds := int64(looseSeeds * exploreFactor())
	if raced {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			y := newTestCluster(t, seed, []int{3, 3, 5}[seed%3], 3)
			y.paced, y.minReplicas, y.lossyLinks = seed%2 == 0, 2, true
			for _, s := range y.members {
				y.start(s, true)
			}
			y.requireSettled(60*clock.Sec, "founding")
			for range 20 {
				y.injectFaults()
			}
			y.requireSettled(60*clock.Sec, "in the end")
			if len(y.views) < 4 || y.lastAcked < 50 {
				t.Errorf("%d views, %d acknowledged: it proves little", len(y.views), y.lastAcked)
			}
		})
	}
}

const looseSeeds = 60
