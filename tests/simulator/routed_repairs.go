package simulator

import (
	"cmp"
	"slices"

	"petreltide/internal/controlplane/controlnode"
)

// Repairs are losses of control machines one after the other: each is made good, and the next comes at the very
// moment when the platform counts the one before as made good.
type Repairs struct {
	Rounds int
	Method string
	// Oldest takes those whose disks have lasted longest.
	Oldest bool
}

// The ways in which a machine is lost and made good.
const (
	repairReplace = "replace" // lost for good, an empty one at another address after it
	repairPlanned = "planned" // an empty one started first, the old one terminated
	repairWipe    = "wipe"    // back at its address with an empty disk
	repairMixed   = "mixed"   // by turns
	// An empty one started first, the old one removed for good without a word, and right after it others lose their disks.
	repairSilent = "silent"
)

// maxSilentGapUs bounds the time between a silent removal and the losses after it.
const maxSilentGapUs = 700 * millisecond

// successorAfterUs is how long after a loss its successor starts.
const successorAfterUs = second

// durationUs is how long all rounds take.
func (r Repairs) spanUs(catchUpUs int64) int64 {
	if r.Method == repairSilent {
		return int64(r.Rounds) * (2*catchUpUs + successorAfterUs + second + maxSilentGapUs)
	}
	return int64(r.Rounds) * (catchUpUs + successorAfterUs + second)
}

// repairs brings the rounds about, with a change by the operators twice a second all along.
func (d *routedDay) repairs(r Repairs) {
	endUs := d.nowUs + r.spanUs(d.catchUpUs())
	var change func()
	change = func() {
		if d.nowUs < endUs && !d.operators.busy {
			d.operators.do(d.operators.change)
		}
		if d.nowUs < endUs {
			d.schedule(d.nowUs+500*millisecond, change)
		}
	}
	change()
	d.reseed()
	d.repairRound(r, 0)
}

func (d *routedDay) repairRound(r Repairs, round int) {
	if round == r.Rounds || d.handed {
		return
	}
	how := r.Method
	if how == repairMixed {
		how = []string{repairPlanned, repairReplace, repairWipe}[(round+int(d.plan.Seed))%3]
	}
	lost := d.struckNow(r.Oldest)
	d.logf("round %d: %s", round, how)
	d.countFault(Fault{Kind: "repair-" + how})
	next := func() { d.repairRound(r, round+1) }
	if how == repairPlanned {
		d.replaceInTurn(lost, next)
		return
	}
	if how == repairSilent {
		d.removeSilently(lost[0], next)
		return
	}
	for _, o := range lost {
		if how == repairReplace {
			d.remove(o)
			d.publishSeeds()
			d.schedule(d.nowUs+successorAfterUs, func() { d.addEmptyControlNode(o.zone) })
			continue
		}
		d.loseDisk(o)
	}
	d.schedule(d.nowUs+successorAfterUs+d.catchUpUs(), next)
}

// loseDisk ends a control node, which comes back at its address with an empty disk.
func (d *routedDay) loseDisk(o *routedControlNode) {
	o.crash(0)
	o.disk = disk{identity: o.name + "-" + d.nextIncarnation()}
	o.diskUs = d.nowUs + successorAfterUs
	d.schedule(d.nowUs+successorAfterUs, o.start)
}

// removeSilently starts a successor of a control node, and once that has had its time to catch up takes the node away without a word: it
// sends nothing and its port does not refuse. A moment later as many others as may be lost, the successor or any other, lose
// their disks. done runs once these have had their time.
func (d *routedDay) removeSilently(old *routedControlNode, done func()) {
	d.addEmptyControlNode(old.zone)
	d.schedule(d.nowUs+d.catchUpUs(), func() {
		d.remove(old)
		old.killed = false
		d.publishSeeds()
		d.schedule(d.nowUs+d.random.Int63n(maxSilentGapUs), func() {
			for _, o := range d.struckNow(false) {
				d.loseDisk(o)
			}
			d.schedule(d.nowUs+successorAfterUs+d.catchUpUs(), done)
		})
	})
}

// reseed keeps the seeds that a process is told at its start to what the operators' list names by then.
func (d *routedDay) reseed() {
	d.seeds = slices.Clone(d.currentSeeds())
	d.random.Shuffle(len(d.seeds), func(i, j int) { d.seeds[i], d.seeds[j] = d.seeds[j], d.seeds[i] })
	d.seeds = d.seeds[:min(len(d.seeds), seedsMost)]
	d.schedule(d.nowUs+500*millisecond, d.reseed)
}

// struckNow are as many machines as may be lost at once.
func (d *routedDay) struckNow(oldest bool) []*routedControlNode {
	up := d.upControlNodes()
	if oldest {
		slices.SortStableFunc(up, func(a, b *routedControlNode) int { return cmp.Compare(a.diskUs, b.diskUs) })
	} else {
		d.random.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	}
	return up[:d.tolerated()]
}

// replaceInTurn starts successors and, once their time to catch up is over, terminates the old ones; done runs the
// moment that the last of these has ended.
func (d *routedDay) replaceInTurn(old []*routedControlNode, done func()) {
	for _, o := range old {
		d.addEmptyControlNode(o.zone)
	}
	d.schedule(d.nowUs+d.catchUpUs(), func() {
		left := len(old)
		for _, o := range old {
			d.terminate(o, func() {
				if left--; left == 0 {
					done()
				}
			})
		}
	})
}

// terminate tells a control node to end, as SIGTERM does, and removes it once it has or its grace is over.
func (d *routedDay) terminate(o *routedControlNode, done func()) {
	endUs := d.nowUs + d.observed.Bounds.GraceUs
	o.deliver(o.boot, func() { o.step(controlnode.LeaveChain{}) })
	var look func()
	look = func() {
		if o.up && !o.core.Node.ShutdownComplete() && d.nowUs < endUs && d.plan.Plant != "abrupt-office" {
			d.schedule(d.nowUs+25*millisecond, look)
			return
		}
		d.logf("%s has ended", o.name)
		d.remove(o)
		d.publishSeeds()
		done()
	}
	look()
}
