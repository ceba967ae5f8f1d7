package storage

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/process/clock"
)

// diskUsage is the size of a member's files, of its log and of its encoded state, in bytes.
type diskUsage struct{ disk, log, state int64 }

func (m *member) usage() (u diskUsage) {
	for _, f := range m.disk.names {
		u.disk += int64(len(f.data))
	}
	return diskUsage{u.disk, m.store.LogBytes(), int64(len(m.node.State().Encode()))}
}

// A member's disk usage and state size stay bounded over many changes. Without a bound on the log the same workload must
// exceed the limit.
func TestDiskUsageIsBoundedOverManyChanges(t *testing.T) {
	if raceEnabled {
		t.Skip("too slow under the race detector, and the test uses one goroutine")
	}
	const changes, steps = 20_000, 10
	c := newCluster(t, 10, replaceAndEdit(10))
	c.changeIntervalUs = 2 * clock.Ms
	midway := diskUsage{}
	for step := range steps {
		c.awaitChanges(changes / steps)
		u := c.memberAt(1).usage()
		t.Logf("after %d changes: %d KB on disk, %d KB of them log, a state of %d KB; at most %.1f MB on a disk so far",
			c.changes-1, u.disk>>10, u.log>>10, u.state>>10, float64(c.maxDiskBytes)/(1<<20))
		if step == steps/2 {
			midway = u
		}
	}
	if c.violation != "" {
		t.Fatal(c.violation)
	}
	if c.maxDiskBytes > halfDiskBytes/4 {
		t.Errorf("disk usage: got %d bytes, want at most %d", c.maxDiskBytes, halfDiskBytes/4)
	}
	if u := c.memberAt(1).usage(); u.state > midway.state*11/10 {
		t.Errorf("state size after all changes: got %d bytes, want at most 110%% of the %d bytes midway", u.state, midway.state)
	}
	unbounded := newBoundedCluster(t, 10, replaceAndEdit(10), 1<<40, 1<<30)
	unbounded.changeIntervalUs = 2 * clock.Ms
	unbounded.awaitChanges(changes * 4 / 5)
	if unbounded.maxDiskBytes <= halfDiskBytes/4 {
		t.Errorf("disk usage without a log bound: got %d bytes, want more than %d, as the check can't fail otherwise",
			unbounded.maxDiskBytes, halfDiskBytes/4)
	}
	t.Logf("without a log bound: at most %.1f MB on a disk", float64(unbounded.maxDiskBytes)/(1<<20))
}

// A disk is full for 20 s from a random moment on while snapshots are saved repeatedly. The member keeps running, the others
// acknowledge changes without it, its disk does not grow, and it catches up within maxCatchUpUs once space is free.
func TestMemberRecoversFromFullDisk(t *testing.T) {
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

// runFullDisk fills the disk of one member for 20 s, optionally restarts it meanwhile, and returns the first violation.
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
		c.fail("entry %d is durable at a member whose disk is full", c.acknowledgedIndex)
	}
	if c.changes < before+300 {
		c.fail("changes in 20 s: got %d, want at least 300", c.changes-before)
	}
	m.disk.fullSpan = 0
	if !c.advance(maxCatchUpUs, m.caughtUp) {
		c.fail("member has not caught up %d ms after space was freed: phase %s, waiting for %q",
			maxCatchUpUs/clock.Ms, m.node.Phase(), m.node.WaitReason())
	}
	c.awaitChanges(5)
	if c.maxDiskBytes > 2<<20 {
		c.fail("disk usage: got %d bytes, want at most %d", c.maxDiskBytes, 2<<20)
	}
	return c.violation
}
