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
		watchers := WatchersOf(ring, n.ID)
		if len(watchers) != WatchersPerNode || watchers[0].ID == n.ID || watchers[1].ID == n.ID || watchers[0] == watchers[1] {
			t.Fatalf("%s is watched by %v", n.ID, watchers)
		}
		for _, w := range watchers {
			loads[w.ID]++
		}
		if n.ID != "n3" {
			moved += len(Departed(watchers, WatchersOf(append(append([]Node{}, ring[:3]...), ring[4:]...), n.ID)))
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
	m := NewMonitor()
	m.Receive(clock.Sec, Heartbeat{ID: "a"})
	if got := m.Suspects(60 * clock.Sec); len(got) != 0 {
		t.Fatalf("just woken, it accuses %v", got)
	}
	for nowUs := 60 * clock.Sec; nowUs < 62*clock.Sec; nowUs += HeartbeatIntervalUs {
		m.Suspects(nowUs)
	}
	if diff := cmp.Diff([]string{"a"}, m.Suspects(62*clock.Sec)); diff != "" {
		t.Fatal(diff)
	}
	m.Receive(62*clock.Sec, Heartbeat{ID: "a", Final: true})
	if got := m.Suspects(62*clock.Sec + 1); len(got) != 0 {
		t.Fatal("it accuses one that took its leave")
	}
}

func TestQuorumNeedsMoreThanOneWatcher(t *testing.T) {
	q := NewSuspicionQuorum()
	q.Report(1, SuspicionReport{Reporter: "x", Suspects: []string{"a"}})
	if q.Suspected(2, "a") {
		t.Fatal("one vote")
	}
	q.Report(2, SuspicionReport{Reporter: "y", Suspects: []string{"a"}})
	if !q.Suspected(3, "a") || q.Suspected(3, "b") || q.Suspected(3+SuspectAfterUs, "a") {
		t.Fatal("two fresh votes convict, stale ones do not")
	}
}
