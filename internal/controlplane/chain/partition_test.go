package chain

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// cutOff takes away what a member says to the others, what they say to it, or both, with what is under way.
func (sc *smallChain) cutOff(struck int, says, hears bool) {
	sc.cuts = map[[2]int]bool{}
	for other := range sc.members {
		if other == struck {
			continue
		}
		for way, cut := range map[[2]int]bool{{struck, other}: says, {other, struck}: hears} {
			if cut {
				sc.cuts[way] = true
				delete(sc.pipes, way)
			}
		}
	}
}

// cutScenarios cut each member off in each way: between writes, or with one under way.
func cutScenarios() map[string]func() *smallChain {
	all := map[string]func() *smallChain{}
	ways := map[string][2]bool{"both ways": {true, true}, "mute": {true, false}, "deaf": {false, true}}
	for struck, role := range []string{"head", "middle", "tail"} {
		for name, way := range ways {
			all[fmt.Sprintf("the %s is cut off, %s", role, name)] = func() *smallChain {
				b := newSmallChain()
				b.write()
				b.deliverAll()
				b.cutOff(struck, way[0], way[1])
				b.advanceIsolated(2)
				return b
			}
			all[fmt.Sprintf("the %s is cut off during a write, %s", role, name)] = func() *smallChain {
				b := newSmallChain()
				b.write()
				b.synced(0)
				b.cutOff(struck, way[0], way[1])
				return b
			}
		}
	}
	return all
}

const (
	cutPathMost   = 120
	cutPathStride = 20
	cutDepth      = 5
)

// From states all along the way through each cut, every interleaving of deliveries, syncs, ticks, writes and
// the links' healing up to a depth.
func TestEveryInterleavingUnderPartition(t *testing.T) {
	depth, stride := cutDepth, cutPathStride
	if raced {
		depth, stride = racedDepth, cutPathStride/2
	}
	all := cutScenarios()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := all[name]()
			first := len(b.views)
			states, views := 0, 0
			for n := 0; n < cutPathMost; n++ {
				if n%stride == 0 {
					s, v, _ := explore(t, b.clone(), depth, limits{ticks: 2, writes: b.writes + 1, heals: true})
					states, views = states+s, max(views, v)
				}
				b.requireProgress()
				b.checkInvariants()
				if b.broken != "" {
					t.Fatal(b.broken)
				}
			}
			t.Logf("%d states, %d view changes", states, views-first)
			if states < 200 || views == first {
				t.Errorf("%d states, %d view changes: it proves little", states, views-first)
			}
		})
	}
}

// Long walks at random, in which one member after another is cut off and comes back.
func TestLongWalksUnderPartitions(t *testing.T) {
	walks := 300
	if raced {
		walks = 30
	}
	views, acked, cuts := 0, 0, 0
	for seed := 0; seed < walks; seed++ {
		b := newSmallChain()
		r := uint64(seed)*2654435761 + 1
		for n := 0; n < 600; n++ {
			r ^= r << 13
			r ^= r >> 7
			r ^= r << 17
			b.ticks, b.writes = 0, min(b.writes, n/40)
			if n%90 == 20 {
				cuts++
				b.cutOff(int(r/128)%3, r%3 != 0, r%3 != 1)
			}
			if n%90 == 70 {
				b.cuts = nil
			}
			if r%crashEvery == 1 {
				r++
			}
			acts := b.choices(r)
			if len(acts) == 0 {
				b.tick()
			} else {
				acts[r%uint64(len(acts))](b)
			}
			b.checkInvariants()
			if b.broken != "" {
				t.Fatalf("walk %d, action %d: %s", seed, n, b.broken)
			}
		}
		views, acked = max(views, len(b.views)), max(acked, len(b.acked))
	}
	t.Logf("%d walks of 600 actions with %d cuts, up to %d views, %d acknowledged", walks, cuts, views, acked)
	if views < 4 || acked < 2 {
		t.Errorf("up to %d views and %d acknowledged: the walks prove little", views, acked)
	}
}
