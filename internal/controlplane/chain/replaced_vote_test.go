package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// apart cuts every link between two groups of control nodes; what is under way there is lost.
func (tc *testCluster) cutBetween(one, other []*testMember) {
	for _, a := range one {
		for _, b := range other {
			tc.cutLinks[[2]string{a.member.Addr, b.member.Addr}] = true
		}
	}
}

// advanceUntil goes on until something holds, and says whether it came to hold in time.
func (tc *testCluster) advanceUntil(withinUs int64, holds func() bool) bool {
	for endUs := tc.nowUs + withinUs; tc.nowUs < endUs && !holds(); {
		tc.advance(stepUs)
	}
	return holds()
}

// splitAfterReplacedVote has two newcomers seated without votes, as the members have only just restarted, while one
// voter, whose disk hangs, is heard by the last of them alone. The tail is cut off from the head, and just before the
// head suspects it the others give that vote to the first newcomer. Then the network splits: the tail is beside a majority
// of the voters before, and a majority of the voters after is on the other side, where the head reaches the first
// newcomer only once it suspects the tail. It says whether it came to that.
func splitAfterReplacedVote(t *testing.T, seed int64) (tc *testCluster, split bool) {
	tc = newFleetTimedCluster(t, seed, 3)
	byPosition := map[int]*testMember{}
	for _, s := range tc.members {
		byPosition[s.node.position()] = s
	}
	head, middle, silent := byPosition[0], byPosition[1], byPosition[2]
	silent.syncsHeld = true
	if !tc.advanceUntil(5*clock.Sec, func() bool { return !head.node.view.HasReplica(silent.member.ID) }) {
		t.Fatalf("seed %d: a member whose disk hangs keeps its seat", seed)
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

// The lease that the tail has from the voters of the view before must have run out before the voters of the view after
// can have another tail.
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
		t.Error("the network was never split at the moment in question: it proves nothing")
	}
}
