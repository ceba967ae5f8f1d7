package simulator

import (
	"cmp"
	"slices"

	"petreltide/tests/rules"
)

const (
	// maxTurns is how many cuts a fault by turns makes, and turnUs how long each of them stands.
	maxTurns = 3
	turnUs   = 2 * second
	// restartUs is how long a process that is restarted is away.
	restartUs = 300 * millisecond
	// seedsRestartUs is how long after a cut some gateways are restarted, and seedsKnownUs how long after their start
	// they are looked at.
	seedsRestartUs = 1500 * millisecond
	seedsKnownUs   = 3500 * millisecond
)

// coreCutsUs is how much longer than its own time a fault of the core lasts, so that the day is not healed before it has
// come to its end.
var coreCutsUs = map[string]int64{
	"cut-behind": 3 * second, "cut-split": 3 * second, "cut-both": 3 * second, "cut-relieve": 4 * second, "cut-turn": maxTurns * (turnUs + second), "cut-seeds": 6 * second,
}

// worstFault are faults that strike the core together with something else.
func (d *routedDay) worstFault(f Fault, o *routedControlNode) bool {
	switch f.Kind {
	case "power-keeping", "ack-lost-race":
		d.returningFault(f, o)
	case "herd-power-order", "herd-power-work":
		d.herdPower(f)
	case "config-flood":
		d.flood(f, o)
	default:
		d.applyCorePartition(f)
	}
	return true
}

// applyCorePartition cuts control machines off from the others, and does meanwhile or right after what makes it worse.
func (d *routedDay) applyCorePartition(f Fault) {
	c := Partition{
		Role: []Role{HeadRole, MiddleRole, TailRole, ControllerRole}[f.B%4], Count: 1, DurationUs: f.DurationUs + 3*second,
		Direction: []Direction{SilentWay, MuteWay, DeafWay, ResetWay}[f.A%4], Meet: true,
	}
	switch f.Kind {
	case "cut-behind":
		c.Count = d.tolerated()
		c.Direction = SilentWay
		c.Then = func(struck []*routedControlNode) { d.partitionBehindLoss(f, c, struck) }
	case "cut-split":
		c.Count, c.Lure, c.Race, c.Drain = max(1, len(d.upControlNodes())/2), true, true, true
		c.Then = func(struck []*routedControlNode) { d.partitionInTwo(f, c, struck) }
	case "cut-both":
		c.Race = true
		c.Then = func(struck []*routedControlNode) { d.partitionTwoZones(f, c, struck) }
	case "cut-relieve":
		c.Then = func(struck []*routedControlNode) { d.partitionThenRelieve(f, c, struck) }
	case "cut-turn":
		c.Role, c.DurationUs, c.Race, c.Drain = TurnRole, turnUs, true, true
		d.partitionInTurn(f, c, maxTurns)
		return
	case "cut-seeds":
		c.Count, c.DurationUs = d.tolerated(), f.DurationUs+6*second
		c.Then = func(struck []*routedControlNode) { d.partitionFromSeeds(f, struck, d.nowUs+c.DurationUs) }
	}
	d.applyPartition(c, d.nowUs+second)
}

// others are the machines of the core that run and were not struck.
func (d *routedDay) others(struck []*routedControlNode) []*routedControlNode {
	return slices.DeleteFunc(d.upControlNodes(), func(o *routedControlNode) bool { return slices.Contains(struck, o) })
}

// leastPartitioned are the machines that were cut off least often so far.
func (d *routedDay) leastPartitioned(count int) []*routedControlNode {
	up := d.upControlNodes()
	slices.SortStableFunc(up, func(a, b *routedControlNode) int {
		return cmp.Compare(d.partitions.times[a.name], d.partitions.times[b.name])
	})
	return up[:min(count, len(up))]
}

// partitionBehindLoss lets those that are cut off miss changes. Then one of the others loses its disk and the rest their power,
// and the cut heals: those that are behind must not go on alone.
func (d *routedDay) partitionBehindLoss(f Fault, c Partition, struck []*routedControlNode) {
	d.operators.do(d.operators.change)
	d.operators.do(d.operators.change)
	d.schedule(d.nowUs+c.DurationUs, func() {
		others := d.others(struck)
		behind := slices.ContainsFunc(others, func(o *routedControlNode) bool { return !o.caughtUp() })
		if d.handed || behind || len(d.armedFaults) > 0 || len(others) <= d.tolerated() {
			return
		}
		d.countFault(f)
		wiped := others[f.N%len(others)]
		d.logf("%s loses its disk, and the rest their power, as %s come back behind", wiped.name, controlNodeNames(struck))
		for _, o := range others {
			o.crash(f.N % 4)
			d.schedule(d.nowUs+f.DurationUs, o.start)
		}
		wiped.disk = disk{identity: wiped.name + "-" + d.nextIncarnation()}
		wiped.diskUs = d.nowUs + f.DurationUs
	})
}

// partitionInTwo also cuts the other half in two now and then, so that nobody reaches most of the core.
func (d *routedDay) partitionInTwo(f Fault, c Partition, struck []*routedControlNode) {
	d.countFault(f)
	others := d.others(struck)
	if f.N%2 == 0 || len(others) < 2 {
		return
	}
	for _, o := range others[1:] {
		d.blockLink(others[0].name, o.name, c.DurationUs)
		d.blockLink(o.name, others[0].name, c.DurationUs)
	}
}

// partitionTwoZones restarts those that are cut off, and then all others, while the cut stands.
func (d *routedDay) partitionTwoZones(f Fault, c Partition, struck []*routedControlNode) {
	d.schedule(d.nowUs+c.DurationUs/3, func() { d.restart(struck, restartUs) })
	d.schedule(d.nowUs+c.DurationUs*2/3, func() {
		if !d.handed {
			d.countFault(f)
			d.restart(d.others(struck), restartUs)
		}
	})
}

// partitionThenRelieve makes changes while the cut stands, and kills all that took them just after it has healed.
func (d *routedDay) partitionThenRelieve(f Fault, c Partition, struck []*routedControlNode) {
	for us := d.nowUs + 100*millisecond; us < d.nowUs+c.DurationUs; us += 700 * millisecond {
		d.schedule(us, func() { d.operators.do(d.operators.change) })
	}
	d.schedule(d.nowUs+c.DurationUs+5*millisecond+d.random.Int63n(200*millisecond), func() {
		if !d.handed {
			d.countFault(f)
			d.restart(d.others(struck), min(f.DurationUs, 2*second))
		}
	})
}

// partitionInTurn cuts one machine off after the other, those first that were cut off least often.
func (d *routedDay) partitionInTurn(f Fault, c Partition, left int) {
	c.Then = func([]*routedControlNode) {
		if left == 1 {
			d.countFault(f)
			return
		}
		d.schedule(d.nowUs+c.DurationUs+second, func() {
			if !d.handed {
				d.partitionInTurn(f, c, left-1)
			}
		})
	}
	d.applyPartition(c, d.nowUs+second)
}

// partitionFromSeeds names those that are cut off as the seeds, alone or before others, tells some gateways and restarts the rest.
// A machine of the core that is not cut off is restarted as well now and then.
func (d *routedDay) partitionFromSeeds(f Fault, struck []*routedControlNode, endUs int64) {
	d.seeds = []string{}
	for _, o := range struck {
		d.seeds = append(d.seeds, o.addr)
	}
	others := d.others(struck)
	if f.N%2 == 0 {
		for _, o := range others {
			d.seeds = append(d.seeds, o.addr)
		}
		d.seeds = d.seeds[:min(len(d.seeds), seedsMost)]
	}
	d.operators.do(d.operators.change)
	d.schedule(d.nowUs+seedsRestartUs, func() { d.startWithSeeds(f) })
	if o, ok := pickOf(others, f.A); ok && f.N%3 == 0 {
		d.schedule(d.nowUs+seedsRestartUs, func() { d.restart([]*routedControlNode{o}, restartUs) })
	}
	d.schedule(endUs, func() {
		d.seeds = slices.Clone(d.currentSeeds())
		d.seeds = d.seeds[:min(len(d.seeds), seedsMost)]
	})
}

func (d *routedDay) startWithSeeds(f Fault) {
	if d.handed {
		return
	}
	for i, t := range d.gateways {
		switch {
		case !t.up || t.terminating:
		case (i+f.A)%2 == 0:
			d.countFault(f)
			t.crash(false)
			d.schedule(d.nowUs+restartUs, func() { d.startOf(t) })
		default:
			t.deliver(t.boot, t.seeded)
		}
	}
}

// startOf starts a gateway, and notes a while later which configuration it knows.
func (d *routedDay) startOf(t *routedGateway) {
	t.start()
	boot, startUs := t.boot, d.nowUs
	d.schedule(startUs+seedsKnownUs, func() {
		if !t.up || t.boot != boot {
			return
		}
		start := rules.Start{Machine: t.name, StartUs: startUs, AtUs: d.nowUs}
		if t.snapshot != nil && t.snapshot.Declaration != nil {
			start.Number = t.snapshot.Declaration.Version
		}
		d.observed.Starts = append(d.observed.Starts, start)
	})
}

// restart kills processes and starts them again.
func (d *routedDay) restart(list []*routedControlNode, awayUs int64) {
	for _, o := range list {
		d.killControlNode(o, 0, awayUs)
	}
}

func controlNodeNames(list []*routedControlNode) (all []string) {
	for _, o := range list {
		all = append(all, o.name)
	}
	return all
}
