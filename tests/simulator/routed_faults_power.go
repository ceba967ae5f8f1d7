package simulator

import (
	"petreltide/internal/api/configuration"
)

const (
	// strikeUs is how soon after an event its fault strikes.
	strikeUs = 4 * millisecond
	// awayForCopyUs is how long a machine is away that is to come back by a copy.
	awayForCopyUs = 2 * second
	// meetUs is how long operators go to a machine that has come back.
	meetUs = 4 * second
	// minFlood is how many changes a flood has at least.
	minFlood = 100
)

// returningFault are faults of a machine of the core that comes back.
func (d *routedDay) returningFault(f Fault, o *routedControlNode) {
	if f.Kind == "power-keeping" {
		d.awaitingSnapshot = append(d.awaitingSnapshot, f)
		d.killControlNode(o, 0, awayForCopyUs)
		return
	}
	awayUs := min(f.DurationUs, 2*second)
	d.killControlNode(o, 0, awayUs)
	d.schedule(d.nowUs+awayUs+millisecond, func() {
		if !d.handed && o.up {
			d.metAfterReturn(f, o)
		}
	})
}

// snapshotStepReached is told how far a control node has come with a copy that it keeps, and strikes at the step that was drawn. Some
// of the names that the copy has changed are lost with the power, each by itself.
func (cn *routedControlNode) snapshotStepReached(step snapshotStep) {
	d := cn.day
	if len(d.awaitingSnapshot) == 0 {
		return
	}
	f := d.awaitingSnapshot[0]
	if step != recordsSynced+snapshotStep(f.B)%(copySteps-recordsSynced) {
		return
	}
	d.awaitingSnapshot = d.awaitingSnapshot[1:]
	d.countFault(f)
	d.logf("%s loses power as it keeps a copy, step %d", cn.name, step)
	d.killControlNode(cn, 1+f.N%4, min(f.DurationUs, second))
}

// metAfterReturn lets operators race at a machine that has just come back, while most acknowledgements are lost, and
// replicas of its zone leave soon after.
func (d *routedDay) metAfterReturn(f Fault, o *routedControlNode) {
	met := []*routedControlNode{o}
	d.partitions.meet, d.partitions.hard = met, f.B%2 == 0
	d.operators.lostAnswerFault, d.operators.loseAnswersUntilUs = f, d.nowUs+meetUs
	for i := range int64(3) {
		d.schedule(d.nowUs+i*500*millisecond, func() { d.operators.do(d.operators.race) })
	}
	for i := range int64(2) {
		d.schedule(d.nowUs+(300+1000*i)*millisecond, func() { d.drainIn(o.zone, i == 0) })
	}
	d.schedule(d.nowUs+meetUs, func() {
		if len(d.partitions.meet) == 1 && d.partitions.meet[0] == o {
			d.partitions.meet = nil
		}
		d.partitions.hard = false
	})
}

// drainIn lets a replica of each service in a zone leave, and another come in its place.
func (d *routedDay) drainIn(zone string, withdraws bool) {
	for _, service := range []string{"cards", "log"} {
		for _, p := range d.running(service) {
			if p.core.Draining || p.core.Zone() != zone {
				continue
			}
			d.replacement(p)
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
	d.awaitingOrder = append(d.awaitingOrder, f)
	d.clients.modelShift += 2 + f.N%6
}

// orderAccepted is told that a replica has accepted an order.
func (d *routedDay) orderAccepted() {
	if len(d.awaitingOrder) == 0 {
		return
	}
	f := d.awaitingOrder[0]
	d.awaitingOrder = d.awaitingOrder[1:]
	d.schedule(d.nowUs+d.random.Int63n(strikeUs), func() { d.powerOff(f) })
}

func (d *routedDay) powerOff(f Fault) {
	if d.handed {
		return
	}
	d.countFault(f)
	d.logf("%s: the core loses power", f.Kind)
	awayUs := min(f.DurationUs, 2*second)
	for _, o := range d.upControlNodes() {
		d.killControlNode(o, d.random.Intn(4), awayUs)
	}
	for _, t := range d.gateways {
		if f.B%2 == 0 && t.up {
			t.crash(false)
			d.schedule(d.nowUs+awayUs, t.start)
		}
	}
}

// flood sends a hundred changes and more, one after the other, while a machine of the core is restarted.
func (d *routedDay) flood(f Fault, o *routedControlNode) {
	changes := minFlood + 10*f.N
	for range changes {
		d.operators.do(func(done func()) {
			if d.handed {
				done()
				return
			}
			d.operators.change(done)
		})
	}
	d.schedule(d.nowUs+500*millisecond, func() { d.killControlNode(o, 0, f.DurationUs) })
	before := o.core.Node.State().Version()
	d.schedule(d.nowUs+f.DurationUs+3*second, func() {
		d.operators.readAt(o, func(doc *configuration.Declaration, ok bool) {
			if ok && doc != nil && doc.Version > before+minFlood/2 {
				d.countFault(f)
			}
		})
	})
}

// partitionReplica cuts a replica off from the core by a reset, from the core and a third of the gateways, or from a third of
// the gateways alone.
func (d *routedDay) partitionReplica(f Fault, p *replicaNode) {
	forUs := f.DurationUs + 2*second
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
		d.blockLink(p.name, name, forUs)
		d.blockLink(name, p.name, forUs)
		if f.Kind == "cut-replica-reset" {
			d.resets(p.name, name, forUs)
		}
	}
}
