package simulator

import (
	"slices"
	"strings"

	"petreltide/tests/rules"
)

// spring waits for an acknowledged change, and strikes whoever acknowledged it.
type spring struct {
	fault Fault
	wipe  bool
	act   func(o *routedControlNode)
}

func (d *routedDay) spring(kind string, o *routedControlNode) {
	if len(d.springs) == 0 {
		return
	}
	t := d.springs[0]
	d.springs = d.springs[1:]
	d.at(d.nowUs+d.r.Int63n(4*ms), func() { t.act(o) })
}

// spare says whether these control nodes may lose their disks now: no more are lost, missing or behind than tolerated.
func (d *routedDay) spare(lost ...*routedControlNode) bool {
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

// mate is the control node that is struck together with another.
func (d *routedDay) mate(o *routedControlNode, n int) *routedControlNode {
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
		d.killControlNode(o, 0, f.ForUs)
	case "power-office":
		d.killControlNode(o, f.N, f.ForUs)
	case "kill-offices":
		for _, o := range d.upControlNodes() {
			d.killControlNode(o, 0, min(f.ForUs, sec))
		}
	case "freeze-office", "freeze-holder":
		d.freeze(&o.machine, f.ForUs)
	case "stall-disk":
		o.disk.stallUs = d.nowUs + f.ForUs
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	case "slow-disk":
		o.disk.slowUs = int64(f.N) * 5 * ms
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
		d.at(d.nowUs+f.ForUs, func() { o.disk.slowUs = 0 })
	case "full-disk":
		o.disk.fill(d.Sim, f.ForUs)
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: o.name, Kind: f.Kind, FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	case "replace-office":
		return d.replace(f, o)
	case "replace-planned":
		return d.replacePlanned(f, o)
	case "roll-offices":
		for i, o := range d.controlNodes {
			d.at(d.nowUs+int64(i)*(d.catchUpUs()+sec), func() {
				if d.spare(o) {
					d.killControlNode(o, 0, 400*ms)
				}
			})
		}
	case "cut-office":
		for _, other := range d.controlNodes {
			if other != o && !other.removed {
				d.cut(o.name, other.name, f.ForUs)
				d.cut(other.name, o.name, f.ForUs)
			}
		}
	case "cut-lured":
		d.cutOffNow(CutOff{Role: []Role{HeadRole, MiddleRole, TailRole}[f.B%3], ForUs: f.ForUs + 3*sec, Way: []Way{SilentWay, MuteWay, DeafWay, ResetWay}[f.A%4], Lure: true, Meet: true, Drain: true}, d.nowUs)
	case "one-way", "split-core":
		other := d.controlNodes[(f.B)%len(d.controlNodes)]
		if other == o || other.removed {
			return false
		}
		d.cut(o.name, other.name, f.ForUs)
		if f.Kind == "split-core" {
			d.cut(other.name, o.name, f.ForUs)
		}
	}
	return true
}

func (d *routedDay) freeze(m *machine, forUs int64) {
	m.thawUs = max(m.thawUs, d.nowUs+forUs)
	d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: m.name, Kind: "freeze", FromUs: d.nowUs, ToUs: m.thawUs, Down: true})
}

func (d *routedDay) killControlNode(o *routedControlNode, torn int, forUs int64) {
	o.crash(torn)
	d.at(d.nowUs+forUs, o.start)
}

// remove takes a control node away for good.
func (d *routedDay) remove(o *routedControlNode) {
	o.crash(0)
	o.removed = true
	for i := range d.seen.Core {
		if d.seen.Core[i].Machine == o.name {
			d.seen.Core[i].ToUs = d.nowUs
		}
	}
}

// empty puts an empty control node at a new address beside the others.
func (d *routedDay) empty(zone string) *routedControlNode {
	d.ports++
	fresh := d.addControlNode("core-"+d.newIncarnation(), "core-new:"+d.newIncarnation(), zone, false)
	d.trouble(rules.FaultInterval{Machine: fresh.name, Kind: "start", ToUs: d.nowUs + 1})
	d.list()
	return fresh
}

// replace removes control nodes for good and puts as many empty ones beside the others.
func (d *routedDay) replace(f Fault, gone ...*routedControlNode) bool {
	if !d.spare(gone...) || len(d.springs) > 0 {
		return false
	}
	for _, o := range gone {
		d.remove(o)
		d.at(d.nowUs+min(f.ForUs, 2*sec), func() { d.empty(o.zone) })
	}
	return true
}

// replacePlanned starts the empty control node first, and stops the old one once the new one has caught up.
func (d *routedDay) replacePlanned(f Fault, o *routedControlNode) bool {
	if !d.spare(o) || len(d.springs) > 0 {
		return false
	}
	fresh := d.empty(o.zone)
	var look func()
	look = func() {
		switch {
		case d.handed || !fresh.up || !o.up:
		case !fresh.caughtUp() || !d.spare(o):
			d.at(d.nowUs+200*ms, look)
		default:
			d.count(f)
			d.terminate(o, func() {})
		}
	}
	d.at(d.nowUs+2*sec, look)
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
			d.killControlNode(o, torn, f.ForUs)
		}
	case "freeze-pair":
		d.freeze(&a.machine, f.ForUs)
		d.freeze(&b.machine, f.ForUs)
	case "cut-pair":
		for _, other := range d.controlNodes {
			if other == a || other == b || other.removed {
				continue
			}
			for _, o := range []*routedControlNode{a, b} {
				d.cut(o.name, other.name, f.ForUs)
				d.cut(other.name, o.name, f.ForUs)
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
			d.killControlNode(o, f.N%3, f.ForUs)
		}
	}
	for _, t := range d.gateways {
		if t.zone == zone && t.up {
			t.crash(false)
			d.at(d.nowUs+f.ForUs, t.start)
		}
	}
	for _, p := range d.running("") {
		if p.core.Zone() == zone {
			p.end(true)
			d.at(d.nowUs+f.ForUs, func() { d.successor(p, "") })
		}
	}
}

// afterAck waits for the next acknowledged change: power is lost there, or the disk.
func (d *routedDay) afterAck(f Fault) bool {
	wipe := strings.HasPrefix(f.Kind, "wipe-")
	pair := f.Kind == "wipe-pair-after-ack"
	if len(d.springs) > 0 || (pair && d.tolerated() < 2) {
		return false
	}
	d.springs = append(d.springs, &spring{fault: f, wipe: wipe, act: func(o *routedControlNode) {
		struck := []*routedControlNode{o}
		if other := d.mate(o, f.B); pair && other != nil {
			struck = append(struck, other)
		}
		if !o.up || (wipe && !d.spare(struck...)) {
			return
		}
		d.count(f)
		for _, o := range struck {
			d.note("%s at %s", f.Kind, o.name)
			o.crash(f.N % 4)
			if wipe {
				o.disk = disk{identity: o.name + "-" + d.newIncarnation()}
			}
			d.at(d.nowUs+f.ForUs, o.start)
		}
	}})
	d.ops.do(d.ops.change)
	return true
}
