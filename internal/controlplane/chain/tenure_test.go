package chain

import (
	"fmt"
	"maps"
)

// tailTenures checks what package quota keeps its counts by: a process that is open again as the tail of the same view, or of the
// next one, knows that nobody else was open in between. The zero value is ready to use.
type tailTenures struct {
	// last is when each process was last open, by its incarnation; count is the tenures so far, each of one process.
	last  map[string]tailTenure
	count int
}

type tailTenure struct {
	view   uint64
	number int
}

// check takes a process that is open now; it says what is wrong.
func (t *tailTenures) check(n *Node) (violation string) {
	before, seen := t.last[n.Incarnation()]
	if !seen || before.number != t.count {
		t.count++
		if seen && n.View().Number <= before.view+1 {
			violation = fmt.Sprintf("%s was open in view %d and is in view %d; another was in between", n.Incarnation(), before.view, n.View().Number)
		}
	}
	if t.last == nil {
		t.last = map[string]tailTenure{}
	}
	t.last[n.Incarnation()] = tailTenure{n.View().Number, t.count}
	return violation
}

func (t *tailTenures) clone() tailTenures { return tailTenures{maps.Clone(t.last), t.count} }
