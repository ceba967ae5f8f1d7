package chain

import (
	"fmt"
	"maps"
)

// tailTenures checks that a process's time as the ready tail is not interrupted: if it is ready (IsTailReady) twice in one view, or
// in two consecutive views, no other process was ready in between. Package quota relies on this when it counts granted tokens. The
// zero value is ready to use.
type tailTenures struct {
	// last is the last tenure of each process, by its incarnation; count is the number of tenures so far. A tenure is an
	// uninterrupted period in which one process alone is ready.
	last  map[string]tailTenure
	count int
}

type tailTenure struct {
	view   uint64
	number int
}

// check records a process that is ready as the tail now, and returns the violation of the invariant, or "".
func (t *tailTenures) check(n *Node) (violation string) {
	before, seen := t.last[n.Incarnation()]
	if !seen || before.number != t.count {
		t.count++
		if seen && n.View().Number <= before.view+1 {
			violation = fmt.Sprintf("%s was ready as the tail in view %d and is in view %d, but another process was in between", n.Incarnation(), before.view, n.View().Number)
		}
	}
	if t.last == nil {
		t.last = map[string]tailTenure{}
	}
	t.last[n.Incarnation()] = tailTenure{n.View().Number, t.count}
	return violation
}

func (t *tailTenures) clone() tailTenures { return tailTenures{maps.Clone(t.last), t.count} }
