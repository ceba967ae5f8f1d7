package scheduling

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
	"petreltide/internal/process/clock"
)

const (
	// admissionSpanUs is how far back attempts tell how calls for a model fare now.
	admissionSpanUs = 2 * clock.Sec
	// admissionMost bounds the attempts that are remembered for one model.
	admissionMost = 32
	// soonPart of its aim is how soon a call's first piece comes where no queue makes the calls behind it late.
	soonPart = 0.4
	// admissionSlack is how many times as many calls are let in as were served soon: above 1, so that calls are let in
	// again as soon as there is room.
	admissionSlack = 2.0
	// admissionPrior is how many undecided attempts the evidence is diluted with: one late call proves little.
	admissionPrior = 2.0
	// retryLeastMs and retryMostMs bound when a refused caller is told to come back.
	retryLeastMs = 400
	retryMostMs  = 1500
	// retryPart of the time that a caller has left is as long as it may be told to wait.
	retryPart = 3
	drawSteps = 1 << 16
)

// fate is an attempt whose first piece shows how calls for its model fare.
type fate struct {
	call    *Call
	startUs int64
	soonUs  int64
}

// soon says whether the first piece came soon after the attempt began; decided is false while it may still.
func (f fate) soon(nowUs int64) (good, decided bool) {
	firstUs := f.call.FirstUs.Load()
	if firstUs >= f.startUs {
		return firstUs-f.startUs <= f.soonUs, true
	}
	return false, nowUs-f.startUs > f.soonUs
}

// admission lets in no more calls for a model than its replicas can serve in time. Where replicas are asked for more than they can
// do, each call that waits there makes those behind it late as well: fewer in time are worth more than all of them late.
// A gateway goes by its own attempts alone, as its calls meet the same queues as those of others.
type admission struct {
	recent map[string][]fate
}

func newAdmission() *admission { return &admission{recent: map[string][]fate{}} }

// sent notes an attempt.
func (a *admission) sent(c *Call, nowUs int64) {
	soonUs := int64(soonPart * float64(c.Routed.Route.LatencyTargetMs*clock.Ms))
	if c.Model == "" || soonUs == 0 {
		return
	}
	key := c.modelKey()
	kept := a.recent[key]
	if len(kept) >= admissionMost {
		kept = kept[1:]
	}
	a.recent[key] = append(kept, fate{call: c, startUs: nowUs, soonUs: soonUs})
}

// refusedPart is the part of the calls for a model that is to be refused now.
func (a *admission) refusedPart(key string, nowUs int64) float64 {
	good, decided := 0.0, 0.0
	for _, f := range a.recent[key] {
		if nowUs-f.startUs > admissionSpanUs {
			continue
		}
		soon, known := f.soon(nowUs)
		if known {
			decided++
		}
		if soon {
			good++
		}
	}
	if decided == 0 {
		return 0
	}
	return max(0, 1-admissionSlack*good/decided) * decided / (decided + admissionPrior)
}

// forget drops what is too old to tell anything.
func (a *admission) forget(nowUs int64) {
	for key, all := range a.recent {
		if last := all[len(all)-1]; nowUs-last.startUs > admissionSpanUs {
			delete(a.recent, key)
		}
	}
}

// turnAway refuses a call at once, with when to come back, where calls for its model are late now. Whoever has come back
// once is let in, and what is most urgent is refused less often.
func (d *Decider) turnAway(c *Call) bool {
	if c.Model == "" || c.Routed.returned || c.Had > 0 || d.opts.Disable.Has(feature.OverloadRefusal) {
		return false
	}
	part := d.admission.refusedPart(c.modelKey(), d.nowUs)
	if part == 0 {
		return false
	}
	if c.Routed.Route.Priority == 0 {
		part *= part
	}
	if float64(mix(c.Routed.draw^hashOf(c.ID))%drawSteps) >= part*drawSteps {
		return false
	}
	leftMs := (c.deadlineUs - d.nowUs) / clock.Ms
	retryMs := spreadRetryMs(c.ID, min(max(leftMs/(2*retryPart), retryLeastMs), retryMostMs))
	d.giveAt(c, fault.Overloaded, "calls for its model are served too late now", min(retryMs, leftMs/retryPart))
	return true
}
