package chain

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// splitThenLoseSuccessor partitions four or six voters into a half with the successor, which is the tie-breaker, and a half without it.
// The successor loses its disk at a random time, and comes back on the other side. It returns the cluster, the half without the
// successor, and the rest of the half with it.
func splitThenLoseSuccessor(t *testing.T, seed int64, controlNodes int) (tc *testCluster, without, with []*testMember) {
	tc = newFleetTimedCluster(t, seed, controlNodes)
	successor := tc.addEmptyMember()
	tc.start(successor, false)
	tc.advance(successorUptimeUs)
	if why := tc.takeoverFailure(successor); why != "" {
		t.Fatalf("seed %d: before the partition: %s", seed, why)
	}
	others := slices.Clone(tc.members[:controlNodes])
	tc.r.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	half := (controlNodes + 1) / 2
	without, with = others[:half], others[half:]
	tc.cutBetween(without, append(slices.Clone(with), successor))
	if tc.r.Intn(3) == 0 {
		tc.pause(others[tc.r.Intn(len(others))], tc.r.Int63n(2*clock.Sec))
	}
	tc.advance(tc.r.Int63n(3500 * clock.Ms))
	tc.stop(successor)
	tc.incarnations++
	successor.disk, successor.member.ID = nil, fmt.Sprintf("%s-%d", successor.member.Name, tc.incarnations)
	tc.advance(tc.r.Int63n(1200 * clock.Ms))
	tc.cutLinks = map[[2]string]bool{}
	tc.cutBetween(without, with)
	if tc.r.Intn(2) == 0 {
		tc.cutBetween([]*testMember{successor}, with)
	}
	tc.start(successor, false)
	return tc, without, with
}

// Guards against two halves of the voters that both decide on the next view (the other side of review/5): the half with the tie-breaker
// may have decided in isolation before the tie-breaker lost its disk, and then the other half must not decide on the word of the
// process that came back without one. checkInvariants finds a view that was decided twice and an acknowledged entry that was lost.
func TestPartitionedHalvesNeverDecideBoth(t *testing.T) {
	seeds := int64(90)
	if raceEnabled {
		seeds = 12
	}
	for _, controlNodes := range []int{3, 5} {
		t.Run(fmt.Sprint(controlNodes, " control nodes"), func(t *testing.T) {
			t.Parallel()
			decidedWith, decidedWithout := 0, 0
			for seed := range seeds {
				tc, without, with := splitThenLoseSuccessor(t, seed, controlNodes)
				tc.advance(4 * clock.Sec)
				switch {
				case with[0].node.view.Number > without[0].node.view.Number:
					decidedWith++
				case without[0].node.view.Number > with[0].node.view.Number:
					decidedWithout++
				}
				tc.cutLinks = map[[2]string]bool{}
				tc.requireSettled(20*clock.Sec, fmt.Sprint("seed ", seed, ", after the partition"))
			}
			t.Logf("the half with the tie-breaker decided in %d of %d runs, the other in %d", decidedWith, seeds, decidedWithout)
			if decidedWith < int(seeds)/12 || decidedWithout < int(seeds)/12 {
				t.Errorf("got %d decisions of one half and %d of the other, want at least %d of each for a meaningful test", decidedWith, decidedWithout, seeds/12)
			}
		})
	}
}
