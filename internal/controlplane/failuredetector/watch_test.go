package failuredetector

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/process/clock"
)

func TestTheRingNamesTwoOthersAndMovesLittle(t *testing.T) {
	ring := []Node{}
	for i := 0; i < 11; i++ {
		ring = append(ring, Node{ID: fmt.Sprintf("n%d", i)})
	}
	loads, moved := map[string]int{}, 0
	for _, n := range ring {
		named := Named(ring, n.ID)
		if len(named) != Watchers || named[0].ID == n.ID || named[1].ID == n.ID || named[0] == named[1] {
			t.Fatalf("%s is watched by %v", n.ID, named)
		}
		for _, w := range named {
			loads[w.ID]++
		}
		if n.ID != "n3" {
			moved += len(Left(named, Named(append(append([]Node{}, ring[:3]...), ring[4:]...), n.ID)))
		}
	}
	if moved > 2*Watchers {
		t.Fatalf("%d watchers moved as one node left", moved)
	}
	for id, n := range loads {
		if n > Watchers {
			t.Fatalf("%s watches %d", id, n)
		}
	}
}

func TestAFrozenWatcherAccusesNobody(t *testing.T) {
	w := New()
	w.Heard(clock.Sec, Beat{ID: "a"})
	if got := w.Silent(60 * clock.Sec); len(got) != 0 {
		t.Fatalf("just woken, it accuses %v", got)
	}
	for nowUs := 60 * clock.Sec; nowUs < 62*clock.Sec; nowUs += BeatUs {
		w.Silent(nowUs)
	}
	if diff := cmp.Diff([]string{"a"}, w.Silent(62*clock.Sec)); diff != "" {
		t.Fatal(diff)
	}
	w.Heard(62*clock.Sec, Beat{ID: "a", Last: true})
	if got := w.Silent(62*clock.Sec + 1); len(got) != 0 {
		t.Fatal("it accuses one that took its leave")
	}
}

func TestOneWatcherAloneConvictsNobody(t *testing.T) {
	j := NewJury()
	j.Say(1, Silence{By: "x", Silent: []string{"a"}})
	if j.Gone(2, "a") {
		t.Fatal("one vote")
	}
	j.Say(2, Silence{By: "y", Silent: []string{"a"}})
	if !j.Gone(3, "a") || j.Gone(3, "b") || j.Gone(3+SilentUs, "a") {
		t.Fatal("two fresh votes convict, stale ones do not")
	}
}
