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

// behindDay is five control nodes with one declaration in force, and a gateway that follows two of them.
type behindDay struct {
	*screen
	nowUs int64
	all   []*core
	log   *chronicle
	r     *rand.Rand
}

func newBehindDay(t *testing.T, seed int64) *behindDay {
	t.Helper()
	d := &behindDay{r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec}
	d.log = &chronicle{r: d.r, head: statemachine.NewState()}
	for i := range 5 {
		c := newCore(fmt.Sprint("o", i))
		c.roster.HandleHeartbeat(d.nowUs, wire.ReplicaStatus{ID: "r", Service: "s", Addr: "r", Seq: 1})
		d.all = append(d.all, c)
	}
	d.screen = newScreen(t, "d", d.all...)
	d.log.config()
	d.apply(func(*core) bool { return true })
	d.pass(3 * clock.Sec)
	if d.m.LiveStreamCount() != streamCount || d.snap == nil || d.snap.Revision != 1 {
		t.Fatalf("%d streams, %+v", d.m.LiveStreamCount(), d.snap)
	}
	return d
}

func (d *behindDay) apply(which func(*core) bool) {
	for _, c := range d.all {
		if which(c) {
			c.apply(d.log.log, len(d.log.log))
		}
	}
}

func (d *behindDay) pass(us int64) {
	for endUs := d.nowUs + us; d.nowUs < endUs; d.nowUs += 50 * clock.Ms {
		d.carry(d.nowUs, d.r, 0)
	}
}

// hearsBehind: every control node that is followed has said that it is behind.
func (d *behindDay) hearsBehind() bool {
	for _, s := range d.m.sources {
		if s.staleSinceUs == 0 {
			return false
		}
	}
	return true
}

func (d *behindDay) followed() map[*core]bool {
	out := map[*core]bool{}
	for _, c := range d.streams {
		out[c] = true
	}
	return out
}

// A gateway whose two control nodes are both cut off follows another within two seconds, and has what is in force.
func TestAGatewayLeavesControlNodesThatAreBehind(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		d := newBehindDay(t, seed)
		struck := d.followed()
		for c := range struck {
			c.behind = true
		}
		d.log.config()
		d.apply(func(c *core) bool { return !struck[c] })
		d.pass(2 * clock.Sec)
		if d.snap.Revision != 2 {
			t.Fatalf("seed %d: revision %d is known two seconds later", seed, d.snap.Revision)
		}
		d.pass(20 * clock.Sec)
		for c := range d.followed() {
			if c.behind {
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
			d := newBehindDay(t, seed)
			d.pass(10 * clock.Sec)
			struck, left := d.followed(), gone
			for _, c := range d.all {
				if struck[c] {
					c.behind = true
				} else if left > 0 {
					d.down[c.addr] = true
					left--
				}
			}
			d.log.config()
			d.apply(func(c *core) bool { return !struck[c] })
			for !d.hearsBehind() {
				d.pass(50 * clock.Ms)
			}
			sinceUs := d.nowUs
			for d.snap.Revision != 2 && d.nowUs-sinceUs < 10*clock.Sec {
				d.pass(50 * clock.Ms)
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
		d := newBehindDay(t, seed)
		for i, c := range d.all {
			c.behind = true
			d.down[c.addr] = i > 2 && !d.followed()[c]
		}
		for range 200 {
			d.pass(50 * clock.Ms)
			if n := len(d.streams); n < streamCount || n > streamCount+1 {
				t.Fatalf("seed %d: %d streams", seed, n)
			}
			if d.snap.Replicas["r"] == nil {
				t.Fatalf("seed %d: the replica is lost", seed)
			}
		}
		opened := d.opened
		d.pass(10 * clock.Sec)
		if n := d.opened - opened; n > 40 {
			t.Errorf("seed %d: %d streams were opened in ten seconds", seed, n)
		}
		for _, c := range d.all {
			c.behind = false
		}
		d.pass(5 * clock.Sec)
		if n := len(d.streams); n != streamCount {
			t.Errorf("seed %d: %d streams", seed, n)
		}
	}
}
