package controlnode

import (
	"testing"

	"petreltide/internal/process/clock"
)

func (tr *threeNodeCluster) followableAddrs(i int) map[string]bool {
	listed := map[string]bool{}
	for _, m := range tr.cores[i].listFollowableMembers(tr.nowUs) {
		listed[m.Addr] = true
	}
	return listed
}

// A gateway that knows only a control node that is cut off learns of the others from it; the others name nobody whom they do
// not hear.
func TestPartitionedControlNodeListsAllMembersOfItsView(t *testing.T) {
	for isolated := range 3 {
		for _, cut := range [][2]bool{{true, true}, {true, false}, {false, true}} {
			tr := newThreeNodeCluster(t)
			tr.cutLinksOf(isolated, cut[0], cut[1])
			tr.advance(3 * clock.Sec)
			if listed := tr.followableAddrs(isolated); len(listed) != 3 {
				t.Errorf("control node %d, cut off %v, names %v", isolated, cut, listed)
			}
			other := (isolated + 1) % 3
			if listed := tr.followableAddrs(other); cut[0] && listed[tr.cores[isolated].Node.Self().Addr] {
				t.Errorf("control node %d, which does not hear control node %d, names it", other, isolated)
			}
		}
	}
}
