package controlnode

import (
	"testing"

	"petreltide/internal/process/clock"
)

// followableAddrs returns the addresses of the control nodes that control node i lists for gateways.
func (tc *threeNodeCluster) followableAddrs(i int) map[string]bool {
	listed := map[string]bool{}
	for _, m := range tc.cores[i].listFollowableMembers(tc.nowUs) {
		listed[m.Addr] = true
	}
	return listed
}

// A gateway that knows only a partitioned control node learns of the others from it. The others do not list a control node whose
// heartbeats they do not receive.
func TestPartitionedControlNodeListsAllMembersOfItsView(t *testing.T) {
	for isolated := range 3 {
		for _, cut := range [][2]bool{{true, true}, {true, false}, {false, true}} {
			tc := newThreeNodeCluster(t)
			tc.cutLinksOf(isolated, cut[0], cut[1])
			tc.advance(3 * clock.Sec)
			if listed := tc.followableAddrs(isolated); len(listed) != 3 {
				t.Errorf("control node %d with outgoing and incoming links cut %v: lists %v, want all 3", isolated, cut, listed)
			}
			other := (isolated + 1) % 3
			if listed := tc.followableAddrs(other); cut[0] && listed[tc.cores[isolated].Node.Self().Addr] {
				t.Errorf("control node %d lists control node %d although it receives no heartbeats from there", other, isolated)
			}
		}
	}
}
