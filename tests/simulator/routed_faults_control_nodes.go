package simulator

import (
	"slices"
	"strings"

	"petreltide/tests/rules"
)

// armedDiskFault waits for an acknowledged change, and strikes whoever acknowledged it.
type armedDiskFault struct {
	fault Fault
	wipe  bool
	act   func(o *routedControlNode)
}

func (d *routedDay) springFaults(kind string, o *routedControlNode) {
	if len(d.armedFaults) == 0 {
		return
	}
	t := d.armedFaults[0]
	d.armedFaults = d.armedFaults[1:]
	d.schedule(d.nowUs+d.random.Int63n(4*millisecond), func() { t.act(o) })
}

// hasSpareControlNode says whether these control nodes may lose their disks now: no more are lost, missing or behind than tolerated.
func (d *routedDay) hasSpareControlNode(lost ...*routedControlNode) bool {
	there, away := 0, len(lost)
	for _, o := range d.controlNodes {
		if o.removed {
			continue
		}
		there++
		if !slices.Contains(lost, o) && !o.caughtUp() {
			away++
		}
	}
	away += max(0, d.plan.ControlNodes-there)
	up := !slices.ContainsFunc(lost, func(o *routedControlNode) bool { return !o.up })
	return up && away <= d.tolerated()
}

// nextControlNode is the control node that is struck together with another.
func (d *routedDay) nextControlNode(o *routedControlNode, n int) *routedControlNode {
	others := slices.DeleteFunc(d.upControlNodes(), func(other *routedControlNode) bool { return other == o })
	other, _ := pickOf(others, n)
	return other
}

func (d *routedDay) upControlNodes() []*routedControlNode {
	out := []*routedControlNode{}
	for _, o := range d.controlNodes {
		if o.up {
			out = append(out, o)
		}
	}
	return out
}

func (d *routedDay) controlNodeFault(f Fault, o *routedControlNode) bool {
	switch f.Kind {
	case "kill-office", "kill-holder":
		d.killControlNode(o, 0, f.DurationUs)
	case "power-office":
		d.killControlNode(o, f.N, f.DurationUs)
	case "kill-offices":
		for _, o := range d.upControlNodes() {
			d.killControlNode(o, 0, min(f.DurationUs, second))
		}
	case "freeze-office", "freeze-holder":
		d.freeze(&o.machine, f.DurationUs)
	case "stall-disk":
		o.disk.stallUs = d.nowUs + f.DurationUs
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.DurationUs, Slow: true})
	case "slow-disk":
		o.disk.slowUs = int64(f.N) * 5 * millisecond
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.DurationUs, Slow: true})
		d.schedule(d.nowUs+f.DurationUs, func() { o.disk.slowUs = 0 })
	case "full-disk":
		o.disk.fill(d.DeclaredDay, f.DurationUs)
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.DurationUs, Slow: true})
	case "replace-office":
		return d.replace(f, o)
	case "replace-planned":
		return d.replacePlanned(f, o)
	case "roll-offices":
		for i, o := range d.controlNodes {
			d.schedule(d.nowUs+int64(i)*(d.catchUpUs()+second), func() {
				if d.hasSpareControlNode(o) {
					d.killControlNode(o, 0, 400*millisecond)
				}
			})
		}
	case "cut-office":
		for _, other := range d.controlNodes {
			if other != o && !other.removed {
				d.blockLink(o.name, other.name, f.DurationUs)
				d.blockLink(other.name, o.name, f.DurationUs)
			}
		}
	case "cut-lured":
		d.applyPartition(Partition{Role: []Role{HeadRole, MiddleRole, TailRole}[f.B%3], DurationUs: f.DurationUs + 3*second, Direction: []Direction{SilentWay, MuteWay, DeafWay, ResetWay}[f.A%4], Lure: true, Meet: true, Drain: true}, d.nowUs)
	case "one-way", "split-core":
		other := d.controlNodes[(f.B)%len(d.controlNodes)]
		if other == o || other.removed {
			return false
		}
		d.blockLink(o.name, other.name, f.DurationUs)
		if f.Kind == "split-core" {
			d.blockLink(other.name, o.name, f.DurationUs)
		}
	}
	return true
}

func (d *routedDay) freeze(m *machine, forUs int64) {
	m.thawUs = max(m.thawUs, d.nowUs+forUs)
	d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: m.name, Kind: "freeze", FromUs: d.nowUs, ToUs: m.thawUs, Down: true})
}

func (d *routedDay) killControlNode(o *routedControlNode, torn int, forUs int64) {
	o.crash(torn)
	d.schedule(d.nowUs+forUs, o.start)
}

// remove takes a control node away for good.
func (d *routedDay) remove(o *routedControlNode) {
	o.crash(0)
	o.removed = true
	for i := range d.observed.Core {
		if d.observed.Core[i].Machine == o.name {
			d.observed.Core[i].ToUs = d.nowUs
		}
	}
}

// addEmptyControlNode puts an empty control node at a new address beside the others.
func (d *routedDay) addEmptyControlNode(zone string) *routedControlNode {
	d.ports++
	fresh := d.addControlNode("core-"+d.nextIncarnation(), "core-new:"+d.nextIncarnation(), zone, false)
	d.recordFault(rules.FaultInterval{Machine: fresh.name, Kind: "start", ToUs: d.nowUs + 1})
	d.publishSeeds()
	return fresh
}

// replace removes control nodes for good and puts as many empty ones beside the others.
func (d *routedDay) replace(f Fault, gone ...*routedControlNode) bool {
	if !d.hasSpareControlNode(gone...) || len(d.armedFaults) > 0 {
		return false
	}
	for _, o := range gone {
		d.remove(o)
		d.schedule(d.nowUs+min(f.DurationUs, 2*second), func() { d.addEmptyControlNode(o.zone) })
	}
	return true
}

// replacePlanned starts the empty control node first, and stops the old one once the new one has caught up.
func (d *routedDay) replacePlanned(f Fault, o *routedControlNode) bool {
	if !d.hasSpareControlNode(o) || len(d.armedFaults) > 0 {
		return false
	}
	fresh := d.addEmptyControlNode(o.zone)
	var look func()
	look = func() {
		switch {
		case d.handed || !fresh.up || !o.up:
		case !fresh.caughtUp() || !d.hasSpareControlNode(o):
			d.schedule(d.nowUs+200*millisecond, look)
		default:
			d.countFault(f)
			d.terminate(o, func() {})
		}
	}
	d.schedule(d.nowUs+2*second, look)
	return true
}

func (d *routedDay) pairFault(f Fault, a, b *routedControlNode) bool {
	if b == nil || d.tolerated() < 2 {
		return false
	}
	switch f.Kind {
	case "kill-pair", "power-pair":
		for _, o := range []*routedControlNode{a, b} {
			torn := 0
			if f.Kind == "power-pair" {
				torn = f.N % 4
			}
			d.killControlNode(o, torn, f.DurationUs)
		}
	case "freeze-pair":
		d.freeze(&a.machine, f.DurationUs)
		d.freeze(&b.machine, f.DurationUs)
	case "cut-pair":
		for _, other := range d.controlNodes {
			if other == a || other == b || other.removed {
				continue
			}
			for _, o := range []*routedControlNode{a, b} {
				d.blockLink(o.name, other.name, f.DurationUs)
				d.blockLink(other.name, o.name, f.DurationUs)
			}
		}
	case "replace-pair":
		return d.replace(f, a, b)
	}
	return true
}

// killZone takes every machine of a zone at once; their disks last.
func (d *routedDay) killZone(zone string, f Fault) {
	for _, o := range d.upControlNodes() {
		if o.zone == zone {
			d.killControlNode(o, f.N%3, f.DurationUs)
		}
	}
	for _, t := range d.gateways {
		if t.zone == zone && t.up {
			t.crash(false)
			d.schedule(d.nowUs+f.DurationUs, t.start)
		}
	}
	for _, p := range d.running("") {
		if p.core.Zone() == zone {
			p.end(true)
			d.schedule(d.nowUs+f.DurationUs, func() { d.successor(p, "") })
		}
	}
}

// afterAck waits for the next acknowledged change: power is lost there, or the disk.
func (d *routedDay) afterAck(f Fault) bool {
	wipe := strings.HasPrefix(f.Kind, "wipe-")
	pair := f.Kind == "wipe-pair-after-ack"
	if len(d.armedFaults) > 0 || (pair && d.tolerated() < 2) {
		return false
	}
	d.armedFaults = append(d.armedFaults, &armedDiskFault{fault: f, wipe: wipe, act: func(o *routedControlNode) {
		struck := []*routedControlNode{o}
		if other := d.nextControlNode(o, f.B); pair && other != nil {
			struck = append(struck, other)
		}
		if !o.up || (wipe && !d.hasSpareControlNode(struck...)) {
			return
		}
		d.countFault(f)
		for _, o := range struck {
			d.logf("%s at %s", f.Kind, o.name)
			o.crash(f.N % 4)
			if wipe {
				o.disk = disk{identity: o.name + "-" + d.nextIncarnation()}
			}
			d.schedule(d.nowUs+f.DurationUs, o.start)
		}
	}})
	d.operators.do(d.operators.change)
	return true
}
