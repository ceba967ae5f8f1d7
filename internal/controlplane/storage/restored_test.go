package storage

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/process/clock"
)

// awaitRecovery waits until every member has caught up, and then for five more changes.
func (c *cluster) awaitRecovery(when string) {
	if !c.advance(20*clock.Sec, func() bool { return c.violation != "" || c.allCaughtUp() }) {
		for _, m := range c.members {
			if m.node == nil || !m.caughtUp() {
				c.fail("%s: %s has not caught up after 20 s", when, m.self.ID)
			}
		}
	}
	c.awaitChanges(5)
}

// losePowerEverywhere interrupts the power of all members while they work, and restarts them. The disk of member number wiped
// is replaced by an empty one; -1 keeps all disks.
func (c *cluster) losePowerEverywhere(r *rand.Rand, wiped int) {
	c.advance(r.Int63n(40*clock.Ms), nil)
	for _, m := range c.members {
		if m.node != nil {
			m.stop()
		}
	}
	c.advance(clock.Sec, nil)
	for i, m := range c.members {
		if i == wiped {
			m.loseDisk()
		} else {
			m.disk = m.disk.randomAfterPowerLoss(r).withAllDurable()
		}
		m.start(false)
	}
}

// recoveryScenarios are ways in which members restart with less data than the others have.
var recoveryScenarios = map[string]func(c *cluster, r *rand.Rand){
	"all lose power": func(c *cluster, r *rand.Rand) {
		for range 3 {
			c.awaitChanges(1 + r.Intn(30))
			c.losePowerEverywhere(r, -1)
			c.awaitRecovery("after the loss of power")
		}
	},
	"all lose power and one loses its disk": func(c *cluster, r *rand.Rand) {
		c.awaitChanges(1 + r.Intn(30))
		c.losePowerEverywhere(r, r.Intn(3))
		c.awaitRecovery("after the loss of power")
	},
	"each installs a snapshot in turn, then all lose power": func(c *cluster, r *rand.Rand) {
		for _, m := range c.members {
			c.awaitChanges(1 + r.Intn(5))
			m.stop()
			c.awaitChanges(10)
			m.restart(diskKept)
			c.awaitRecovery("after a snapshot")
		}
		c.losePowerEverywhere(r, -1)
		c.awaitRecovery("after the loss of power")
	},
	"one restarts with an old disk as the others lose power": func(c *cluster, r *rand.Rand) {
		c.awaitChanges(5)
		c.memberAt(r.Intn(3)).stop()
		c.awaitChanges(40)
		c.losePowerEverywhere(r, -1)
		c.awaitRecovery("after the loss of power")
	},
	"one restarts with an old disk and the others stop": func(c *cluster, r *rand.Rand) {
		c.awaitChanges(5)
		m := c.memberAt(r.Intn(3))
		m.stop()
		c.awaitChanges(40)
		m.restart(diskKept)
		c.advance(r.Int63n(1500*clock.Ms), nil)
		others := []*member{}
		for _, other := range c.members {
			if other != m {
				other.stop()
				others = append(others, other)
			}
		}
		c.advance(5*clock.Sec, nil)
		for _, other := range others {
			other.restart(diskKept)
		}
		c.awaitRecovery("after the others restarted")
	},
	"one restarts with an empty disk and the head stops": func(c *cluster, r *rand.Rand) {
		c.awaitChanges(10)
		m := c.memberAt(2)
		m.stop()
		c.awaitChanges(10)
		head := c.head()
		m.restart(diskReplaced)
		c.advance(r.Int63n(2*clock.Sec), nil)
		head.stop()
		c.advance(3*clock.Sec, nil)
		head.restart(diskKept)
		c.awaitRecovery("after the head restarted")
	},
}

// A restarted member never serves as a ready tail or a confirmed head without all acknowledged entries, whatever data its disk
// has, and the next change builds on the acknowledged ones.
func TestRestoredMembersNeverServeOlderState(t *testing.T) {
	seeds := int64(12)
	if raceEnabled {
		seeds = 1
	}
	for name, scenario := range recoveryScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				c := newCluster(t, 3, replaceAndEdit(3))
				if scenario(c, rand.New(rand.NewSource(seed))); c.violation != "" {
					t.Fatalf("seed %d: %s", seed, c.violation)
				}
			}
		})
	}
}

// The check must detect each mutation of the disks.
func TestRestoredMembersCheckCanFail(t *testing.T) {
	for defect, scenario := range map[mutation]string{
		skipLogSync:      "all lose power",
		skipDirSync:      "each installs a snapshot in turn, then all lose power",
		skipSnapshotSync: "each installs a snapshot in turn, then all lose power",
	} {
		violation := ""
		for seed := int64(0); seed < 20 && violation == ""; seed++ {
			c := newCluster(t, 3, replaceAndEdit(3))
			for _, m := range c.members {
				m.disk.mutation = defect
			}
			recoveryScenarios[scenario](c, rand.New(rand.NewSource(seed)))
			violation = c.violation
		}
		if violation == "" {
			t.Errorf("mutation %q: got no violation, want one", defect)
		}
		t.Log(defect, ": ", violation)
	}
}

// Power is lost before every disk change made while a snapshot is installed, and the member restarts with each disk that may
// remain. It catches up, and never serves without all acknowledged entries.
func TestMemberRecoversFromPowerLossDuringSnapshotInstall(t *testing.T) {
	const installChanges = 5
	for lossAt := 1; lossAt <= installChanges+1; lossAt++ {
		for place := range 3 {
			t.Run(fmt.Sprintf("change %d, place %d", lossAt, place), func(t *testing.T) {
				t.Parallel()
				for choice, all := 0, 1; choice < all; choice++ {
					c := newCluster(t, 3, replaceAndEdit(3))
					all = runInterruptedInstall(c, place, lossAt, choice)
					if c.violation != "" {
						t.Fatalf("remaining disk %d of %d: %s", choice, all, c.violation)
					}
				}
			})
		}
	}
}

// runInterruptedInstall interrupts the installation of a snapshot by a power loss, restarts the member with the chosen remaining
// disk, and returns the number of possible remaining disks.
func runInterruptedInstall(c *cluster, place, lossAt, choice int) (all int) {
	c.awaitChanges(10)
	m := c.memberAt(place)
	m.stop()
	c.awaitChanges(20)
	m.chooseDisk = func(disks []*powerDisk) *powerDisk {
		all = len(disks)
		return disks[choice]
	}
	m.powerLossCountdown = lossAt
	m.restart(diskKept)
	if !c.advance(5*clock.Sec, func() bool { return m.node == nil }) {
		c.fail("member at position %d received no snapshot within 5 s", place)
		return all
	}
	c.advance(clock.Sec, nil)
	m.start(false)
	if !c.advance(maxCatchUpUs, m.caughtUp) {
		c.fail("member has not caught up %d ms after the power loss", maxCatchUpUs/clock.Ms)
	}
	c.awaitChanges(5)
	return all
}
