package chain

import (
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// newBootstrappingCluster returns a cluster whose control nodes have just started for the first time.
func newBootstrappingCluster(t *testing.T, seed int64, controlNodes int) *testCluster {
	tc := newTestCluster(t, seed, controlNodes, 3)
	tc.minReplicas, tc.fleetTimings = controlNodes/2+1, true
	for _, s := range tc.members {
		tc.start(s, true)
	}
	return tc
}

// TestKilledFoundersStillBootstrap kills one, two or three founders at each moment of the bootstrap after their first record was
// synced. The disks are kept, and the restarted processes are not configured with a first start.
func TestKilledFoundersStillBootstrap(t *testing.T) {
	for seed := range int64(360) {
		tc := newBootstrappingCluster(t, seed, 3+2*int(seed%2))
		killed := tc.members[:1+seed%3]
		hasNoRecord := func(s *testMember) bool { return len(s.disk) == 0 }
		for endUs := tc.nowUs + clock.Sec; slices.ContainsFunc(killed, hasNoRecord) && tc.nowUs < endUs; {
			tc.advance(clock.Ms)
		}
		tc.advance(seed / 3 * 3 * clock.Ms)
		for _, s := range killed {
			tc.stop(s)
		}
		tc.advance(seed % 7 * 80 * clock.Ms)
		for _, s := range killed {
			tc.start(s, false)
		}
		tc.requireSettled(30*clock.Sec, fmt.Sprint("bootstrap, seed ", seed))
	}
}

// TestNewHeadAppendsFirstEntryAfterFounderIsLost bootstraps a chain of five with three founders, where an acknowledgement needs
// three replicas, and removes the head permanently before its first write. The new head has to append a first entry, because
// joining members need one to get a snapshot of.
func TestNewHeadAppendsFirstEntryAfterFounderIsLost(t *testing.T) {
	for seed := range int64(40) {
		tc := newBootstrappingCluster(t, seed, 5)
		for endUs := tc.nowUs + 10*clock.Sec; len(tc.views) == 0 && tc.nowUs < endUs; {
			tc.advance(clock.Ms)
		}
		tc.advance(seed % 20 * clock.Ms)
		tc.replace(tc.members[0])
		tc.requireSettled(30*clock.Sec, fmt.Sprint("bootstrap, seed ", seed))
	}
}

// TestAcceptedFirstViewSurvivesLaterPromise checks that a founder restores the proposal that it accepted, if it promised a higher
// ballot before its restart.
func TestAcceptedFirstViewSurvivesLaterPromise(t *testing.T) {
	a, b := Member{ID: "a", Addr: "a"}, Member{ID: "b", Addr: "b"}
	before := View{Voters: []Member{a, b}}
	next := View{Number: 1, Voters: before.Voters, Replicas: []Replica{{Member: a}, {Member: b}}}
	low, high := Ballot{Round: 1, Proposer: "a"}, Ballot{Round: 2, Proposer: "b"}
	node, err := NewNode(Options{Self: a}, []Record{
		{View: &before}, {PromisedBallot: &low}, {AcceptedProposal: &AcceptedProposal{Ballot: low, View: next}}, {View: &before}, {PromisedBallot: &high},
	}, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	if node.acceptedProposal == nil || node.acceptedProposal.Ballot != low || node.promisedBallot != high {
		t.Errorf("got accepted proposal %v and promised ballot %v, want ballots %v and %v", node.acceptedProposal, node.promisedBallot, low, high)
	}
}
