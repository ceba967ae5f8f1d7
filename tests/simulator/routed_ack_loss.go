package simulator

import (
	"strings"
)

// ackLossKinds kill all of the core, or take its power, right after an acknowledgement of each kind: of a change of the
// configuration, of a replica that drains and of one that is gone.
var ackLossKinds = []string{
	"kill-core-after-config", "kill-core-after-draining", "kill-core-after-gone", "power-core-after-config", "power-core-after-draining", "power-core-after-gone",
}

const (
	// maxAckLossDelayUs is how long after an acknowledgement the core goes at the latest; on every second such fault it goes at once.
	maxAckLossDelayUs = 50 * millisecond
	// servesOnUs is how long a replica that leaves goes on serving after the acknowledgement, so that it can still be called when the
	// core is settled again and its time is over.
	servesOnUs = 12 * second
	// coreAwayUs is how long the core is away at least; up to as much again is added.
	coreAwayUs = 400 * millisecond
)

// ackLossFault lets an acknowledgement come about that all of the core forgets what it was given in memory alone for. It is false for
// every other fault.
func (d *routedDay) ackLossFault(f Fault) bool {
	_, kind, matches := strings.Cut(f.Kind, "-core-after-")
	if !matches {
		return false
	}
	if kind == "config" {
		if len(d.armedFaults) > 0 {
			return false
		}
		d.armedFaults = append(d.armedFaults, &armedDiskFault{fault: f, act: func(*routedControlNode) { d.loseCore(f) }})
		d.operators.do(d.operators.change)
		return true
	}
	leavers := append(d.running("cards"), d.running("log")...)
	p, ok := pickOf(leavers, f.A)
	if !ok || p.core.Draining || p.withdrawn {
		return false
	}
	d.replacement(p)
	p.servesOnUs = servesOnUs
	p.onLeavingAcknowledged = func() { d.loseCore(f) }
	if kind == "gone" {
		p.withdraw()
	} else {
		p.drain()
	}
	return true
}

// loseCore ends every process of the core, at once or a little later, and starts them again on their disks.
func (d *routedDay) loseCore(f Fault) {
	delayUs := int64(0)
	if f.B%2 == 0 {
		delayUs = d.random.Int63n(maxAckLossDelayUs)
	}
	d.schedule(d.nowUs+delayUs, func() {
		if d.handed {
			return
		}
		d.countFault(f)
		d.logf("%s: all of the core goes %d us after the acknowledgement", f.Kind, delayUs)
		awayUs := coreAwayUs + d.random.Int63n(coreAwayUs)
		for _, o := range d.upControlNodes() {
			torn := 0
			if strings.HasPrefix(f.Kind, "power-") {
				torn = 1 + d.random.Intn(3)
			}
			d.killControlNode(o, torn, awayUs)
		}
	})
}
