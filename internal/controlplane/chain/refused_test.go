package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// newFourVoterCluster is a chain of three into which a fourth control node has been taken, as before a planned replacement. The
// member to lose is the head, or the one behind it.
func newFourVoterCluster(t *testing.T, seed int64) (tc *testCluster, lost *testMember) {
	t.Helper()
	tc = newFleetTimedCluster(t, seed, 3)
	tc.start(tc.addEmptyMember(), false)
	tc.advance(tc.catchUpUs())
	view := tc.remainingMembers()[0].node.View()
	if len(view.Voters) != 4 || len(view.Replicas) != 4 {
		t.Fatalf("seed %d: %d votes, %d seats", seed, len(view.Voters), len(view.Replicas))
	}
	return tc, tc.memberAt(view.Replicas[seed%2].Addr)
}

// allSeeThreeVoters says that all that run go by a view of three votes.
func allSeeThreeVoters(tc *testCluster) bool {
	return !slices.ContainsFunc(tc.remainingMembers(), func(m *testMember) bool { return m.node != nil && len(m.node.View().Voters) != 3 })
}

// A killed process, unlike a lost machine or a cut link, has its connections refused: its vote goes within a few hundred
// milliseconds, and so does the time in which a further loss would stop the chain.
func TestRefusedConnectionShortensTheWindowOfFourVotes(t *testing.T) {
	for _, c := range []struct {
		what    string
		refuses bool
		mostUs  int64
		leastUs int64
	}{
		{"killed, its port refuses", true, 300 * clock.Ms, 0},
		{"its machine is lost", false, 1100 * clock.Ms, 700 * clock.Ms},
	} {
		took := []int64{}
		for seed := range int64(20) {
			tc, lost := newFourVoterCluster(t, seed)
			tc.refusesConnections = c.refuses
			sinceUs := tc.nowUs
			tc.stop(lost)
			lost.removed = !c.refuses
			for !allSeeThreeVoters(tc) && tc.nowUs-sinceUs < 5*clock.Sec {
				tc.advance(stepUs)
			}
			took = append(took, tc.nowUs-sinceUs)
		}
		slices.Sort(took)
		median, most := took[len(took)/2], took[len(took)-1]
		t.Logf("%s: three votes after %d ms (median), %d ms at most", c.what, median/clock.Ms, most/clock.Ms)
		if most > c.mostUs || median < c.leastUs {
			t.Errorf("%s: %d ms at most, %d wanted", c.what, most/clock.Ms, c.mostUs/clock.Ms)
		}
	}
}

// A second loss soon after a kill: the chain goes on where the first one's port refused, and stops where it was silent, as no
// majority of four is left. The second is the plant for the first.
func TestSecondLossSoonAfterAKill(t *testing.T) {
	const apartUs = 350 * clock.Ms
	for _, refuses := range []bool{true, false} {
		surviving := 0
		const seeds = 20
		for seed := range int64(seeds) {
			tc, lost := newFourVoterCluster(t, seed)
			tc.refusesConnections = refuses
			tc.stop(lost)
			lost.removed = !refuses
			tc.advance(apartUs)
			lost.removed = true
			next := tc.remainingMembers()[int(seed)%3]
			tc.stop(next)
			next.removed = true
			before := tc.lastAcked
			tc.advance(4 * clock.Sec)
			if tc.lastAcked > before+5 {
				surviving++
			}
		}
		t.Logf("refused %v: %d of %d chains go on", refuses, surviving, seeds)
		if refuses != (surviving == seeds) {
			t.Errorf("refused %v: %d of %d chains go on", refuses, surviving, seeds)
		}
	}
}
