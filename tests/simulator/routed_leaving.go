package simulator

const (
	lateLeastUs = sec
	lateMostUs  = 4 * sec
	shortDownUs = 400 * ms
	oneWay      = 1
)

// leaveFirst is a planned end without a word of it before; speaks says whether the replica's heartbeats go on
// meanwhile, as if it stayed.
func (p *replicaNode) leaveFirst(speaks bool) {
	p.speaks = speaks
	p.withdraw()
}

// lateBeat is a heartbeat that a replica has sent now and that a control node reads seconds later, whatever became of
// the replica meanwhile.
func (p *replicaNode) lateBeat(f Fault, afterUs int64) {
	d := p.day
	row := p.row()
	d.at(d.nowUs+afterUs, func() {
		o, ok := pickOf(d.upControlNodes(), d.r.Intn(100))
		if ok && d.taken(o, func() { o.heard(row, func(bool) {}) }) {
			d.count(f)
		}
	})
}

// taken lets a control node that runs act now.
func (d *routedDay) taken(o *routedControlNode, act func()) bool {
	if o.thawUs > d.nowUs {
		return false
	}
	o.now(o.boot, act)
	return true
}

func (d *routedDay) lateUs() int64 { return lateLeastUs + d.r.Int63n(lateMostUs-lateLeastUs) }

// leavingFault are the ends of replicas that come in an unusual order, and the words that outlive them.
func (d *routedDay) leavingFault(f Fault, p *replicaNode) bool {
	switch f.Kind {
	case "leave-first":
		d.fresh(p)
		p.leaveFirst(f.B%2 == 0)
	case "late-beat":
		d.fresh(p)
		for range 3 {
			p.lateBeat(f, d.lateUs())
		}
		p.leaveFirst(false)
	case "late-beat-of-former-life":
		// The control nodes forget which incarnations have been, and then hear of one.
		p.lateBeat(f, 3*shortDownUs+d.r.Int63n(sec))
		p.end(true)
		d.at(d.nowUs+shortDownUs/2, func() { d.successor(p, p.addr) })
		d.at(d.nowUs+shortDownUs, func() {
			for _, o := range d.upControlNodes() {
				d.killControlNode(o, 0, shortDownUs)
			}
		})
	case "reuse-after-drain":
		return d.reuse(f, func(log *replicaNode) int64 {
			log.drain()
			return d.seen.Bounds.DrainUs + 9*sec
		})
	case "reuse-after-dark":
		return d.reuse(f, func(log *replicaNode) int64 {
			for _, m := range d.machines() {
				d.cut(m, log.name, 2*sec)
				d.cut(log.name, m, 2*sec)
			}
			d.at(d.nowUs+2*sec, func() { log.end(true) })
			return 2 * sec
		})
	case "cut-replica-reset", "cut-replica-fronts", "cut-replica-some":
		d.cutReplica(f, p)
	case "cut-replica":
		for _, o := range d.controlNodes {
			d.cut(p.name, o.name, f.ForUs+2*sec)
			if f.B%3 != oneWay {
				d.cut(o.name, p.name, f.ForUs+2*sec)
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
		case log.up && d.nowUs < endUs+sec:
			d.at(d.nowUs+100*ms, look)
		case !log.up:
			d.at(d.nowUs+reuseUs, func() {
				d.count(f)
				d.startReplica("reused", "log-b", log.core.Zone(), log.addr, nil)
			})
			d.at(d.nowUs+4*sec, func() { d.successor(log, "") })
		}
	}
	look()
	return true
}

// known notes which replicas that have spoken for a while each gateway knows, as the day ends.
func (d *routedDay) known() {
	for _, t := range d.gateways {
		if !t.up || t.term || t.snap == nil {
			continue
		}
		for _, p := range d.running("") {
			if p.withdrawn || p.core.Draining || p.bornUs > d.nowUs-knownUs {
				continue
			}
			d.seen.Known++
			if t.snap.Replicas[p.name] == nil {
				d.seen.Unknown = append(d.seen.Unknown, p.name+" at "+t.name)
			}
		}
	}
}

// knownUs is how long after its start a replica that speaks must be known everywhere.
const knownUs = 6 * sec
