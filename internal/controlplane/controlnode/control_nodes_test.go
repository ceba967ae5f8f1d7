package controlnode

import (
	"testing"

	"petreltide/internal/process/clock"
)

func (tr *trio) namedBy(i int) map[string]bool {
	named := map[string]bool{}
	for _, m := range tr.cores[i].reachableMembers(tr.nowUs) {
		named[m.Addr] = true
	}
	return named
}

// A gateway that knows only a control node that is cut off learns of the others from it; the others name nobody whom they do
// not hear.
func TestAControlNodeThatIsCutOffNamesTheOthers(t *testing.T) {
	for struck := range 3 {
		for _, way := range [][2]bool{{true, true}, {true, false}, {false, true}} {
			tr := newTrio(t)
			tr.cutOff(struck, way[0], way[1])
			tr.pass(3 * clock.Sec)
			if named := tr.namedBy(struck); len(named) != 3 {
				t.Errorf("control node %d, cut off %v, names %v", struck, way, named)
			}
			other := (struck + 1) % 3
			if named := tr.namedBy(other); way[0] && named[tr.cores[struck].Node.Self().Addr] {
				t.Errorf("control node %d, which does not hear control node %d, names it", other, struck)
			}
		}
	}
}
