package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// cutBetween cuts every link between two groups of control nodes; messages in flight there are lost.
func (tc *testCluster) cutBetween(left, right []*testMember) {
	for _, a := range left {
		for _, b := range right {
			tc.cutLinks[[2]string{a.member.Addr, b.member.Addr}] = true
		}
	}
}

// advanceUntil advances the time until a condition holds, and reports whether it held in time.
func (tc *testCluster) advanceUntil(withinUs int64, holds func() bool) bool {
	for endUs := tc.nowUs + withinUs; tc.nowUs < endUs && !holds(); {
		tc.advance(stepUs)
	}
	return holds()
}

// splitAfterReplacedVote builds this situation, and reports whether it was reached:
//  1. Two new control nodes are replicas and not yet voters, as the members have just restarted. One voter, whose disk hangs, is
//     heard only by the second new control node, which is the tail.
//  2. The tail is partitioned from the head. Just before the head suspects the tail, the others replace the hanging voter by the
//     first new control node.
//  3. The network splits: the tail is with a majority of the previous voters, and a majority of the new voters is on the other
//     side, where the head reaches the first new control node only once it suspects the tail.
func splitAfterReplacedVote(t *testing.T, seed int64) (tc *testCluster, split bool) {
	tc = newFleetTimedCluster(t, seed, 3)
	byPosition := map[int]*testMember{}
	for _, s := range tc.members {
		byPosition[s.node.position()] = s
	}
	head, middle, silent := byPosition[0], byPosition[1], byPosition[2]
	silent.syncsHeld = true
	if !tc.advanceUntil(5*clock.Sec, func() bool { return !head.node.view.HasReplica(silent.member.ID) }) {
		t.Fatalf("seed %d: a member whose disk hangs is still a replica after 5 s", seed)
	}
	first, second := tc.addEmptyMember(), tc.addEmptyMember()
	tc.cutBetween([]*testMember{head}, []*testMember{first, second})
	tc.start(first, false)
	tc.start(second, false)
	tc.advance(2 * clock.Sec)
	tc.cutLinks = map[[2]string]bool{}
	for _, s := range []*testMember{head, middle} {
		tc.stop(s)
		tc.start(s, false)
	}
	tc.advance(600 * clock.Ms)
	tc.cutBetween([]*testMember{silent}, []*testMember{middle, first})
	tc.advance(800 * clock.Ms)
	tc.cutBetween([]*testMember{silent}, []*testMember{head})
	tc.advance((1000 + 3*seed) * clock.Ms)
	tc.cutBetween([]*testMember{head}, []*testMember{second})
	split = tc.advanceUntil(5*clock.Sec, func() bool {
		v := head.node.view
		return v.Tail().ID == second.member.ID && v.IsVoter(first.member.ID) && !v.IsVoter(silent.member.ID) && len(v.Voters) == 3
	})
	tc.cutLinks = map[[2]string]bool{}
	tc.cutBetween([]*testMember{head, first}, []*testMember{middle, silent, second})
	tc.cutBetween([]*testMember{head}, []*testMember{first})
	tc.advance(200 * clock.Ms)
	delete(tc.cutLinks, [2]string{head.member.Addr, first.member.Addr})
	return tc, split
}

// The lease that the tail holds from the voters of the previous view must have expired before the voters of the new view can
// install another tail.
func TestReplacedVoterLeavesNoLeaseBehind(t *testing.T) {
	splits := 0
	for seed := range int64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			tc, split := splitAfterReplacedVote(t, seed)
			if split {
				splits++
			}
			tc.advance(4 * clock.Sec)
			tc.cutLinks = map[[2]string]bool{}
			for _, s := range tc.members {
				s.syncsHeld = false
			}
			tc.requireSettled(20*clock.Sec, "after the split")
		})
	}
	t.Logf("%d splits", splits)
	if splits == 0 {
		t.Error("got no split after a replaced vote, want at least one for a meaningful test")
	}
}
