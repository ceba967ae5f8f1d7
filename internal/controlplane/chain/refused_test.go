package chain

import (
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// newFourVoterCluster returns a chain of three with a fourth control node added, as before a planned replacement. The member to
// lose is the head or its successor.
func newFourVoterCluster(t *testing.T, seed int64) (tc *testCluster, lost *testMember) {
	t.Helper()
	tc = newFleetTimedCluster(t, seed, 3)
	tc.start(tc.addEmptyMember(), false)
	tc.advance(tc.catchUpUs())
	view := tc.remainingMembers()[0].node.View()
	if len(view.Voters) != 4 || len(view.Replicas) != 4 {
		t.Fatalf("seed %d: got %d voters and %d replicas, want 4 of each", seed, len(view.Voters), len(view.Replicas))
	}
	return tc, tc.memberAt(view.Replicas[seed%2].Addr)
}

// allSeeThreeVoters reports whether all running members have a view with three voters.
func allSeeThreeVoters(tc *testCluster) bool {
	return !slices.ContainsFunc(tc.remainingMembers(), func(m *testMember) bool { return m.node != nil && len(m.node.View().Voters) != 3 })
}

// Connections to a killed process are refused, unlike those to a lost machine or over a cut link. Its vote is removed within a few
// hundred milliseconds, which shortens the time in which a further loss would stop the chain.
func TestRefusedConnectionRemovesExtraVoterSooner(t *testing.T) {
	for _, c := range []struct {
		what    string
		refuses bool
		mostUs  int64
		leastUs int64
	}{
		{"killed process, connections refused", true, 300 * clock.Ms, 0},
		{"lost machine", false, 1100 * clock.Ms, 700 * clock.Ms},
	} {
		durationsUs := []int64{}
		for seed := range int64(20) {
			tc, lost := newFourVoterCluster(t, seed)
			tc.refusesConnections = c.refuses
			sinceUs := tc.nowUs
			tc.stop(lost)
			lost.removed = !c.refuses
			for !allSeeThreeVoters(tc) && tc.nowUs-sinceUs < 5*clock.Sec {
				tc.advance(stepUs)
			}
			durationsUs = append(durationsUs, tc.nowUs-sinceUs)
		}
		slices.Sort(durationsUs)
		median, most := durationsUs[len(durationsUs)/2], durationsUs[len(durationsUs)-1]
		t.Logf("%s: three voters after %d ms (median), %d ms at most", c.what, median/clock.Ms, most/clock.Ms)
		if most > c.mostUs || median < c.leastUs {
			t.Errorf("%s: got three voters after %d ms (median), %d ms at most, want a median of at least %d ms and %d ms at most", c.what, median/clock.Ms, most/clock.Ms, c.leastUs/clock.Ms, c.mostUs/clock.Ms)
		}
	}
}

// A second member is lost soon after the first. The chain continues if connections to the first were refused. It stops if the first
// was silent, as no majority of four voters is left; that case shows that the test can fail.
func TestChainSurvivesSecondLossAfterRefusedConnection(t *testing.T) {
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
		t.Logf("connections refused %v: %d of %d chains continue", refuses, surviving, seeds)
		if refuses != (surviving == seeds) {
			t.Errorf("connections refused %v: got %d of %d chains that continue, want all if and only if connections are refused", refuses, surviving, seeds)
		}
	}
}
