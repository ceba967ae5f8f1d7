package controlclient

import (
	"fmt"
	"math/rand"
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
	if d.m.Live() != streamCount || d.snap == nil || d.snap.Revision != 1 {
		t.Fatalf("%d streams, %+v", d.m.Live(), d.snap)
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
