package chain

import (
	"fmt"
	"maps"
	"slices"
	"testing"
)

// isolate cuts the links from a member to the others, those to it, or both, and drops the messages in flight on them.
func (sc *smallChain) isolate(isolated int, outgoing, incoming bool) {
	sc.cutLinks = map[[2]int]bool{}
	for other := range sc.members {
		if other == isolated {
			continue
		}
		for link, cut := range map[[2]int]bool{{isolated, other}: outgoing, {other, isolated}: incoming} {
			if cut {
				sc.cutLinks[link] = true
				delete(sc.links, link)
			}
		}
	}
}

// partitionScenarios returns start states with each member partitioned in each direction, between writes or during one.
func partitionScenarios() map[string]func() *smallChain {
	all := map[string]func() *smallChain{}
	ways := map[string][2]bool{"in both directions": {true, true}, "outgoing only": {true, false}, "incoming only": {false, true}}
	for isolated, role := range []string{"head", "middle", "tail"} {
		for name, way := range ways {
			all[fmt.Sprintf("the %s is partitioned, %s", role, name)] = func() *smallChain {
				sc := newSmallChain()
				sc.write()
				sc.deliverAll()
				sc.isolate(isolated, way[0], way[1])
				sc.advanceIsolated(2)
				return sc
			}
			all[fmt.Sprintf("the %s is partitioned during a write, %s", role, name)] = func() *smallChain {
				sc := newSmallChain()
				sc.write()
				sc.syncNext(0)
				sc.isolate(isolated, way[0], way[1])
				return sc
			}
		}
	}
	return all
}

const (
	maxPartitionPathLength = 120
	partitionPathStride    = 20
	partitionDepth         = 5
)

// Explores every interleaving of deliveries, syncs, ticks, writes and the end of the partition up to a depth, from states along the
// path through each partition.
func TestInvariantsHoldInEveryInterleavingUnderPartition(t *testing.T) {
	depth, stride := partitionDepth, partitionPathStride
	if raceEnabled {
		depth, stride = raceDepth, partitionPathStride/2
	}
	all := partitionScenarios()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sc := all[name]()
			viewsBefore := len(sc.views)
			states, views := 0, 0
			for n := 0; n < maxPartitionPathLength; n++ {
				if n%stride == 0 {
					s, v, _ := explore(t, sc.clone(), depth, exploreLimits{ticks: 2, writes: sc.writes + 1, healLinks: true})
					states, views = states+s, max(views, v)
				}
				sc.advanceOnce()
				sc.checkInvariants()
				if sc.violation != "" {
					t.Fatal(sc.violation)
				}
			}
			t.Logf("%d states, %d view changes", states, views-viewsBefore)
			if states < 200 || views == viewsBefore {
				t.Errorf("got %d states and %d view changes, want at least 200 and 1 for a meaningful test", states, views-viewsBefore)
			}
		})
	}
}

// Takes long random walks, in which one member after another is partitioned and reconnected.
func TestInvariantsHoldOnRandomWalksUnderPartitions(t *testing.T) {
	walks := 300
	if raceEnabled {
		walks = 30
	}
	views, acked, cuts := 0, 0, 0
	for seed := 0; seed < walks; seed++ {
		sc := newSmallChain()
		r := uint64(seed)*2654435761 + 1
		for n := 0; n < 600; n++ {
			r ^= r << 13
			r ^= r >> 7
			r ^= r << 17
			sc.ticks, sc.writes = 0, min(sc.writes, n/40)
			if n%90 == 20 {
				cuts++
				sc.isolate(int(r/128)%3, r%3 != 0, r%3 != 1)
			}
			if n%90 == 70 {
				sc.cutLinks = nil
			}
			if r%crashInterval == 1 {
				r++
			}
			actions := sc.randomActions(r)
			if len(actions) == 0 {
				sc.tick()
			} else {
				actions[r%uint64(len(actions))](sc)
			}
			sc.checkInvariants()
			if sc.violation != "" {
				t.Fatalf("walk %d, action %d: %s", seed, n, sc.violation)
			}
		}
		views, acked = max(views, len(sc.views)), max(acked, len(sc.acked))
	}
	t.Logf("%d walks of 600 actions with %d partitions, up to %d views, %d entries acknowledged", walks, cuts, views, acked)
	if views < 4 || acked < 2 {
		t.Errorf("got up to %d views and %d acknowledged entries, want at least 4 and 2 for a meaningful test", views, acked)
	}
}
