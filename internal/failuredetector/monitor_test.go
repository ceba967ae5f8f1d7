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
			t.Fatalf("watchers of %s: got %v, want two distinct other nodes", n.ID, watchers)
		}
		for _, w := range watchers {
			loads[w.ID]++
		}
		if n.ID != "n3" {
			moved += len(Departed(watchers, WatchersOf(append(append([]Node{}, ring[:3]...), ring[4:]...), n.ID)))
		}
	}
	if moved > 2*WatchersPerNode {
		t.Fatalf("%d watchers were reassigned after one node left, want at most %d", moved, 2*WatchersPerNode)
	}
	for id, n := range loads {
		if n > WatchersPerNode {
			t.Fatalf("%s watches %d nodes, want at most %d", id, n, WatchersPerNode)
		}
	}
}

func TestMonitorSuspectsNoNodeAfterOwnPause(t *testing.T) {
	m := NewMonitor()
	m.Receive(clock.Sec, Heartbeat{ID: "a"})
	if got := m.Suspects(60 * clock.Sec); len(got) != 0 {
		t.Fatalf("suspects right after the pause: got %v, want none", got)
	}
	for nowUs := 60 * clock.Sec; nowUs < 62*clock.Sec; nowUs += HeartbeatIntervalUs {
		m.Suspects(nowUs)
	}
	if diff := cmp.Diff([]string{"a"}, m.Suspects(62*clock.Sec)); diff != "" {
		t.Fatalf("suspects after two seconds without heartbeats (-want +got):\n%s", diff)
	}
	m.Receive(62*clock.Sec, Heartbeat{ID: "a", Final: true})
	if got := m.Suspects(62*clock.Sec + 1); len(got) != 0 {
		t.Fatalf("suspects after the final heartbeat: got %v, want none", got)
	}
}

func TestQuorumNeedsMoreThanOneWatcher(t *testing.T) {
	q := NewSuspicionQuorum()
	q.Report(1, SuspicionReport{Reporter: "x", Suspects: []string{"a"}})
	if q.Suspected(2, "a") {
		t.Fatal("node a is suspected after the report of one watcher")
	}
	q.Report(2, SuspicionReport{Reporter: "y", Suspects: []string{"a"}})
	if !q.Suspected(3, "a") || q.Suspected(3, "b") || q.Suspected(3+SuspectAfterUs, "a") {
		t.Fatal("want only node a suspected, after two current reports, and not after they expired")
	}
}
