package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// apart cuts every link between two groups of control nodes; what is under way there is lost.
func (tc *testCluster) apart(one, other []*testMember) {
	for _, a := range one {
		for _, b := range other {
			tc.cuts[[2]string{a.me.Addr, b.me.Addr}] = true
		}
	}
}

// passUntil goes on until something holds, and says whether it came to hold in time.
func (tc *testCluster) passUntil(withinUs int64, holds func() bool) bool {
	for endUs := tc.nowUs + withinUs; tc.nowUs < endUs && !holds(); {
		tc.advance(yardStepUs)
	}
	return holds()
}

// splitAfterAReplacedVote has two newcomers seated without votes, as the members have only just restarted, while one
// voter, whose disk hangs, is heard by the last of them alone. The tail is cut off from the head, and just before the
// head suspects it the others give that vote to the first newcomer. Then the network splits: the tail is beside a majority
// of the voters before, and a majority of the voters after is on the other side, where the head reaches the first
// newcomer only once it suspects the tail. It says whether it came to that.
func splitAfterAReplacedVote(t *testing.T, seed int64) (y *testCluster, split bool) {
	y = newPacedTestCluster(t, seed, 3)
	spots := map[int]*testMember{}
	for _, s := range y.members {
		spots[s.node.position()] = s
	}
	head, middle, silent := spots[0], spots[1], spots[2]
	silent.slow = true
	if !y.passUntil(5*clock.Sec, func() bool { return !head.node.view.HasReplica(silent.me.ID) }) {
		t.Fatalf("seed %d: a member whose disk hangs keeps its seat", seed)
	}
	first, second := y.fresh(), y.fresh()
	y.apart([]*testMember{head}, []*testMember{first, second})
	y.start(first, false)
	y.start(second, false)
	y.advance(2 * clock.Sec)
	y.cuts = map[[2]string]bool{}
	for _, s := range []*testMember{head, middle} {
		y.stop(s)
		y.start(s, false)
	}
	y.advance(600 * clock.Ms)
	y.apart([]*testMember{silent}, []*testMember{middle, first})
	y.advance(800 * clock.Ms)
	y.apart([]*testMember{silent}, []*testMember{head})
	y.advance((1000 + 3*seed) * clock.Ms)
	y.apart([]*testMember{head}, []*testMember{second})
	split = y.passUntil(5*clock.Sec, func() bool {
		v := head.node.view
		return v.Tail().ID == second.me.ID && v.IsVoter(first.me.ID) && !v.IsVoter(silent.me.ID) && len(v.Voters) == 3
	})
	y.cuts = map[[2]string]bool{}
	y.apart([]*testMember{head, first}, []*testMember{middle, silent, second})
	y.apart([]*testMember{head}, []*testMember{first})
	y.advance(200 * clock.Ms)
	delete(y.cuts, [2]string{head.me.Addr, first.me.Addr})
	return y, split
}

// The lease that the tail has from the voters of the view before must have run out before the voters of the view after
// can have another tail.
func TestReplacedVoterLeavesNoLeaseBehind(t *testing.T) {
	splits := 0
	for seed := range int64(60) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			y, split := splitAfterAReplacedVote(t, seed)
			if split {
				splits++
			}
			y.advance(4 * clock.Sec)
			y.cuts = map[[2]string]bool{}
			for _, s := range y.members {
				s.slow = false
			}
			y.requireSettled(20*clock.Sec, "after the split")
		})
	}
	t.Logf("%d splits", splits)
	if splits == 0 {
		t.Error("the network was never split at the moment in question: it proves nothing")
	}
}
