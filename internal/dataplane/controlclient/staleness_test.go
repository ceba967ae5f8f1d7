package controlclient

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// staleScenario has five control nodes with one declaration in force, and a gateway that follows two of them.
type staleScenario struct {
	*testGateway
	nowUs   int64
	nodes   []*testControlNode
	changes *changeLog
	r       *rand.Rand
}

func newStaleScenario(t *testing.T, seed int64) *staleScenario {
	t.Helper()
	d := &staleScenario{r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec}
	d.changes = &changeLog{r: d.r, state: statemachine.NewState()}
	for i := range 5 {
		c := newTestControlNode(fmt.Sprint("o", i))
		c.registry.HandleHeartbeat(d.nowUs, wire.ReplicaStatus{ID: "r", Service: "s", Addr: "r", Seq: 1})
		d.nodes = append(d.nodes, c)
	}
	d.testGateway = newTestGateway(t, "d", d.nodes...)
	d.changes.appendConfig()
	d.applyTo(func(*testControlNode) bool { return true })
	d.advance(3 * clock.Sec)
	if d.informer.LiveStreamCount() != streamCount || d.snapshot == nil || d.snapshot.Revision != 1 {
		t.Fatalf("start: got %d live streams and snapshot %+v, want %d and revision 1", d.informer.LiveStreamCount(), d.snapshot, streamCount)
	}
	return d
}

func (d *staleScenario) applyTo(which func(*testControlNode) bool) {
	for _, c := range d.nodes {
		if which(c) {
			c.apply(d.changes.changes, len(d.changes.changes))
		}
	}
}

func (d *staleScenario) advance(us int64) {
	for endUs := d.nowUs + us; d.nowUs < endUs; d.nowUs += 50 * clock.Ms {
		d.deliverFrames(d.nowUs, d.r, 0)
	}
}

// followsOnlyStale reports whether every followed control node has reported that it may be stale.
func (d *staleScenario) followsOnlyStale() bool {
	for _, s := range d.informer.sources {
		if s.staleSinceUs == 0 {
			return false
		}
	}
	return true
}

func (d *staleScenario) followedNodes() map[*testControlNode]bool {
	out := map[*testControlNode]bool{}
	for _, c := range d.streams {
		out[c] = true
	}
	return out
}

// A gateway whose two control nodes are both partitioned follows another one and has the declaration in force within two seconds.
func TestGatewayReplacesStaleControlNodes(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		d := newStaleScenario(t, seed)
		staleNodes := d.followedNodes()
		for c := range staleNodes {
			c.stale = true
		}
		d.changes.appendConfig()
		d.applyTo(func(c *testControlNode) bool { return !staleNodes[c] })
		d.advance(2 * clock.Sec)
		if d.snapshot.Revision != 2 {
			t.Fatalf("seed %d: revision two seconds later: got %d, want 2", seed, d.snapshot.Revision)
		}
		d.advance(20 * clock.Sec)
		for c := range d.followedNodes() {
			if c.stale {
				t.Errorf("seed %d: control node %s is followed although it is stale", seed, c.addr)
			}
		}
		if n := len(d.streams); n != streamCount {
			t.Errorf("seed %d: open streams: got %d, want %d", seed, n, streamCount)
		}
	}
}

// As soon as no followed control node reports itself as current, a gateway tries the others one after another, so it has the
// declaration in force as soon as it can have reached the first one that answers, however many of them are gone.
func TestGatewayTriesOtherControlNodesAtOnceWhenAllFollowedAreStale(t *testing.T) {
	// Two of the gateway's seeds are control nodes that no longer exist.
	const staleSeeds, answerUs = 2, 100 * clock.Ms
	for gone := range 3 {
		took := []int64{}
		for seed := int64(1); seed <= 20; seed++ {
			d := newStaleScenario(t, seed)
			d.advance(10 * clock.Sec)
			staleNodes, left := d.followedNodes(), gone
			for _, c := range d.nodes {
				if staleNodes[c] {
					c.stale = true
				} else if left > 0 {
					d.down[c.addr] = true
					left--
				}
			}
			d.changes.appendConfig()
			d.applyTo(func(c *testControlNode) bool { return !staleNodes[c] })
			for !d.followsOnlyStale() {
				d.advance(50 * clock.Ms)
			}
			sinceUs := d.nowUs
			for d.snapshot.Revision != 2 && d.nowUs-sinceUs < 10*clock.Sec {
				d.advance(50 * clock.Ms)
			}
			took = append(took, d.nowUs-sinceUs)
		}
		slices.Sort(took)
		median, most := took[len(took)/2], took[len(took)-1]
		t.Logf("%d of 3 other control nodes are gone: time to the declaration in force: median %d ms, maximum %d ms", gone, median/clock.Ms, most/clock.Ms)
		if allowedUs := int64(gone+staleSeeds)*openIntervalUs + answerUs; most > allowedUs {
			t.Errorf("%d of 3 other control nodes are gone: time to the declaration in force: got %d ms, want at most %d ms", gone, most/clock.Ms, allowedUs/clock.Ms)
		}
	}
}

// While all control nodes are stale, a gateway always follows at least two of them, and exactly two once they are current again.
func TestGatewayKeepsStreamsWhileAllControlNodesAreStale(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		d := newStaleScenario(t, seed)
		for i, c := range d.nodes {
			c.stale = true
			d.down[c.addr] = i > 2 && !d.followedNodes()[c]
		}
		for range 200 {
			d.advance(50 * clock.Ms)
			if n := len(d.streams); n < streamCount || n > streamCount+1 {
				t.Fatalf("seed %d: open streams while all are stale: got %d, want %d or %d", seed, n, streamCount, streamCount+1)
			}
			if d.snapshot.Replicas["r"] == nil {
				t.Fatalf("seed %d: replica r is missing from the snapshot", seed)
			}
		}
		opened := d.openedCount
		d.advance(10 * clock.Sec)
		if n := d.openedCount - opened; n > 40 {
			t.Errorf("seed %d: streams opened in ten seconds: got %d, want at most 40", seed, n)
		}
		for _, c := range d.nodes {
			c.stale = false
		}
		d.advance(5 * clock.Sec)
		if n := len(d.streams); n != streamCount {
			t.Errorf("seed %d: open streams: got %d, want %d", seed, n, streamCount)
		}
	}
}
