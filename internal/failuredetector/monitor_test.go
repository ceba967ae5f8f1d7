package failuredetector

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/process/clock"
)

func TestRingAssignsTwoWatchersAndReassignsFew(t *testing.T) {
	ring := []Node{}
	for i := 0; i < 11; i++ {
		ring = append(ring, Node{ID: fmt.Sprintf("n%d", i)})
	}
	loads, moved := map[string]int{}, 0
	for _, n := range ring {
		named := WatchersOf(ring, n.ID)
		if len(named) != WatchersPerNode || named[0].ID == n.ID || named[1].ID == n.ID || named[0] == named[1] {
			t.Fatalf("%s is watched by %v", n.ID, named)
		}
		for _, w := range named {
			loads[w.ID]++
		}
		if n.ID != "n3" {
			moved += len(Departed(named, WatchersOf(append(append([]Node{}, ring[:3]...), ring[4:]...), n.ID)))
		}
	}
	if moved > 2*WatchersPerNode {
		t.Fatalf("%d watchers moved as one node left", moved)
	}
	for id, n := range loads {
		if n > WatchersPerNode {
			t.Fatalf("%s watches %d", id, n)
		}
	}
}

func TestPausedMonitorSuspectsNobody(t *testing.T) {
	w := NewMonitor()
	w.Receive(clock.Sec, Heartbeat{ID: "a"})
	if got := w.Suspects(60 * clock.Sec); len(got) != 0 {
		t.Fatalf("just woken, it accuses %v", got)
	}
	for nowUs := 60 * clock.Sec; nowUs < 62*clock.Sec; nowUs += HeartbeatIntervalUs {
		w.Suspects(nowUs)
	}
	if diff := cmp.Diff([]string{"a"}, w.Suspects(62*clock.Sec)); diff != "" {
		t.Fatal(diff)
	}
	w.Receive(62*clock.Sec, Heartbeat{ID: "a", Final: true})
	if got := w.Suspects(62*clock.Sec + 1); len(got) != 0 {
		t.Fatal("it accuses one that took its leave")
	}
}

func TestQuorumNeedsMoreThanOneWatcher(t *testing.T) {
	j := NewSuspicionQuorum()
	j.Report(1, SuspicionReport{Reporter: "x", Suspects: []string{"a"}})
	if j.Suspected(2, "a") {
		t.Fatal("one vote")
	}
	j.Report(2, SuspicionReport{Reporter: "y", Suspects: []string{"a"}})
	if !j.Suspected(3, "a") || j.Suspected(3, "b") || j.Suspected(3+SuspectAfterUs, "a") {
		t.Fatal("two fresh votes convict, stale ones do not")
	}
}
