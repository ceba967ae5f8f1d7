package simulator

import (
	"petreltide/tests/rules"
)

// heal ends every fault: all machines are back and every link is whole.
func (d *routedDay) heal() {
	d.note("healed")
	d.springs, d.taking, d.handed = nil, nil, true
	d.ordering, d.keepers = nil, nil
	d.ops.struck, d.ops.loseUs, d.clients.leavesUs, d.clients.abuseUs = nil, 0, 0, 0
	for i := range d.seen.Partitions {
		d.seen.Partitions[i].ToUs = min(d.seen.Partitions[i].ToUs, d.nowUs)
	}
	for i := range d.seen.Faults {
		if t := &d.seen.Faults[i]; t.ToUs != rules.Open && t.ToUs > d.nowUs {
			t.ToUs = d.nowUs
		}
	}
	d.cuts = map[[2]string]int{}
	d.loss, d.clients.perSec, d.clients.rareX = 0, d.plan.PerSec, 1
	for _, o := range d.controlNodes {
		o.thawUs = min(o.thawUs, d.nowUs)
		o.disk.stallUs, o.disk.slowUs, o.disk.full = min(o.disk.stallUs, d.nowUs), 0, false
		o.start()
	}
	for _, t := range d.gateways {
		t.thawUs = min(t.thawUs, d.nowUs)
		if !t.term {
			t.start()
		}
	}
	for len(d.running("cards")) < d.plan.Cards {
		d.startReplica("gpu-more-"+d.newIncarnation(), "cards", "a", "", nil)
	}
	for _, p := range d.running("") {
		p.well()
	}
}

// close is the fault that ends the day, right after one more change was acknowledged.
func (d *routedDay) close(kind string) {
	struck := false
	strike := func(o *routedControlNode) {
		if struck {
			return
		}
		struck = true
		downUs := 500*ms + d.r.Int63n(sec)
		d.seen.Closing = &rules.Closing{AtUs: d.nowUs, BackUs: d.nowUs + downUs, MajorityDown: true}
		d.note("closing fault %s after an acknowledgement by %s", kind, o.name)
		d.count(Fault{Kind: "closing-" + kind})
		wiped := []*routedControlNode{o}
		if other := d.mate(o, d.r.Intn(100)); d.tolerated() > 1 && other != nil {
			wiped = append(wiped, other)
		}
		if kind == "wipe-after-ack-all" && d.spare(wiped...) {
			for _, o := range wiped {
				o.crash(0)
				o.disk = disk{identity: o.name + "-" + d.newIncarnation()}
			}
		}
		for _, o := range d.controlNodes {
			torn := 0
			if kind != "kill-all" {
				torn = d.r.Intn(4)
			}
			o.crash(torn)
			d.at(d.nowUs+downUs, o.start)
		}
		for _, t := range d.gateways {
			t.crash(false)
			d.at(d.nowUs+downUs, t.start)
		}
		if d.plan.Plant == "ruin" {
			for _, p := range d.running("") {
				p.end(true)
			}
		}
	}
	d.springs = []*spring{{act: strike}}
	d.ops.do(d.ops.change)
	for limitUs := d.nowUs + 20*sec; !struck && d.nowUs < limitUs; {
		d.runUntil(d.nowUs + 50*ms)
	}
	if !struck {
		if o, ok := pickOf(d.upControlNodes(), 0); ok {
			strike(o)
		}
	}
	if d.seen.Closing == nil {
		d.seen.Closing = &rules.Closing{AtUs: d.nowUs, BackUs: d.nowUs}
	}
}
