package storage

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/process/clock"
)

// settle lets the cluster mend itself, and then take more changes with every member caught up.
func (c *cluster) awaitRecovery(when string) {
	if !c.advance(20*clock.Sec, func() bool { return c.violation != "" || c.allCaughtUp() }) {
		for _, m := range c.members {
			if m.node == nil || !m.caughtUp() {
				c.fail("%s: %s is not back after 20 s", when, m.self.ID)
			}
		}
	}
	c.awaitChanges(5)
}

// losePowerEverywhere takes the power from all members in the midst of their work; the disk of one of them may be lost.
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

// recoveryScenarios are ways in which members come back with less than the others have.
var recoveryScenarios = map[string]func(c *cluster, r *rand.Rand){
	"all lose power": func(c *cluster, r *rand.Rand) {
		for range 3 {
			c.awaitChanges(1 + r.Intn(30))
			c.losePowerEverywhere(r, -1)
			c.awaitRecovery("after the loss of power")
		}
	},
	"all lose power and one its disk": func(c *cluster, r *rand.Rand) {
		c.awaitChanges(1 + r.Intn(30))
		c.losePowerEverywhere(r, r.Intn(3))
		c.awaitRecovery("after the loss of power")
	},
	"each takes a copy in turn, then all lose power": func(c *cluster, r *rand.Rand) {
		for _, m := range c.members {
			c.awaitChanges(1 + r.Intn(5))
			m.stop()
			c.awaitChanges(10)
			m.restart(diskKept)
			c.awaitRecovery("after a copy")
		}
		c.losePowerEverywhere(r, -1)
		c.awaitRecovery("after the loss of power")
	},
	"an old disk comes back as the others lose power": func(c *cluster, r *rand.Rand) {
		c.awaitChanges(5)
		c.memberAt(r.Intn(3)).stop()
		c.awaitChanges(40)
		c.losePowerEverywhere(r, -1)
		c.awaitRecovery("after the loss of power")
	},
	"an old disk comes back and the others go": func(c *cluster, r *rand.Rand) {
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
		c.awaitRecovery("after the others are back")
	},
	"an empty disk comes back and the head goes": func(c *cluster, r *rand.Rand) {
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
		c.awaitRecovery("after the head is back")
	},
}

// A member that was restored never answers as tail, nor gives orders, with less than was acknowledged, whatever its
// disk came back with; and what was acknowledged is what the next change builds on.
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

func TestRestoredMembersCheckCanFail(t *testing.T) {
	for defect, scenario := range map[mutation]string{
		skipLogSync:      "all lose power",
		skipDirSync:      "each takes a copy in turn, then all lose power",
		skipSnapshotSync: "each takes a copy in turn, then all lose power",
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
			t.Errorf("%s: not seen", defect)
		}
		t.Log(defect, ": ", violation)
	}
}

// Power is lost before every change of the disk that the installing of a copy takes, and each disk that may be left
// comes back: the member is caught up all the same, and never speaks for less than was acknowledged.
func TestSnapshotHalfInstalledAtPowerLoss(t *testing.T) {
	const installChanges = 5
	for lossAt := 1; lossAt <= installChanges+1; lossAt++ {
		for place := range 3 {
			t.Run(fmt.Sprintf("change %d, place %d", lossAt, place), func(t *testing.T) {
				t.Parallel()
				for choice, all := 0, 1; choice < all; choice++ {
					c := newCluster(t, 3, replaceAndEdit(3))
					all = runInterruptedInstall(c, place, lossAt, choice)
					if c.violation != "" {
						t.Fatalf("disk %d of %d: %s", choice, all, c.violation)
					}
				}
			})
		}
	}
}

// runInterruptedInstall says how many disks the loss of power might have left.
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
		c.fail("it was given no copy")
		return all
	}
	c.advance(clock.Sec, nil)
	m.start(false)
	if !c.advance(maxCatchUpUs, m.caughtUp) {
		c.fail("not caught up after the second loss")
	}
	c.awaitChanges(5)
	return all
}
