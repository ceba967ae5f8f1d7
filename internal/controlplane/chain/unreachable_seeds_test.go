package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A new control node that is partitioned from all its seed addresses knows no other control node. It waits without delaying the
// others, and joins within its time to catch up once a single seed is reachable again.
func TestNewControlNodeJoinsOnceOneSeedIsReachable(t *testing.T) {
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
				t.Fatalf("%d members, seed %d: got view %d and %d entries acknowledged while partitioned, want view 0 and at least 100", size, seed, fresh.node.View().Number, tc.lastAcked-before)
			}
			delete(tc.cutLinks, [2]string{fresh.member.Addr, seeds[seed%3]})
			tc.advance(clock.Sec)
			if fresh.node.View().Number == 0 {
				t.Fatalf("%d members, seed %d: the new control node knows no chain 1 s after a seed is reachable", size, seed)
			}
			clear(tc.cutLinks)
			healedUs := tc.nowUs
			for !fresh.node.isServing() && tc.nowUs-healedUs < tc.catchUpUs() {
				tc.advance(stepUs)
			}
			if !fresh.node.isServing() {
				t.Errorf("%d members, seed %d: the new control node is not serving %d ms after the partition has ended", size, seed, (tc.nowUs-healedUs)/clock.Ms)
			}
			tc.requireSettled(20*clock.Sec, "after the partition")
		}
	}
}
