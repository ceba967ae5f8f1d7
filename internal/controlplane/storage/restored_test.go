package storage

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/process/clock"
)

// settle lets the cluster mend itself, and then take more changes with every member caught up.
func (c *cluster) settle(when string) {
	if !c.pass(20*clock.Sec, func() bool { return c.wrong != "" || c.whole() }) {
		for _, m := range c.members {
			if m.node == nil || !m.caughtUp() {
				c.fail("%s: %s is not back after 20 s", when, m.me.ID)
			}
		}
	}
	c.acknowledge(5)
}

// loseEverything takes the power from all members in the midst of their work; the disk of one of them may be lost.
func (c *cluster) loseEverything(r *rand.Rand, wiped int) {
	c.pass(r.Int63n(40*clock.Ms), nil)
	for _, m := range c.members {
		if m.node != nil {
			m.stop()
		}
	}
	c.pass(clock.Sec, nil)
	for i, m := range c.members {
		if i == wiped {
			m.loseDisk()
		} else {
			m.disk = m.disk.afterOnePowerLoss(r).settled()
		}
		m.start(false)
	}
}

// worstDays are ways in which members come back with less than the others have.
var worstDays = map[string]func(c *cluster, r *rand.Rand){
	"all lose power": func(c *cluster, r *rand.Rand) {
		for range 3 {
			c.acknowledge(1 + r.Intn(30))
			c.loseEverything(r, -1)
			c.settle("after the loss of power")
		}
	},
	"all lose power and one its disk": func(c *cluster, r *rand.Rand) {
		c.acknowledge(1 + r.Intn(30))
		c.loseEverything(r, r.Intn(3))
		c.settle("after the loss of power")
	},
	"each takes a copy in turn, then all lose power": func(c *cluster, r *rand.Rand) {
		for _, m := range c.members {
			c.acknowledge(1 + r.Intn(5))
			m.stop()
			c.acknowledge(10)
			m.comeBack(nothingLost)
			c.settle("after a copy")
		}
		c.loseEverything(r, -1)
		c.settle("after the loss of power")
	},
	"an old disk comes back as the others lose power": func(c *cluster, r *rand.Rand) {
		c.acknowledge(5)
		c.place(r.Intn(3)).stop()
		c.acknowledge(40)
		c.loseEverything(r, -1)
		c.settle("after the loss of power")
	},
	"an old disk comes back and the others go": func(c *cluster, r *rand.Rand) {
		c.acknowledge(5)
		m := c.place(r.Intn(3))
		m.stop()
		c.acknowledge(40)
		m.comeBack(nothingLost)
		c.pass(r.Int63n(1500*clock.Ms), nil)
		others := []*member{}
		for _, other := range c.members {
			if other != m {
				other.stop()
				others = append(others, other)
			}
		}
		c.pass(5*clock.Sec, nil)
		for _, other := range others {
			other.comeBack(nothingLost)
		}
		c.settle("after the others are back")
	},
	"an empty disk comes back and the head goes": func(c *cluster, r *rand.Rand) {
		c.acknowledge(10)
		m := c.place(2)
		m.stop()
		c.acknowledge(10)
		head := c.head()
		m.comeBack(diskLost)
		c.pass(r.Int63n(2*clock.Sec), nil)
		head.stop()
		c.pass(3*clock.Sec, nil)
		head.comeBack(nothingLost)
		c.settle("after the head is back")
	},
}

// A member that was restored never answers as tail, nor gives orders, with less than was acknowledged, whatever its
// disk came back with; and what was acknowledged is what the next change builds on.
func TestRestoredMembersNeverServeOlderState(t *testing.T) {
	seeds := int64(12)
	if raced {
		seeds = 1
	}
	for name, play := range worstDays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				c := newCluster(t, 3, replaceAndEdit(3))
				if play(c, rand.New(rand.NewSource(seed))); c.wrong != "" {
					t.Fatalf("seed %d: %s", seed, c.wrong)
				}
			}
		})
	}
}

func TestRestoredMembersCheckCanFail(t *testing.T) {
	for planted, day := range map[lie]string{
		logIsUnsynced:      "all lose power",
		foldersAreUnsynced: "each takes a copy in turn, then all lose power",
		copiesAreUnsynced:  "each takes a copy in turn, then all lose power",
	} {
		why := ""
		for seed := int64(0); seed < 20 && why == ""; seed++ {
			c := newCluster(t, 3, replaceAndEdit(3))
			for _, m := range c.members {
				m.disk.lie = planted
			}
			worstDays[day](c, rand.New(rand.NewSource(seed)))
			why = c.wrong
		}
		if why == "" {
			t.Errorf("%s: not seen", planted)
		}
		t.Log(planted, ": ", why)
	}
}

// Power is lost before every change of the disk that the installing of a copy takes, and each disk that may be left
// comes back: the member is caught up all the same, and never speaks for less than was acknowledged.
func TestSnapshotHalfInstalledAtPowerLoss(t *testing.T) {
	const copyChanges = 5
	for lossAt := 1; lossAt <= copyChanges+1; lossAt++ {
		for place := range 3 {
			t.Run(fmt.Sprintf("change %d, place %d", lossAt, place), func(t *testing.T) {
				t.Parallel()
				for choice, all := 0, 1; choice < all; choice++ {
					c := newCluster(t, 3, replaceAndEdit(3))
					all = halfInstalled(c, place, lossAt, choice)
					if c.wrong != "" {
						t.Fatalf("disk %d of %d: %s", choice, all, c.wrong)
					}
				}
			})
		}
	}
}

// halfInstalled says how many disks the loss of power might have left.
func halfInstalled(c *cluster, place, lossAt, choice int) (all int) {
	c.acknowledge(10)
	m := c.place(place)
	m.stop()
	c.acknowledge(20)
	m.leaves = func(disks []*powerDisk) *powerDisk {
		all = len(disks)
		return disks[choice]
	}
	m.losesPowerIn = lossAt
	m.comeBack(nothingLost)
	if !c.pass(5*clock.Sec, func() bool { return m.node == nil }) {
		c.fail("it was given no copy")
		return all
	}
	c.pass(clock.Sec, nil)
	m.start(false)
	if !c.pass(caughtUpWithin, m.caughtUp) {
		c.fail("not caught up after the second loss")
	}
	c.acknowledge(5)
	return all
}
