package storage

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/process/clock"
)

// used is what a member's disk, log and state take.
type diskUsage struct{ disk, log, state int64 }

func (m *member) usage() (u diskUsage) {
	for _, f := range m.disk.names {
		u.disk += int64(len(f.data))
	}
	return diskUsage{u.disk, m.store.LogBytes(), int64(len(m.node.State().Encode()))}
}

// What a member has on its disk, and its state, stay bounded however many changes pass.
func TestDiskUsageOverManyChanges(t *testing.T) {
	if raceEnabled {
		t.Skip("too slow under the race detector, and all of it is one goroutine")
	}
	const changes, steps = 20_000, 10
	c := newCluster(t, 10, replaceAndEdit(10))
	c.changeIntervalUs = 2 * clock.Ms
	midway := diskUsage{}
	for step := range steps {
		c.awaitChanges(changes / steps)
		u := c.memberAt(1).usage()
		t.Logf("after %d changes: %d KB on the disk, %d KB of them log, a state of %d KB; %.1f MB at most so far", c.changes-1, u.disk>>10, u.log>>10, u.state>>10, float64(c.maxDiskBytes)/(1<<20))
		if step == steps/2 {
			midway = u
		}
	}
	if c.violation != "" {
		t.Fatal(c.violation)
	}
	if c.maxDiskBytes > halfDiskBytes/4 {
		t.Errorf("%d bytes on a disk", c.maxDiskBytes)
	}
	if u := c.memberAt(1).usage(); u.state > midway.state*11/10 {
		t.Errorf("a state of %d bytes, %d in the middle of the day", u.state, midway.state)
	}
	unbounded := newBoundedCluster(t, 10, replaceAndEdit(10), 1<<40, 1<<30)
	unbounded.changeIntervalUs = 2 * clock.Ms
	unbounded.awaitChanges(changes * 4 / 5)
	if unbounded.maxDiskBytes <= halfDiskBytes/4 {
		t.Errorf("without a bound only %d bytes: the check proves nothing", unbounded.maxDiskBytes)
	}
	t.Logf("without a bound %.1f MB", float64(unbounded.maxDiskBytes)/(1<<20))
}

// A disk is full for twenty seconds, from any moment on, while snapshots are taken again and again: the member goes
// on, the others acknowledge without it, its disk does not grow, and it is caught up soon after room is there.
func TestDiskFullForLong(t *testing.T) {
	const maxLogBytes = 64 << 10
	seeds := int64(6)
	if raceEnabled {
		seeds = 1
	}
	places := 3
	if raceEnabled {
		places = 1
	}
	for place := range places {
		t.Run(fmt.Sprint("place ", place), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				if violation := runFullDisk(newBoundedCluster(t, 3, replaceAndEdit(3), maxLogBytes, 0), place, rand.New(rand.NewSource(seed)), seed%2 == 1); violation != "" {
					t.Fatalf("seed %d: %s", seed, violation)
				}
			}
		})
	}
}

func runFullDisk(c *cluster, place int, r *rand.Rand, restarted bool) string {
	c.awaitChanges(100 + r.Intn(200))
	c.advance(r.Int63n(100*clock.Ms), nil)
	m := c.memberAt(place)
	before := c.changes
	m.disk.fullFrom, m.disk.fullSpan = m.disk.changes+1, 1<<30
	c.advance(5*clock.Sec, nil)
	if restarted {
		m.stop()
		c.advance(clock.Sec, nil)
		m.start(false)
	}
	c.advance(15*clock.Sec, nil)
	if m.node.IsDurable(c.acknowledgedIndex) {
		c.fail("it counts %d as kept with a full disk", c.acknowledgedIndex)
	}
	if c.changes < before+300 {
		c.fail("only %d changes in 20 s", c.changes-before)
	}
	m.disk.fullSpan = 0
	if !c.advance(maxCatchUpUs, m.caughtUp) {
		c.fail("not caught up %d ms after room is there: %s, %s", maxCatchUpUs/clock.Ms, m.node.Phase(), m.node.WaitReason())
	}
	c.awaitChanges(5)
	if c.maxDiskBytes > 2<<20 {
		c.fail("%d bytes on a disk", c.maxDiskBytes)
	}
	return c.violation
}
