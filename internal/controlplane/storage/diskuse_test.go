package storage

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/process/clock"
)

// used is what a member's disk, log and state take.
type used struct{ disk, log, state int64 }

func (m *member) used() (u used) {
	for _, f := range m.disk.names {
		u.disk += int64(len(f.data))
	}
	return used{u.disk, m.store.LogBytes(), int64(len(m.node.State().Encode()))}
}

// What a member has on its disk, and its state, stay bounded however many changes pass.
func TestDiskUsageOverManyChanges(t *testing.T) {
	if raced {
		t.Skip("too slow under the race detector, and all of it is one goroutine")
	}
	const changes, steps = 20_000, 10
	c := newCluster(t, 10, replaceAndEdit(10))
	c.gapUs = 2 * clock.Ms
	late := used{}
	for step := range steps {
		c.acknowledge(changes / steps)
		u := c.place(1).used()
		t.Logf("after %d changes: %d KB on the disk, %d KB of them log, a state of %d KB; %.1f MB at most so far", c.changes-1, u.disk>>10, u.log>>10, u.state>>10, float64(c.mostDisk)/(1<<20))
		if step == steps/2 {
			late = u
		}
	}
	if c.wrong != "" {
		t.Fatal(c.wrong)
	}
	if c.mostDisk > diskHalf/4 {
		t.Errorf("%d bytes on a disk", c.mostDisk)
	}
	if u := c.place(1).used(); u.state > late.state*11/10 {
		t.Errorf("a state of %d bytes, %d in the middle of the day", u.state, late.state)
	}
	unbound := newBoundedCluster(t, 10, replaceAndEdit(10), 1<<40, 1<<30)
	unbound.gapUs = 2 * clock.Ms
	unbound.acknowledge(changes * 4 / 5)
	if unbound.mostDisk <= diskHalf/4 {
		t.Errorf("without a bound only %d bytes: the check proves nothing", unbound.mostDisk)
	}
	t.Logf("without a bound %.1f MB", float64(unbound.mostDisk)/(1<<20))
}

// A disk is full for twenty seconds, from any moment on, while snapshots are taken again and again: the member goes
// on, the others acknowledge without it, its disk does not grow, and it is caught up soon after room is there.
func TestDiskFullForLong(t *testing.T) {
	const logMost = 64 << 10
	seeds := int64(6)
	if raced {
		seeds = 1
	}
	places := 3
	if raced {
		places = 1
	}
	for place := range places {
		t.Run(fmt.Sprint("place ", place), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				if why := fullForLong(newBoundedCluster(t, 3, replaceAndEdit(3), logMost, 0), place, rand.New(rand.NewSource(seed)), seed%2 == 1); why != "" {
					t.Fatalf("seed %d: %s", seed, why)
				}
			}
		})
	}
}

func fullForLong(c *cluster, place int, r *rand.Rand, restarted bool) string {
	c.acknowledge(100 + r.Intn(200))
	c.pass(r.Int63n(100*clock.Ms), nil)
	m := c.place(place)
	before := c.changes
	m.disk.fullFrom, m.disk.fullSpan = m.disk.changes+1, 1<<30
	c.pass(5*clock.Sec, nil)
	if restarted {
		m.stop()
		c.pass(clock.Sec, nil)
		m.start(false)
	}
	c.pass(15*clock.Sec, nil)
	if m.node.IsDurable(c.newest) {
		c.fail("it counts %d as kept with a full disk", c.newest)
	}
	if c.changes < before+300 {
		c.fail("only %d changes in 20 s", c.changes-before)
	}
	m.disk.fullSpan = 0
	if !c.pass(caughtUpWithin, m.caughtUp) {
		c.fail("not caught up %d ms after room is there: %s, %s", caughtUpWithin/clock.Ms, m.node.Phase(), m.node.WaitReason())
	}
	c.acknowledge(5)
	if c.mostDisk > 2<<20 {
		c.fail("%d bytes on a disk", c.mostDisk)
	}
	return c.wrong
}
