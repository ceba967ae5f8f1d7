package simulator

import (
	"slices"
	"strings"

	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

// ailments are the ways in which replicas fail some requests, or all, while they call themselves well.
var ailments = map[string]replica.Ailment{
	"grey-errors": replica.Errs, "grey-shed": replica.Sheds, "grey-busy": replica.Busies, "grey-hang": replica.Hangs, "grey-reset": replica.Resets, "grey-mute": replica.Mutes,
	"grey-one-zone": replica.Errs, "lying-errors": replica.Errs, "lying-hang": replica.Hangs, "lying-reset": replica.Resets, "answer-lost": replica.Loses,
}

// abuseBudgetFault: replicas turn requests away, and clients come back at once and often.
func (d *routedDay) abuseBudgetFault(f Fault, p *replicaNode) bool {
	f.DurationUs += 5 * second
	d.clients.abuse(f)
	f.Kind = "turning-replica"
	d.applyAilment(p, f, func(p *replicaNode) { p.turning = func(n int) bool { return n%5 < 4 } })
	return true
}

// lossy: links lose packets; those of the core as well, so that it is not settled meanwhile.
func (d *routedDay) lossy(f Fault) {
	d.loss = 0.02 + float64(f.N)/200
	for _, o := range d.controlNodes {
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: o.name, Kind: "loss", FromUs: d.nowUs, ToUs: d.nowUs + f.DurationUs, Slow: true})
	}
	for _, t := range d.gateways {
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: t.name, Kind: "loss", FromUs: d.nowUs, ToUs: d.nowUs + f.DurationUs, Slow: true})
	}
	d.schedule(d.nowUs+f.DurationUs, func() { d.loss = 0 })
}

func (d *routedDay) gatewayFault(f Fault, t *routedGateway) bool {
	if !t.up || t.terminating {
		return false
	}
	switch f.Kind {
	case "kill-desk":
		t.crash(false)
		d.schedule(d.nowUs+f.DurationUs, t.start)
	case "herd-kill":
		for i, t := range d.gateways {
			if (i+f.A)%2 == 0 && t.up {
				t.crash(false)
				d.schedule(d.nowUs+f.DurationUs, t.start)
			}
		}
	case "freeze-desk":
		d.freeze(&t.machine, f.DurationUs)
		d.askBeforeThaw(t)
	case "clock-step":
		t.skewUs += int64(f.N) * 500 * millisecond
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: t.name, Kind: "clock", FromUs: d.nowUs, ToUs: d.nowUs})
	case "cut-desk":
		for _, o := range d.controlNodes {
			d.blockLink(o.name, t.name, f.DurationUs)
			d.blockLink(t.name, o.name, f.DurationUs)
		}
	case "roll-desks":
		for i, t := range d.gateways {
			d.schedule(d.nowUs+int64(i)*9*second, func() {
				t.stop(func() { d.schedule(d.nowUs+400*millisecond, t.start) })
			})
		}
	}
	return true
}

func (d *routedDay) replicaFault(f Fault, p *replicaNode, cards []*replicaNode) bool {
	if p.core.Draining || p.withdrawn {
		return false
	}
	switch f.Kind {
	case "leave-first", "late-beat", "late-beat-of-former-life", "reuse-after-drain", "reuse-after-dark", "cut-replica", "cut-replica-reset", "cut-replica-fronts", "cut-replica-some":
		return d.leavingFault(f, p)
	case "crash-replica":
		if logs := d.running("log"); f.B%2 == 1 && len(logs) > 1 {
			p = logs[f.A%len(logs)]
		}
		p.end(true)
		d.schedule(d.nowUs+f.DurationUs, func() { d.successor(p, p.addr) })
	case "lose-replica":
		if len(cards) <= d.plan.CardReplicas-1 {
			return false
		}
		p.end(true)
	case "reuse-address":
		logs := d.running("log")
		if len(logs) < 2 {
			return false
		}
		logs[0].end(true)
		addr := logs[0].addr
		d.schedule(d.nowUs+reuseUs, func() { d.startReplica("reused", "log-b", logs[0].core.Zone(), addr, nil) })
		d.schedule(d.nowUs+4*second, func() { d.successor(logs[0], "") })
	case "dark-replica":
		for _, m := range d.machines() {
			d.blockLink(m, p.name, f.DurationUs)
			d.blockLink(p.name, m, f.DurationUs)
		}
	case "notice", "notice-race":
		p.takeAway(second + f.DurationUs)
		d.schedule(d.nowUs+second+f.DurationUs+500*millisecond, func() { d.replacement(p) })
		if f.Kind == "notice-race" {
			if o, ok := pickOf(d.upControlNodes(), f.B); ok {
				d.killControlNode(o, 0, f.DurationUs)
			}
		}
	case "withdraw":
		d.replacement(p)
		p.withdraw()
	case "scale-in":
		if len(cards) <= d.plan.CardReplicas-1 {
			return false
		}
		p.drain()
	case "release":
		for i, p := range cards {
			d.schedule(d.nowUs+int64(i)*1500*millisecond, func() {
				if p.up && !p.core.Draining {
					d.replacement(p)
					p.drain()
				}
			})
		}
	case "failing-replica":
		d.applyAilment(p, f, func(p *replicaNode) { p.failing = func(n int) bool { return n%5 < 2 } })
	case "turning-replica":
		d.applyAilment(p, f, func(p *replicaNode) { p.turning = func(n int) bool { return n%5 < 3 } })
	case "breaking-replica":
		d.applyAilment(p, f, func(p *replicaNode) { p.breaking = func(n int) bool { return n%3 == 0 } })
	case "grey-errors", "grey-shed", "grey-busy", "grey-hang", "grey-reset", "grey-mute", "grey-one-zone", "lying-errors", "lying-hang", "lying-reset", "answer-lost":
		d.applyAilment(p, f, func(p *replicaNode) { p.ail = d.ailmentFault(f) })
	case "grey-slow":
		d.applyAilment(p, f, func(p *replicaNode) { p.slowFactor = 8 })
	case "drop-idle":
		d.applyAilment(p, f, func(p *replicaNode) { p.dropsIdle = d.once(f) })
	case "flap":
		d.flap(p, f)
	case "unheard-leave":
		d.unheardFault(p, f)
	default:
		panic("no fault " + f.Kind)
	}
	return true
}

// applyAilment makes a replica fail for a while, and with it a replica of short requests, or all of those.
func (d *routedDay) applyAilment(p *replicaNode, f Fault, begin func(*replicaNode)) {
	sick := []*replicaNode{p}
	if f.Kind == "turning-replica" {
		sick = append(sick, append(d.running("log"), d.running("log-b")...)...)
	} else if log, ok := pickOf(d.running("log"), f.A); ok {
		sick = append(sick, log)
	}
	for _, p := range sick {
		begin(p)
	}
	d.schedule(d.nowUs+f.DurationUs, func() {
		for _, p := range sick {
			p.endAilment()
		}
	})
}

// once counts a fault the first time it has an effect.
func (d *routedDay) once(f Fault) func() {
	counted := false
	return func() {
		if !counted {
			counted = true
			d.countFault(f)
		}
	}
}

// ailmentFault is how a replica fails the requests that it is dealt: two in five, or all where it lies, or those of
// one zone's gateways.
func (d *routedDay) ailmentFault(f Fault) func(n int, from string) replica.Ailment {
	struck := d.once(f)
	zone := d.gateways[f.B%len(d.gateways)].zone
	return func(n int, from string) replica.Ailment {
		switch {
		case f.Kind == "grey-one-zone" && !slices.ContainsFunc(d.gateways, func(t *routedGateway) bool { return t.name == from && t.zone == zone }),
			strings.HasPrefix(f.Kind, "grey-") && f.Kind != "grey-one-zone" && n%5 > 1,
			f.Kind == "answer-lost" && n%6 > 0:
			return replica.Sound
		}
		struck()
		return ailments[f.Kind]
	}
}

// flap takes a replica down and up by turns: each time a new incarnation, or the same one that was not to be reached.
func (d *routedDay) flap(p *replicaNode, f Fault) {
	turnUs := 300*millisecond + int64(f.N)*80*millisecond
	for i := range 4 {
		d.schedule(d.nowUs+int64(2*i)*turnUs, func() {
			if f.B%2 == 0 {
				for _, m := range d.machines() {
					d.blockLink(m, p.name, turnUs)
					d.blockLink(p.name, m, turnUs)
				}
				return
			}
			if p.up {
				p.end(true)
				d.schedule(d.nowUs+turnUs, func() { p = d.successor(p, p.addr) })
			}
		})
	}
}

// unheardFault is a replica that leaves, whose word arrives and that hears no answer to it.
func (d *routedDay) unheardFault(p *replicaNode, f Fault) {
	for _, o := range d.controlNodes {
		d.blockLink(o.name, p.name, 10*second)
	}
	p.drain()
	d.schedule(d.nowUs+9500*millisecond, func() {
		if p.departure.AckedUs == 0 && !p.up {
			d.countFault(f)
		}
	})
}

func (d *routedDay) machines() []string {
	names := []string{}
	for _, o := range d.controlNodes {
		names = append(names, o.name)
	}
	for _, t := range d.gateways {
		names = append(names, t.name)
	}
	return names
}

// seeded is a change of a gateway's settings that it was told of.
func (g *routedGateway) seeded() {
	g.day.observed.Terms = append(g.day.observed.Terms, rules.Term{Machine: g.name, AtUs: g.day.nowUs, Hup: true})
	g.reseed(g.day.seeds)
}
