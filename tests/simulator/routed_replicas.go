package simulator

import (
	"fmt"
	"net/http"

	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/controlplane/registry"
	"petreltide/tests/platform/replica"
	"petreltide/tests/rules"
)

// replicaNode is one incarnation of a replica: the machine is named by the incarnation's id, host by what lasts.
type replicaNode struct {
	machine
	day      *routedDay
	core     *replica.Core
	host     string
	seq      uint64
	wakeUs   int64
	bornUs   int64
	conns    map[uint64]*attempt
	leave    *rules.Deregistration
	leavesUs int64
	// withdrawn replicas have said that they are gone, and serve on for a while; those that speak go on with
	// their heartbeats all the same.
	withdrawn bool
	speaks    bool
	failing   func(int) bool
	turning   func(int) bool
	breaking  func(int) bool
	ail       func(n int, from string) replica.Ailment
	slowX     int64
	// dropsIdle is called when something is sent on an idle connection that the replica discarded in silence.
	dropsIdle func()
}

// startReplica starts a replica under an address of its own, or under one that was another's.
func (d *routedDay) startReplica(host, service, zone, addr string, holds []string) *replicaNode {
	d.lives++
	if addr == "" {
		d.ports++
		addr = fmt.Sprintf("%s:%d", host, d.ports)
	}
	id := fmt.Sprintf("i-%d", d.lives)
	p := &replicaNode{machine: machine{sim: d.Sim, name: id, addr: addr, up: true, boot: 1}, day: d, host: host, bornUs: d.nowUs, conns: map[uint64]*attempt{}}
	if d.disks[host] == nil {
		d.disks[host] = replica.NewDisk()
	}
	opts := replica.Options{
		ID: id, Service: service, Addr: addr, Zone: zone, Release: "v1", Slots: 6, Queue: 24, WorkUs: 60 * ms, Store: d.store, Disk: d.disks[host], Holds: holds,
		Anyone: d.plan.Plant == "anyone",
		Fail:   func(n int) bool { return p.failing != nil && p.failing(n) },
		Turn:   func(n int) bool { return p.turning != nil && p.turning(n) },
		Break:  func(n int) bool { return p.breaking != nil && p.breaking(n) },
		Ail: func(n int, from string) replica.Ailment {
			if p.ail == nil {
				return replica.Sound
			}
			return p.ail(n, from)
		},
		Slow: func() int64 { return p.slowX },
		Journal: replica.Journal{
			Arrived: func(a *replica.Arrival) { d.seen.Arrivals = append(d.seen.Arrivals, a) },
			Ordered: func(o replica.OrderSeen) { d.seen.Orders = append(d.seen.Orders, o) },
			Loading: func(l replica.LoadSeen) { d.seen.Loads = append(d.seen.Loads, l) },
		},
	}
	if service == "cards" {
		opts.Engine = replica.EngineOf(d.engine)
		opts.Slots, opts.Queue = d.engine.Slots, 3*d.engine.Slots
		if d.plan.Plant == "narrow" {
			opts.Engine.RoomMb /= 2
		}
	}
	p.core = replica.NewCore(opts)
	d.replicas[id] = p
	p.later(d.r.Int63n(200*ms), p.beat)
	return p
}

func (d *routedDay) replicaAt(addr string) *replicaNode {
	for _, p := range d.replicas {
		if p.up && p.addr == addr {
			return p
		}
	}
	return nil
}

func (p *replicaNode) row() registry.ReplicaStatus {
	p.seq++
	row := registry.ReplicaStatus{
		ID: p.name, Service: p.core.Service(), Addr: p.addr, Zone: p.core.Zone(), Release: "v1", Slots: 6, Draining: p.core.Draining && !p.withdrawn, Seq: p.seq,
	}
	if p.core.Service() == "cards" {
		row.Slots = p.day.engine.Slots
		if row.Units = p.core.Units(); len(row.Units) == 0 {
			row.Units = nil
		}
	}
	if p.leavesUs > 0 {
		row.RemainingMs = max(1, (p.leavesUs-p.day.nowUs)/1000)
	}
	return row
}

func (p *replicaNode) beat() {
	if !p.withdrawn || p.speaks {
		p.say(0)
	}
	p.later(heartbeatUs-100*ms+p.day.r.Int63n(200*ms), p.beat)
}

// say calls one machine that serves control, and the next where no acknowledgement comes.
func (p *replicaNode) say(try int) {
	d := p.day
	o := d.controlNodeFor(p, try)
	over := false
	again := func() {
		if over {
			return
		}
		over = true
		p.later(ms, func() {
			if try < 6 {
				p.say(try + 1)
			}
		})
	}
	if o == nil {
		again()
		return
	}
	if d.plan.Plant == "mute" && p.core.Draining {
		return
	}
	row := p.row()
	p.later(sec, again)
	d.carry(&p.machine, &o.machine, sec, func() {
		o.heard(row, func(ok bool) {
			d.carry(&o.machine, &p.machine, sec, func() {
				switch {
				case over:
				case !ok:
					again()
				default:
					over = true
					p.acknowledged(row, o)
				}
			}, again)
		})
	}, again)
}

// acknowledged is a control node's 2xx to a heartbeat.
func (p *replicaNode) acknowledged(row registry.ReplicaStatus, o *routedControlNode) {
	if !row.Draining || p.leave == nil || p.leave.AckedUs > 0 {
		return
	}
	p.leave.AckedUs, p.leave.Machine = p.day.nowUs, o.name
	if p.leavesUs == 0 {
		p.later(p.day.seen.Bounds.DrainUs+300*ms, p.deregister)
	}
}

// drain is a planned end: it says so, serves on for a while after the acknowledgement, and ends.
func (p *replicaNode) drain() {
	if p.core.Draining || !p.up {
		return
	}
	p.core.Draining = true
	p.leave = &rules.Deregistration{Replica: p.name, AnnouncedUs: p.day.nowUs}
	p.day.seen.Deregistrations = append(p.day.seen.Deregistrations, p.leave)
	p.say(0)
	p.later(9*sec, p.deregister)
}

// taken is a short notice: once the time is up it is gone, whatever it is running.
func (p *replicaNode) taken(leftUs int64) {
	p.leavesUs = p.day.nowUs + leftUs
	p.drain()
	p.later(leftUs, func() { p.end(false) })
}

// withdraw is a planned end without a word of draining: the replica says first that it is gone, serves on for a
// while after the acknowledgement, and ends.
func (p *replicaNode) withdraw() {
	if p.core.Draining || !p.up {
		return
	}
	p.core.Draining, p.withdrawn = true, true
	p.leave = &rules.Deregistration{Replica: p.name, AnnouncedUs: p.day.nowUs}
	p.day.seen.Deregistrations = append(p.day.seen.Deregistrations, p.leave)
	p.sayGone(0)
	p.later(9*sec, func() { p.end(false) })
}

// sayGone calls one machine that serves control, and the next where no acknowledgement comes within a second.
func (p *replicaNode) sayGone(try int) {
	d := p.day
	over := false
	again := func() {
		if !over {
			over = true
			p.later(ms, func() {
				if try < 6 {
					p.sayGone(try + 1)
				}
			})
		}
	}
	p.later(sec, again)
	o := d.controlNodeFor(p, try)
	if o == nil {
		return
	}
	d.carry(&p.machine, &o.machine, sec, func() {
		o.word(p.deregistration, func(ok bool) {
			d.carry(&o.machine, &p.machine, sec, func() {
				switch {
				case over:
				case !ok:
					again()
				default:
					over = true
					p.leave.AckedUs, p.leave.Machine = d.nowUs, o.name
					p.later(d.seen.Bounds.DrainUs+300*ms, func() { p.end(false) })
				}
			}, again)
		})
	}, again)
}

// deregistration is the event of this incarnation's end, whose acknowledgement is awaited under a number.
func (p *replicaNode) deregistration(reply uint64) controlnode.Event {
	return controlnode.ReplicaDeregistration{ID: p.name, Reply: reply}
}

func (p *replicaNode) deregister() {
	d := p.day
	addrs := d.listedNow()
	if o := d.controlNodeAt(addrs[(d.r.Intn(len(addrs)))]); o != nil {
		d.carry(&p.machine, &o.machine, sec, func() { o.word(p.deregistration, func(bool) {}) }, func() {})
	}
	p.later(5*ms, func() { p.end(false) })
}

// end takes the incarnation away: what runs is broken off.
func (p *replicaNode) end(crashed bool) {
	if !p.up {
		return
	}
	d := p.day
	if p.leave != nil && crashed {
		p.leave.Crashed = true
	}
	if crashed || p.leavesUs > 0 {
		d.seen.Faults = append(d.seen.Faults, rules.FaultInterval{Machine: p.name, Kind: "crash", FromUs: d.nowUs, ToUs: rules.Open, Down: true})
	}
	if p.leave != nil {
		p.leave.RemovedUs = d.nowUs
	}
	p.pass(p.core.Kill(d.nowUs))
	p.up = false
}

func (p *replicaNode) pass(effects []replica.Effect) {
	for _, e := range effects {
		l := p.conns[e.Conn]
		if l == nil {
			continue
		}
		if e.End || e.Broken {
			delete(p.conns, e.Conn)
		}
		if e.Broken {
			l.reset()
			continue
		}
		l.down.send(func() { l.got(e) })
	}
}

func (p *replicaNode) wake() {
	nextUs := p.core.NextUs()
	if nextUs == 0 || (p.wakeUs > p.day.nowUs && p.wakeUs <= nextUs) {
		return
	}
	p.wakeUs = max(nextUs, p.day.nowUs+1)
	atUs := p.wakeUs
	p.day.at(atUs, func() {
		p.now(p.boot, func() {
			if p.wakeUs == atUs {
				p.wakeUs = 0
			}
			p.pass(p.core.Step(p.day.nowUs))
			p.wake()
		})
	})
}

func (p *replicaNode) take(l *attempt, ask replica.Ask) {
	p.conns[l.conn] = l
	p.pass(p.core.Take(p.day.nowUs, l.conn, ask))
	p.wake()
}

func (p *replicaNode) gone(conn uint64) {
	if p.conns[conn] == nil {
		return
	}
	delete(p.conns, conn)
	p.pass(p.core.Gone(p.day.nowUs, conn))
	p.wake()
}

// well ends all that ails a replica.
func (p *replicaNode) well() {
	p.failing, p.turning, p.breaking, p.ail, p.slowX, p.dropsIdle = nil, nil, nil, nil, 0, nil
}

// ordered takes an order; one beyond what it can hold fells it.
func (p *replicaNode) ordered(o replica.Order) int {
	status := p.core.Order(p.day.nowUs, o)
	if p.core.Fallen {
		p.end(true)
		return http.StatusAccepted
	}
	p.wake()
	return status
}

// successor is the next incarnation on the same machine, empty but for its disk.
func (d *routedDay) successor(p *replicaNode, addr string) *replicaNode {
	return d.startReplica(p.host, p.core.Service(), p.core.Zone(), addr, nil)
}

// fresh is a replica on another machine in another's place, with nothing on its disk.
func (d *routedDay) fresh(p *replicaNode) *replicaNode {
	return d.startReplica(p.host+"'", p.core.Service(), p.core.Zone(), "", nil)
}
