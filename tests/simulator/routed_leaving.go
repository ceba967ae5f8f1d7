package simulator

import "fmt"

const (
	minLateUs   = second
	maxLateUs   = 4 * second
	shortDownUs = 400 * millisecond
	oneWay      = 1
)

// deregisterFirst is a planned end without a word of it before; speaks says whether the replica's heartbeats go on
// meanwhile, as if it stayed.
func (r *replicaNode) deregisterFirst(speaks bool) {
	r.sendsHeartbeats = speaks
	r.withdraw()
}

// sendLateHeartbeat is a heartbeat that a replica has sent now and that a control node reads seconds later, whatever became of
// the replica meanwhile.
func (r *replicaNode) sendLateHeartbeat(f Fault, afterUs int64) {
	d := r.day
	row := r.status()
	d.schedule(d.nowUs+afterUs, func() {
		o, ok := pickOf(d.upControlNodes(), d.random.Intn(100))
		if ok && d.whenAwake(o, func() { o.heartbeat(row, func(bool) {}) }) {
			d.countFault(f)
		}
	})
}

// whenAwake lets a control node that runs act now.
func (d *routedDay) whenAwake(o *routedControlNode, act func()) bool {
	if o.thawUs > d.nowUs {
		return false
	}
	o.deliver(o.boot, act)
	return true
}

func (d *routedDay) lateUs() int64 { return minLateUs + d.random.Int63n(maxLateUs-minLateUs) }

// leavingFault are the ends of replicas that come in an unusual order, and the words that outlive them.
func (d *routedDay) leavingFault(f Fault, p *replicaNode) bool {
	switch f.Kind {
	case "leave-first":
		d.replacement(p)
		p.deregisterFirst(f.B%2 == 0)
	case "late-beat":
		d.replacement(p)
		for range 3 {
			p.sendLateHeartbeat(f, d.lateUs())
		}
		p.deregisterFirst(false)
	case "late-beat-of-former-life":
		// The control nodes forget which incarnations have been, and then hear of one.
		p.sendLateHeartbeat(f, 3*shortDownUs+d.random.Int63n(second))
		p.end(true)
		d.schedule(d.nowUs+shortDownUs/2, func() { d.successor(p, p.addr) })
		d.schedule(d.nowUs+shortDownUs, func() {
			for _, o := range d.upControlNodes() {
				d.killControlNode(o, 0, shortDownUs)
			}
		})
	case "reuse-after-drain":
		return d.reuse(f, func(log *replicaNode) int64 {
			log.drain()
			return d.observed.Bounds.DrainUs + 9*second
		})
	case "reuse-after-dark":
		return d.reuse(f, func(log *replicaNode) int64 {
			for _, m := range d.machines() {
				d.blockLink(m, log.name, 2*second)
				d.blockLink(log.name, m, 2*second)
			}
			d.schedule(d.nowUs+2*second, func() { log.end(true) })
			return 2 * second
		})
	case "cut-replica-reset", "cut-replica-fronts", "cut-replica-some":
		d.partitionReplica(f, p)
	case "cut-replica":
		for _, o := range d.controlNodes {
			d.blockLink(p.name, o.name, f.DurationUs+2*second)
			if f.B%3 != oneWay {
				d.blockLink(o.name, p.name, f.DurationUs+2*second)
			}
		}
	}
	return true
}

// reuse ends a replica of short requests in some way, which says how long it takes at most; then its address goes to
// another service.
func (d *routedDay) reuse(f Fault, end func(*replicaNode) int64) bool {
	logs := d.running("log")
	if len(logs) < 2 || logs[0].core.Draining || logs[0].withdrawn {
		return false
	}
	log := logs[0]
	endUs := d.nowUs + end(log)
	var look func()
	look = func() {
		switch {
		case log.up && d.nowUs < endUs+second:
			d.schedule(d.nowUs+100*millisecond, look)
		case !log.up:
			d.schedule(d.nowUs+reuseUs, func() {
				d.countFault(f)
				d.startReplica("reused", "log-b", log.core.Zone(), log.addr, nil)
			})
			d.schedule(d.nowUs+4*second, func() { d.successor(log, "") })
		}
	}
	look()
	return true
}

// checkOpenAttempts notes which gateways count more attempts as open than run, as the day ends.
func (d *routedDay) checkOpenAttempts() {
	for _, g := range d.gateways {
		if !g.up {
			continue
		}
		running := 0
		for _, x := range g.open {
			if x.current != nil {
				running++
			}
		}
		d.observed.Released++
		if open := g.decider.OpenAttempts(); open > running {
			d.observed.Unreleased = append(d.observed.Unreleased, fmt.Sprintf("%s counts %d, %d run", g.name, open, running))
		}
	}
}

// checkKnownReplicas notes which replicas that have spoken for a while each gateway knows, as the day ends.
func (d *routedDay) checkKnownReplicas() {
	for _, t := range d.gateways {
		if !t.up || t.terminating || t.snapshot == nil {
			continue
		}
		for _, p := range d.running("") {
			if p.withdrawn || p.core.Draining || p.startedUs > d.nowUs-knownUs {
				continue
			}
			d.observed.Known++
			if t.snapshot.Replicas[p.name] == nil {
				d.observed.Unknown = append(d.observed.Unknown, p.name+" at "+t.name)
			}
		}
	}
}

// knownUs is how long after its start a replica that speaks must be known everywhere.
const knownUs = 6 * second
