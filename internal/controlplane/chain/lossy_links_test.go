package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// trouble does one thing to a chain and takes it back.
func (y *yard) trouble() {
	live := y.living()
	s := live[y.r.Intn(len(live))]
	switch y.r.Intn(7) {
	case 0, 1:
		s.frozen = true
		y.pass(y.r.Int63n(3 * clock.Sec))
		s.frozen = false
	case 2:
		for _, o := range live {
			o.frozen = y.r.Intn(2) == 0
		}
		y.pass(y.r.Int63n(2 * clock.Sec))
		for _, o := range live {
			o.frozen = false
			y.pass(y.r.Int63n(100 * clock.Ms))
		}
	case 3:
		y.stop(s)
		y.pass(y.r.Int63n(3 * clock.Sec))
		y.start(s, false)
	case 4:
		s.slow = true
		y.pass(y.r.Int63n(2 * clock.Sec))
		s.slow = false
	case 5:
		for _, a := range live {
			for _, b := range live {
				if a != b && y.r.Intn(3) == 0 {
					y.cuts[[2]string{a.me.Addr, b.me.Addr}] = true
				}
			}
		}
		s.frozen = y.r.Intn(2) == 0
		y.pass(y.r.Int63n(3 * clock.Sec))
		s.frozen = false
		clear(y.cuts)
	case 6:
		for _, o := range live {
			y.stop(o)
		}
		y.pass(y.r.Int63n(clock.Sec))
		for _, o := range live {
			y.start(o, false)
			y.pass(y.r.Int63n(200 * clock.Ms))
		}
	}
	y.pass(y.r.Int63n(2 * clock.Sec))
}

// Messages of every kind come twice, late and out of their order, as posts that were given up, and copies that go beside
// the others, may bring them; processes stand still and go on, at any moment. One chain, nothing acknowledged is lost,
// and in the end all are in it.
func TestSeededLooseLinksAndFreezes(t *testing.T) {
	seeds := int64(looseSeeds * exploreFactor())
	if raced {
		seeds = 6
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			y := newYard(t, seed, []int{3, 3, 5}[seed%3], 3)
			y.paced, y.copies, y.loose = seed%2 == 0, 2, true
			for _, s := range y.spots {
				y.start(s, true)
			}
			y.settles(60*clock.Sec, "founding")
			for range 20 {
				y.trouble()
			}
			y.settles(60*clock.Sec, "in the end")
			if len(y.views) < 4 || y.most < 50 {
				t.Errorf("%d views, %d acknowledged: it proves little", len(y.views), y.most)
			}
		})
	}
}

const looseSeeds = 60
