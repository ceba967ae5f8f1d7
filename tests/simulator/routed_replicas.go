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
	day         *routedDay
	core        *replica.Core
	host        string
	sequence    uint64
	wakeUs      int64
	startedUs   int64
	connections map[uint64]*attempt
	departure   *rules.Deregistration
	departsUs   int64
	// withdrawn replicas have said that they are gone, and serve on for a while; those that speak go on with
	// their heartbeats all the same.
	withdrawn bool
	// servesOnUs is how long this replica goes on serving after its leaving was acknowledged; 0 is the usual time.
	servesOnUs int64
	// onLeavingAcknowledged is called once its leaving is acknowledged.
	onLeavingAcknowledged func()
	sendsHeartbeats       bool
	failing               func(int) bool
	turning               func(int) bool
	breaking              func(int) bool
	ail                   func(n int, from string) replica.Ailment
	slowFactor            int64
	// dropsIdle is called when something is sent on an idle connection that the replica discarded in silence.
	dropsIdle func()
}

// startReplica starts a replica under an address of its own, or under one that was another's.
func (d *routedDay) startReplica(host, service, zone, addr string, holds []string) *replicaNode {
	d.incarnations++
	if addr == "" {
		d.ports++
		addr = fmt.Sprintf("%s:%d", host, d.ports)
	}
	id := fmt.Sprintf("i-%d", d.incarnations)
	p := &replicaNode{machine: machine{sim: d.DeclaredDay, name: id, addr: addr, up: true, boot: 1}, day: d, host: host, startedUs: d.nowUs, connections: map[uint64]*attempt{}}
	if d.disks[host] == nil {
		d.disks[host] = replica.NewDisk()
	}
	opts := replica.Options{
		ID: id, Service: service, Addr: addr, Zone: zone, Release: "v1", Slots: 6, Queue: 24, WorkUs: 60 * millisecond, Store: d.store, Disk: d.disks[host], Holds: holds,
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
		Slow: func() int64 { return p.slowFactor },
		Journal: replica.Journal{
			Arrived: func(a *replica.Arrival) { d.observed.Arrivals = append(d.observed.Arrivals, a) },
			Ordered: func(o replica.OrderSeen) { d.observed.Orders = append(d.observed.Orders, o) },
			Loading: func(l replica.LoadSeen) { d.observed.Loads = append(d.observed.Loads, l) },
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
	p.after(d.random.Int63n(200*millisecond), p.tick)
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

func (r *replicaNode) status() registry.ReplicaStatus {
	r.sequence++
	row := registry.ReplicaStatus{
		ID: r.name, Service: r.core.Service(), Addr: r.addr, Zone: r.core.Zone(), Release: "v1", Slots: 6, Draining: r.core.Draining && !r.withdrawn, Seq: r.sequence,
	}
	if r.core.Service() == "cards" {
		row.Slots = r.day.engine.Slots
		if row.Units = r.core.Units(); len(row.Units) == 0 {
			row.Units = nil
		}
	}
	if r.departsUs > 0 {
		row.RemainingMs = max(1, (r.departsUs-r.day.nowUs)/1000)
	}
	return row
}

func (r *replicaNode) tick() {
	if !r.withdrawn || r.sendsHeartbeats {
		r.sendHeartbeat(0)
	}
	r.after(heartbeatUs-100*millisecond+r.day.random.Int63n(200*millisecond), r.tick)
}

// sendHeartbeat calls one machine that serves control, and the next where no acknowledgement comes.
func (r *replicaNode) sendHeartbeat(try int) {
	d := r.day
	o := d.controlNodeFor(r, try)
	over := false
	again := func() {
		if over {
			return
		}
		over = true
		r.after(millisecond, func() {
			if try < 6 {
				r.sendHeartbeat(try + 1)
			}
		})
	}
	if o == nil {
		again()
		return
	}
	if d.plan.Plant == "mute" && r.core.Draining {
		return
	}
	row := r.status()
	r.after(second, again)
	d.transmit(&r.machine, &o.machine, second, func() {
		o.heartbeat(row, func(ok bool) {
			d.transmit(&o.machine, &r.machine, second, func() {
				switch {
				case over:
				case !ok:
					again()
				default:
					over = true
					r.acknowledged(row, o)
				}
			}, again)
		})
	}, again)
}

// acknowledged is a control node's 2xx to a heartbeat.
func (r *replicaNode) acknowledged(row registry.ReplicaStatus, o *routedControlNode) {
	if !row.Draining || r.departure == nil || r.departure.AckedUs > 0 {
		return
	}
	r.departure.AckedUs, r.departure.Machine = r.day.nowUs, o.name
	r.leavingAcknowledged()
	if r.departsUs == 0 {
		r.after(r.servesOn(), r.deregister)
	}
}

// servesOn is how long this replica goes on serving after its leaving was acknowledged.
func (r *replicaNode) servesOn() int64 {
	return max(r.servesOnUs, r.day.observed.Bounds.DrainUs+300*millisecond)
}

func (r *replicaNode) leavingAcknowledged() {
	if r.onLeavingAcknowledged != nil {
		r.onLeavingAcknowledged()
	}
}

// drain is a planned end: it says so, serves on for a while after the acknowledgement, and ends.
func (r *replicaNode) drain() {
	if r.core.Draining || !r.up {
		return
	}
	r.core.Draining = true
	r.departure = &rules.Deregistration{Replica: r.name, AnnouncedUs: r.day.nowUs}
	r.day.observed.Deregistrations = append(r.day.observed.Deregistrations, r.departure)
	r.sendHeartbeat(0)
	r.after(9*second+r.servesOnUs, r.deregister)
}

// takeAway is a short notice: once the time is up it is gone, whatever it is running.
func (r *replicaNode) takeAway(leftUs int64) {
	r.departsUs = r.day.nowUs + leftUs
	r.drain()
	r.after(leftUs, func() { r.end(false) })
}

// withdraw is a planned end without a word of draining: the replica says first that it is gone, serves on for a
// while after the acknowledgement, and ends.
func (r *replicaNode) withdraw() {
	if r.core.Draining || !r.up {
		return
	}
	r.core.Draining, r.withdrawn = true, true
	r.departure = &rules.Deregistration{Replica: r.name, AnnouncedUs: r.day.nowUs}
	r.day.observed.Deregistrations = append(r.day.observed.Deregistrations, r.departure)
	r.sendDeregistration(0)
	r.after(9*second+r.servesOnUs, func() { r.end(false) })
}

// sendDeregistration calls one machine that serves control, and the next where no acknowledgement comes within a second.
func (r *replicaNode) sendDeregistration(try int) {
	d := r.day
	over := false
	again := func() {
		if !over {
			over = true
			r.after(millisecond, func() {
				if try < 6 {
					r.sendDeregistration(try + 1)
				}
			})
		}
	}
	r.after(second, again)
	o := d.controlNodeFor(r, try)
	if o == nil {
		return
	}
	d.transmit(&r.machine, &o.machine, second, func() {
		o.stepWithReply(r.deregistration, func(ok bool) {
			d.transmit(&o.machine, &r.machine, second, func() {
				switch {
				case over:
				case !ok:
					again()
				default:
					over = true
					r.departure.AckedUs, r.departure.Machine = d.nowUs, o.name
					r.leavingAcknowledged()
					r.after(r.servesOn(), func() { r.end(false) })
				}
			}, again)
		})
	}, again)
}

// deregistration is the event of this incarnation's end, whose acknowledgement is awaited under a number.
func (r *replicaNode) deregistration(reply uint64) controlnode.Event {
	return controlnode.ReplicaDeregistration{ID: r.name, ReplyID: reply}
}

func (r *replicaNode) deregister() {
	d := r.day
	addrs := d.currentSeeds()
	if o := d.controlNodeAt(addrs[(d.random.Intn(len(addrs)))]); o != nil {
		d.transmit(&r.machine, &o.machine, second, func() { o.stepWithReply(r.deregistration, func(bool) {}) }, func() {})
	}
	r.after(5*millisecond, func() { r.end(false) })
}

// end takes the incarnation away: what runs is broken off.
func (r *replicaNode) end(crashed bool) {
	if !r.up {
		return
	}
	d := r.day
	if r.departure != nil && crashed {
		r.departure.Crashed = true
	}
	if crashed || r.departsUs > 0 {
		d.observed.Faults = append(d.observed.Faults, rules.FaultInterval{Machine: r.name, Kind: "crash", FromUs: d.nowUs, ToUs: rules.Open, Down: true})
	}
	if r.departure != nil {
		r.departure.RemovedUs = d.nowUs
	}
	r.applyEffects(r.core.Kill(d.nowUs))
	r.up = false
}

func (r *replicaNode) applyEffects(effects []replica.Effect) {
	for _, e := range effects {
		l := r.connections[e.Conn]
		if l == nil {
			continue
		}
		if e.End || e.Broken {
			delete(r.connections, e.Conn)
		}
		if e.Broken {
			l.reset()
			continue
		}
		l.fromReplica.send(func() { l.onEffect(e) })
	}
}

func (r *replicaNode) wake() {
	nextUs := r.core.NextUs()
	if nextUs == 0 || (r.wakeUs > r.day.nowUs && r.wakeUs <= nextUs) {
		return
	}
	r.wakeUs = max(nextUs, r.day.nowUs+1)
	atUs := r.wakeUs
	r.day.schedule(atUs, func() {
		r.deliver(r.boot, func() {
			if r.wakeUs == atUs {
				r.wakeUs = 0
			}
			r.applyEffects(r.core.Step(r.day.nowUs))
			r.wake()
		})
	})
}

func (r *replicaNode) receive(l *attempt, ask replica.Ask) {
	r.connections[l.connection] = l
	r.applyEffects(r.core.Take(r.day.nowUs, l.connection, ask))
	r.wake()
}

func (r *replicaNode) connectionClosed(conn uint64) {
	if r.connections[conn] == nil {
		return
	}
	delete(r.connections, conn)
	r.applyEffects(r.core.Gone(r.day.nowUs, conn))
	r.wake()
}

// endAilment ends all that ails a replica.
func (r *replicaNode) endAilment() {
	r.failing, r.turning, r.breaking, r.ail, r.slowFactor, r.dropsIdle = nil, nil, nil, nil, 0, nil
}

// takeOrder takes an order; one beyond what it can hold fells it.
func (r *replicaNode) takeOrder(o replica.Order) int {
	status := r.core.Order(r.day.nowUs, o)
	if r.core.Fallen {
		r.end(true)
		return http.StatusAccepted
	}
	r.wake()
	return status
}

// successor is the next incarnation on the same machine, empty but for its disk.
func (d *routedDay) successor(p *replicaNode, addr string) *replicaNode {
	return d.startReplica(p.host, p.core.Service(), p.core.Zone(), addr, nil)
}

// replacement is a replica on another machine in another's place, with nothing on its disk.
func (d *routedDay) replacement(p *replicaNode) *replicaNode {
	return d.startReplica(p.host+"'", p.core.Service(), p.core.Zone(), "", nil)
}
