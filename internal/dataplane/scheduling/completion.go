package scheduling

import (
	"hash/fnv"

	"petreltide/internal/api/fault"
)

// failCall is a final answer told at once: the call has no attempt and can get none any more.
func (d *Decider) failCall(c *Call, code fault.Code, why string, retryMs int64) {
	d.failCallWithRetry(c, code, why, spreadRetryMs(c.ID, retryMs))
}

func (d *Decider) failCallWithRetry(c *Call, code fault.Code, why string, retryMs int64) {
	d.dequeue(c)
	delete(d.calls, c.ID)
	f := fault.New(code, "", "%s", why)
	f.Run, f.RetryMs = fault.RunNone, retryMs
	switch {
	case c.Delivered > 0 || c.Progress.Load() > 0:
		f.Run = fault.RunPartial
	case c.mayHaveRun:
		f.Run = fault.RunUnknown
	}
	d.kind(c.Kind).faults[code]++
	d.countFinished(c, "", code)
	d.logDecision(c, "given up", "", string(code)+": "+why)
	d.emit(&CallFailed{Call: c, Fault: f})
}

// spreadRetryMs spreads the times at which callers that were refused together come back: half to one and a half
// of what was meant, or the crowd would stand before the door again as one.
func spreadRetryMs(id string, retryMs int64) int64 {
	if retryMs <= 1 {
		return retryMs
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return retryMs/2 + int64(h.Sum64()%uint64(retryMs)) + 1
}

func (d *Decider) cancelCall(id string) {
	c := d.calls[id]
	if c == nil {
		return
	}
	c.canceled = true
	if c.attempt == "" {
		d.dequeue(c)
		delete(d.calls, id)
		d.countFinished(c, "", "")
		return
	}
	d.emit(CancelAttempt{Call: c})
}

func (d *Decider) attemptEnded(e AttemptEnded) {
	c := d.calls[e.Call]
	for _, p := range d.grantedReplicas {
		delete(p.inFlight, e.Attempt)
	}
	if c == nil || c.attempt != e.Attempt {
		for _, st := range d.replicaStats {
			delete(st.openAttempts, e.Attempt)
		}
		return
	}
	on := c.replica
	c.attempt, c.replica = "", ""
	if c.Routed != nil {
		d.routedAttemptEnded(c, e, on)
		return
	}
	if e.Outcome == OutcomeUnsent || e.Outcome == OutcomeRejected {
		d.grantedReplicaOf(on).avoidUntilUs = d.nowUs + refusedBackoffUs
	}
	if e.Outcome == OutcomeDone {
		spentUs := float64(d.nowUs - c.attemptStartUs)
		d.meanServiceUs += (spentUs - d.meanServiceUs) / 16
	}
	c.mayHaveRun = c.mayHaveRun || MayHaveRun(e.Outcome)
	if c.canceled || !mayRetry(c.requestKind(), e.Outcome) {
		d.finishCall(c, e.Outcome, on)
		return
	}
	c.Delivered = int(c.Progress.Load())
	d.requeue(c, on, e.Outcome)
}

// requeue queues a call whose attempt at a replica came to nothing, unless its terms or its attempts have run out.
func (d *Decider) requeue(c *Call, on string, ending Outcome) {
	if !d.applyDeclarationOrFail(c) {
		return
	}
	if c.attempts >= maxCallAttempts {
		d.failCall(c, fault.Overloaded, "its legs were refused or lost too often", d.RetryAfterMs())
		return
	}
	d.logDecision(c, "waits again", on, string(ending))
	d.enqueue(c)
}

// finishCall takes an attempt's ending for that of its call.
func (d *Decider) finishCall(c *Call, e Outcome, on string) {
	delete(d.calls, c.ID)
	if e == OutcomeDone {
		d.kind(c.Kind).done++
	} else {
		d.kind(c.Kind).faults[fault.Code(e)]++
	}
	d.countFinished(c, e, "")
	d.logDecision(c, "ended", on, string(e))
	d.emit(&CallFinished{Call: c, Outcome: e})
}
