package simulator

import (
	"cmp"
	"slices"

	"petreltide/tests/rules"
)

const (
	// turnsMost is how many cuts a fault by turns makes, and turnUs how long each of them stands.
	turnsMost = 3
	turnUs    = 2 * sec
	// restartUs is how long a process that is restarted is away.
	restartUs = 300 * ms
	// seedsRestartUs is how long after a cut some gateways are restarted, and seedsKnownUs how long after their start
	// they are looked at.
	seedsRestartUs = 1500 * ms
	seedsKnownUs   = 3500 * ms
)

// coreCutsUs is how much longer than its own time a fault of the core lasts, so that the day is not healed before it has
// come to its end.
var coreCutsUs = map[string]int64{
	"cut-behind": 3 * sec, "cut-split": 3 * sec, "cut-both": 3 * sec, "cut-relieve": 4 * sec, "cut-turn": turnsMost * (turnUs + sec), "cut-seeds": 6 * sec,
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
		d.coreCutFault(f)
	}
	return true
}

// coreCutFault cuts control machines off from the others, and does meanwhile or right after what makes it worse.
func (d *routedDay) coreCutFault(f Fault) {
	c := CutOff{
		Role: []Role{HeadRole, MiddleRole, TailRole, ControllerRole}[f.B%4], Count: 1, ForUs: f.ForUs + 3*sec,
		Way: []Way{SilentWay, MuteWay, DeafWay, ResetWay}[f.A%4], Meet: true,
	}
	switch f.Kind {
	case "cut-behind":
		c.Count = d.tolerated()
		c.Way = SilentWay
		c.Then = func(struck []*routedControlNode) { d.cutBehind(f, c, struck) }
	case "cut-split":
		c.Count, c.Lure, c.Race, c.Drain = max(1, len(d.upControlNodes())/2), true, true, true
		c.Then = func(struck []*routedControlNode) { d.cutSplit(f, c, struck) }
	case "cut-both":
		c.Race = true
		c.Then = func(struck []*routedControlNode) { d.cutBoth(f, c, struck) }
	case "cut-relieve":
		c.Then = func(struck []*routedControlNode) { d.cutRelieve(f, c, struck) }
	case "cut-turn":
		c.Role, c.ForUs, c.Race, c.Drain = TurnRole, turnUs, true, true
		d.cutTurn(f, c, turnsMost)
		return
	case "cut-seeds":
		c.Count, c.ForUs = d.tolerated(), f.ForUs+6*sec
		c.Then = func(struck []*routedControlNode) { d.cutSeeds(f, struck, d.nowUs+c.ForUs) }
	}
	d.cutOffNow(c, d.nowUs+sec)
}

// others are the machines of the core that run and were not struck.
func (d *routedDay) others(struck []*routedControlNode) []*routedControlNode {
	return slices.DeleteFunc(d.upControlNodes(), func(o *routedControlNode) bool { return slices.Contains(struck, o) })
}

// leastCut are the machines that were cut off least often so far.
func (d *routedDay) leastCut(count int) []*routedControlNode {
	up := d.upControlNodes()
	slices.SortStableFunc(up, func(a, b *routedControlNode) int { return cmp.Compare(d.cutOff.times[a.name], d.cutOff.times[b.name]) })
	return up[:min(count, len(up))]
}

// cutBehind lets those that are cut off miss changes. Then one of the others loses its disk and the rest their power,
// and the cut heals: those that are behind must not go on alone.
func (d *routedDay) cutBehind(f Fault, c CutOff, struck []*routedControlNode) {
	d.ops.do(d.ops.change)
	d.ops.do(d.ops.change)
	d.at(d.nowUs+c.ForUs, func() {
		others := d.others(struck)
		behind := slices.ContainsFunc(others, func(o *routedControlNode) bool { return !o.caughtUp() })
		if d.handed || behind || len(d.springs) > 0 || len(others) <= d.tolerated() {
			return
		}
		d.count(f)
		wiped := others[f.N%len(others)]
		d.note("%s loses its disk, and the rest their power, as %s come back behind", wiped.name, controlNodeNames(struck))
		for _, o := range others {
			o.crash(f.N % 4)
			d.at(d.nowUs+f.ForUs, o.start)
		}
		wiped.disk = disk{identity: wiped.name + "-" + d.newIncarnation()}
		wiped.diskUs = d.nowUs + f.ForUs
	})
}

// cutSplit also cuts the other half in two now and then, so that nobody reaches most of the core.
func (d *routedDay) cutSplit(f Fault, c CutOff, struck []*routedControlNode) {
	d.count(f)
	others := d.others(struck)
	if f.N%2 == 0 || len(others) < 2 {
		return
	}
	for _, o := range others[1:] {
		d.cut(others[0].name, o.name, c.ForUs)
		d.cut(o.name, others[0].name, c.ForUs)
	}
}

// cutBoth restarts those that are cut off, and then all others, while the cut stands.
func (d *routedDay) cutBoth(f Fault, c CutOff, struck []*routedControlNode) {
	d.at(d.nowUs+c.ForUs/3, func() { d.restart(struck, restartUs) })
	d.at(d.nowUs+c.ForUs*2/3, func() {
		if !d.handed {
			d.count(f)
			d.restart(d.others(struck), restartUs)
		}
	})
}

// cutRelieve makes changes while the cut stands, and kills all that took them just after it has healed.
func (d *routedDay) cutRelieve(f Fault, c CutOff, struck []*routedControlNode) {
	for us := d.nowUs + 100*ms; us < d.nowUs+c.ForUs; us += 700 * ms {
		d.at(us, func() { d.ops.do(d.ops.change) })
	}
	d.at(d.nowUs+c.ForUs+5*ms+d.r.Int63n(200*ms), func() {
		if !d.handed {
			d.count(f)
			d.restart(d.others(struck), min(f.ForUs, 2*sec))
		}
	})
}

// cutTurn cuts one machine off after the other, those first that were cut off least often.
func (d *routedDay) cutTurn(f Fault, c CutOff, left int) {
	c.Then = func([]*routedControlNode) {
		if left == 1 {
			d.count(f)
			return
		}
		d.at(d.nowUs+c.ForUs+sec, func() {
			if !d.handed {
				d.cutTurn(f, c, left-1)
			}
		})
	}
	d.cutOffNow(c, d.nowUs+sec)
}

// cutSeeds names those that are cut off as the seeds, alone or before others, tells some gateways and restarts the rest.
// A machine of the core that is not cut off is restarted as well now and then.
func (d *routedDay) cutSeeds(f Fault, struck []*routedControlNode, endUs int64) {
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
	d.ops.do(d.ops.change)
	d.at(d.nowUs+seedsRestartUs, func() { d.startWithSeeds(f) })
	if o, ok := pickOf(others, f.A); ok && f.N%3 == 0 {
		d.at(d.nowUs+seedsRestartUs, func() { d.restart([]*routedControlNode{o}, restartUs) })
	}
	d.at(endUs, func() {
		d.seeds = slices.Clone(d.listedNow())
		d.seeds = d.seeds[:min(len(d.seeds), seedsMost)]
	})
}

func (d *routedDay) startWithSeeds(f Fault) {
	if d.handed {
		return
	}
	for i, t := range d.gateways {
		switch {
		case !t.up || t.term:
		case (i+f.A)%2 == 0:
			d.count(f)
			t.crash(false)
			d.at(d.nowUs+restartUs, func() { d.startOf(t) })
		default:
			t.now(t.boot, t.seeded)
		}
	}
}

// startOf starts a gateway, and notes a while later which configuration it knows.
func (d *routedDay) startOf(t *routedGateway) {
	t.start()
	boot, startUs := t.boot, d.nowUs
	d.at(startUs+seedsKnownUs, func() {
		if !t.up || t.boot != boot {
			return
		}
		start := rules.Start{Machine: t.name, StartUs: startUs, AtUs: d.nowUs}
		if t.snap != nil && t.snap.Declaration != nil {
			start.Number = t.snap.Declaration.Version
		}
		d.seen.Starts = append(d.seen.Starts, start)
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
