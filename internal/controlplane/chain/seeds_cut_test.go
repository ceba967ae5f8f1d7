package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A new control node all of whose seeds are cut off from it knows nobody else: it waits, holds up nobody, and is taken in within
// its time to catch up once one of the seeds is back, also where that one alone is.
func TestNewControlNodeWhoseSeedsAreAllCutOff(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range int64(8) {
			tc := newFleetTimedCluster(t, seed, size)
			seeds := []string{}
			for _, s := range tc.members[:3] {
				seeds = append(seeds, s.member.Addr)
			}
			tc.seedAddrs = seeds
			fresh := tc.addEmptyMember()
			for _, addr := range seeds {
				tc.cutLinks[[2]string{fresh.member.Addr, addr}] = true
			}
			tc.start(fresh, false)
			before := tc.lastAcked
			tc.advance(10 * clock.Sec)
			if fresh.node.View().Number > 0 || tc.lastAcked < before+100 {
				t.Fatalf("%d members, seed %d: view %d, %d acknowledged meanwhile", size, seed, fresh.node.View().Number, tc.lastAcked-before)
			}
			delete(tc.cutLinks, [2]string{fresh.member.Addr, seeds[seed%3]})
			tc.advance(clock.Sec)
			if fresh.node.View().Number == 0 {
				t.Fatalf("%d members, seed %d: it knows no chain a second after a seed is back", size, seed)
			}
			clear(tc.cutLinks)
			healedUs := tc.nowUs
			for !fresh.node.isServing() && tc.nowUs-healedUs < tc.catchUpUs() {
				tc.advance(stepUs)
			}
			if !fresh.node.isServing() {
				t.Errorf("%d members, seed %d: no seat %d ms after the cut has healed", size, seed, (tc.nowUs-healedUs)/clock.Ms)
			}
			tc.requireSettled(20*clock.Sec, "healed")
		}
	}
}
