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

// abused: replicas turn requests away, and clients come back at once and often.
func (d *routedDay) abused(f Fault, p *replicaNode) bool {
	f.ForUs += 5 * sec
	d.clients.abuse(f)
	f.Kind = "turning-replica"
	d.ill(p, f, func(p *replicaNode) { p.turning = func(n int) bool { return n%5 < 4 } })
	return true
}

// lossy: links lose packets; those of the core as well, so that it is not settled meanwhile.
func (d *routedDay) lossy(f Fault) {
	d.loss = 0.02 + float64(f.N)/200
	for _, o := range d.controlNodes {
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: o.name, Kind: "loss", FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	}
	for _, t := range d.gateways {
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: t.name, Kind: "loss", FromUs: d.nowUs, ToUs: d.nowUs + f.ForUs, Slow: true})
	}
	d.at(d.nowUs+f.ForUs, func() { d.loss = 0 })
}

func (d *routedDay) gatewayFault(f Fault, t *routedGateway) bool {
	if !t.up || t.term {
		return false
	}
	switch f.Kind {
	case "kill-desk":
		t.crash(false)
		d.at(d.nowUs+f.ForUs, t.start)
	case "herd-kill":
		for i, t := range d.gateways {
			if (i+f.A)%2 == 0 && t.up {
				t.crash(false)
				d.at(d.nowUs+f.ForUs, t.start)
			}
		}
	case "freeze-desk":
		d.freeze(&t.machine, f.ForUs)
	case "clock-step":
		t.skewUs += int64(f.N) * 500 * ms
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: t.name, Kind: "clock", FromUs: d.nowUs, ToUs: d.nowUs})
	case "cut-desk":
		for _, o := range d.controlNodes {
			d.cut(o.name, t.name, f.ForUs)
			d.cut(t.name, o.name, f.ForUs)
		}
	case "roll-desks":
		for i, t := range d.gateways {
			d.at(d.nowUs+int64(i)*9*sec, func() {
				t.stop(func() { d.at(d.nowUs+400*ms, t.start) })
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
		d.at(d.nowUs+f.ForUs, func() { d.successor(p, p.addr) })
	case "lose-replica":
		if len(cards) <= d.plan.Cards-1 {
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
		d.at(d.nowUs+reuseUs, func() { d.startReplica("reused", "log-b", logs[0].core.Zone(), addr, nil) })
		d.at(d.nowUs+4*sec, func() { d.successor(logs[0], "") })
	case "dark-replica":
		for _, m := range d.machines() {
			d.cut(m, p.name, f.ForUs)
			d.cut(p.name, m, f.ForUs)
		}
	case "notice", "notice-race":
		p.taken(sec + f.ForUs)
		d.at(d.nowUs+sec+f.ForUs+500*ms, func() { d.fresh(p) })
		if f.Kind == "notice-race" {
			if o, ok := pickOf(d.upControlNodes(), f.B); ok {
				d.killControlNode(o, 0, f.ForUs)
			}
		}
	case "withdraw":
		d.fresh(p)
		p.withdraw()
	case "scale-in":
		if len(cards) <= d.plan.Cards-1 {
			return false
		}
		p.drain()
	case "release":
		for i, p := range cards {
			d.at(d.nowUs+int64(i)*1500*ms, func() {
				if p.up && !p.core.Draining {
					d.fresh(p)
					p.drain()
				}
			})
		}
	case "failing-replica":
		d.ill(p, f, func(p *replicaNode) { p.failing = func(n int) bool { return n%5 < 2 } })
	case "turning-replica":
		d.ill(p, f, func(p *replicaNode) { p.turning = func(n int) bool { return n%5 < 3 } })
	case "breaking-replica":
		d.ill(p, f, func(p *replicaNode) { p.breaking = func(n int) bool { return n%3 == 0 } })
	case "grey-errors", "grey-shed", "grey-busy", "grey-hang", "grey-reset", "grey-mute", "grey-one-zone", "lying-errors", "lying-hang", "lying-reset", "answer-lost":
		d.ill(p, f, func(p *replicaNode) { p.ail = d.ailing(f) })
	case "grey-slow":
		d.ill(p, f, func(p *replicaNode) { p.slowX = 8 })
	case "drop-idle":
		d.ill(p, f, func(p *replicaNode) { p.dropsIdle = d.once(f) })
	case "flap":
		d.flap(p, f)
	case "unheard-leave":
		d.unheard(p, f)
	default:
		panic("no fault " + f.Kind)
	}
	return true
}

// ill makes a replica fail for a while, and with it a replica of short requests, or all of those.
func (d *routedDay) ill(p *replicaNode, f Fault, begin func(*replicaNode)) {
	sick := []*replicaNode{p}
	if f.Kind == "turning-replica" {
		sick = append(sick, append(d.running("log"), d.running("log-b")...)...)
	} else if log, ok := pickOf(d.running("log"), f.A); ok {
		sick = append(sick, log)
	}
	for _, p := range sick {
		begin(p)
	}
	d.at(d.nowUs+f.ForUs, func() {
		for _, p := range sick {
			p.well()
		}
	})
}

// once counts a fault the first time it has an effect.
func (d *routedDay) once(f Fault) func() {
	counted := false
	return func() {
		if !counted {
			counted = true
			d.count(f)
		}
	}
}

// ailing is how a replica fails the requests that it is dealt: two in five, or all where it lies, or those of
// one zone's gateways.
func (d *routedDay) ailing(f Fault) func(n int, from string) replica.Ailment {
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
	turnUs := 300*ms + int64(f.N)*80*ms
	for i := range 4 {
		d.at(d.nowUs+int64(2*i)*turnUs, func() {
			if f.B%2 == 0 {
				for _, m := range d.machines() {
					d.cut(m, p.name, turnUs)
					d.cut(p.name, m, turnUs)
				}
				return
			}
			if p.up {
				p.end(true)
				d.at(d.nowUs+turnUs, func() { p = d.successor(p, p.addr) })
			}
		})
	}
}

// unheard is a replica that leaves, whose word arrives and that hears no answer to it.
func (d *routedDay) unheard(p *replicaNode, f Fault) {
	for _, o := range d.controlNodes {
		d.cut(o.name, p.name, 10*sec)
	}
	p.drain()
	d.at(d.nowUs+9500*ms, func() {
		if p.leave.AckedUs == 0 && !p.up {
			d.count(f)
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
func (t *routedGateway) seeded() {
	t.day.seen.Terms = append(t.day.seen.Terms, rules.Term{Machine: t.name, AtUs: t.day.nowUs, Hup: true})
	t.reseed(t.day.seeds)
}
