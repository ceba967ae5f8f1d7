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

// staleScenario is five control nodes with one declaration in force, and a gateway that follows two of them.
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
		t.Fatalf("%d streams, %+v", d.informer.LiveStreamCount(), d.snapshot)
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

// followsOnlyStale: every control node that is followed has said that it is behind.
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

// A gateway whose two control nodes are both cut off follows another within two seconds, and has what is in force.
func TestAGatewayLeavesControlNodesThatAreBehind(t *testing.T) {
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
			t.Fatalf("seed %d: revision %d is known two seconds later", seed, d.snapshot.Revision)
		}
		d.advance(20 * clock.Sec)
		for c := range d.followedNodes() {
			if c.stale {
				t.Errorf("seed %d: %s is followed, which is behind", seed, c.addr)
			}
		}
		if n := len(d.streams); n != streamCount {
			t.Errorf("seed %d: %d streams", seed, n)
		}
	}
}

// From the moment on at which nobody who is followed says that he is current, a gateway tries the others one after the other: it is
// right as soon as the first that answers can have been asked, however many of them are gone.
func TestAGatewayLooksFurtherAtOnceWhereAllAreBehind(t *testing.T) {
	// The seeds that the gateway was started with name two control nodes that do not exist any more.
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
		t.Logf("%d of 3 others are gone, until it is right: median %d ms, most %d ms", gone, median/clock.Ms, most/clock.Ms)
		if allowedUs := int64(gone+staleSeeds)*openIntervalUs + answerUs; most > allowedUs {
			t.Errorf("%d of 3 others are gone: %d ms, at most %d", gone, most/clock.Ms, allowedUs/clock.Ms)
		}
	}
}

// Where all control nodes are behind, a gateway keeps two of them at every moment, and is back with two after.
func TestAGatewayStaysWithControlNodesWhereAllAreBehind(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		d := newStaleScenario(t, seed)
		for i, c := range d.nodes {
			c.stale = true
			d.down[c.addr] = i > 2 && !d.followedNodes()[c]
		}
		for range 200 {
			d.advance(50 * clock.Ms)
			if n := len(d.streams); n < streamCount || n > streamCount+1 {
				t.Fatalf("seed %d: %d streams", seed, n)
			}
			if d.snapshot.Replicas["r"] == nil {
				t.Fatalf("seed %d: the replica is lost", seed)
			}
		}
		opened := d.openedCount
		d.advance(10 * clock.Sec)
		if n := d.openedCount - opened; n > 40 {
			t.Errorf("seed %d: %d streams were opened in ten seconds", seed, n)
		}
		for _, c := range d.nodes {
			c.stale = false
		}
		d.advance(5 * clock.Sec)
		if n := len(d.streams); n != streamCount {
			t.Errorf("seed %d: %d streams", seed, n)
		}
	}
}
