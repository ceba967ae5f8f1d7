package simulator

import (
	"petreltide/internal/api/configuration"
)

const (
	// strikeUs is how soon after an event its fault strikes.
	strikeUs = 4 * ms
	// awayForCopyUs is how long a machine is away that is to come back by a copy.
	awayForCopyUs = 2 * sec
	// meetUs is how long operators go to a machine that has come back.
	meetUs = 4 * sec
	// floodLeast is how many changes a flood has at least.
	floodLeast = 100
)

// returningFault are faults of a machine of the core that comes back.
func (d *routedDay) returningFault(f Fault, o *routedControlNode) {
	if f.Kind == "power-keeping" {
		d.keepers = append(d.keepers, f)
		d.killControlNode(o, 0, awayForCopyUs)
		return
	}
	awayUs := min(f.ForUs, 2*sec)
	d.killControlNode(o, 0, awayUs)
	d.at(d.nowUs+awayUs+ms, func() {
		if !d.handed && o.up {
			d.metAfterReturn(f, o)
		}
	})
}

// keepsCopy is told how far a control node has come with a copy that it keeps, and strikes at the step that was drawn. Some
// of the names that the copy has changed are lost with the power, each by itself.
func (o *routedControlNode) keepsCopy(step copyStep) {
	d := o.day
	if len(d.keepers) == 0 {
		return
	}
	f := d.keepers[0]
	if step != recordsSynced+copyStep(f.B)%(copySteps-recordsSynced) {
		return
	}
	d.keepers = d.keepers[1:]
	d.count(f)
	d.note("%s loses power as it keeps a copy, step %d", o.name, step)
	d.killControlNode(o, 1+f.N%4, min(f.ForUs, sec))
}

// metAfterReturn lets operators race at a machine that has just come back, while most acknowledgements are lost, and
// replicas of its zone leave soon after.
func (d *routedDay) metAfterReturn(f Fault, o *routedControlNode) {
	met := []*routedControlNode{o}
	d.cutOff.meet, d.cutOff.hard = met, f.B%2 == 0
	d.ops.lost, d.ops.loseUs = f, d.nowUs+meetUs
	for i := range int64(3) {
		d.at(d.nowUs+i*500*ms, func() { d.ops.do(d.ops.race) })
	}
	for i := range int64(2) {
		d.at(d.nowUs+(300+1000*i)*ms, func() { d.drainIn(o.zone, i == 0) })
	}
	d.at(d.nowUs+meetUs, func() {
		if len(d.cutOff.meet) == 1 && d.cutOff.meet[0] == o {
			d.cutOff.meet = nil
		}
		d.cutOff.hard = false
	})
}

// drainIn lets a replica of each service in a zone leave, and another come in its place.
func (d *routedDay) drainIn(zone string, withdraws bool) {
	for _, service := range []string{"cards", "log"} {
		for _, p := range d.running(service) {
			if p.core.Draining || p.core.Zone() != zone {
				continue
			}
			d.fresh(p)
			if withdraws {
				p.withdraw()
			} else {
				p.drain()
			}
			break
		}
	}
}

// herdPower takes the power of all of the core, and of all gateways now and then, right after a replica has accepted an
// order or a gateway a request.
func (d *routedDay) herdPower(f Fault) {
	if f.Kind == "herd-power-work" {
		d.taking = append(d.taking, func(*routedGateway) { d.powerOff(f) })
		return
	}
	d.ordering = append(d.ordering, f)
	d.clients.shift += 2 + f.N%6
}

// orderTaken is told that a replica has accepted an order.
func (d *routedDay) orderTaken() {
	if len(d.ordering) == 0 {
		return
	}
	f := d.ordering[0]
	d.ordering = d.ordering[1:]
	d.at(d.nowUs+d.r.Int63n(strikeUs), func() { d.powerOff(f) })
}

func (d *routedDay) powerOff(f Fault) {
	if d.handed {
		return
	}
	d.count(f)
	d.note("%s: the core loses power", f.Kind)
	awayUs := min(f.ForUs, 2*sec)
	for _, o := range d.upControlNodes() {
		d.killControlNode(o, d.r.Intn(4), awayUs)
	}
	for _, t := range d.gateways {
		if f.B%2 == 0 && t.up {
			t.crash(false)
			d.at(d.nowUs+awayUs, t.start)
		}
	}
}

// flood sends a hundred changes and more, one after the other, while a machine of the core is restarted.
func (d *routedDay) flood(f Fault, o *routedControlNode) {
	changes := floodLeast + 10*f.N
	for range changes {
		d.ops.do(func(done func()) {
			if d.handed {
				done()
				return
			}
			d.ops.change(done)
		})
	}
	d.at(d.nowUs+500*ms, func() { d.killControlNode(o, 0, f.ForUs) })
	before := o.core.Node.State().Version()
	d.at(d.nowUs+f.ForUs+3*sec, func() {
		d.ops.readAt(o, func(doc *configuration.Declaration, ok bool) {
			if ok && doc != nil && doc.Version > before+floodLeast/2 {
				d.count(f)
			}
		})
	})
}

// cutReplica cuts a replica off from the core by a reset, from the core and a third of the gateways, or from a third of
// the gateways alone.
func (d *routedDay) cutReplica(f Fault, p *replicaNode) {
	forUs := f.ForUs + 2*sec
	lost := []string{}
	if f.Kind != "cut-replica-some" {
		for _, o := range d.controlNodes {
			lost = append(lost, o.name)
		}
	}
	for i, t := range d.gateways {
		if f.Kind != "cut-replica-reset" && (i+f.A)%3 == 0 {
			lost = append(lost, t.name)
		}
	}
	for _, name := range lost {
		d.cut(p.name, name, forUs)
		d.cut(name, p.name, forUs)
		if f.Kind == "cut-replica-reset" {
			d.resets(p.name, name, forUs)
		}
	}
}
