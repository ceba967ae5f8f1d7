package scheduling

import (
	"hash/fnv"

	"petreltide/internal/api/fault"
)

// failCall answers a call that has no open attempt with a fault and spreads its retry delay (spreadRetryMs), up to what its client
// waits for.
func (d *Decider) failCall(c *Call, code fault.Code, detail string, retryMs int64) {
	d.failCallWithRetry(c, code, detail, d.capRetryMs(c, spreadRetryMs(c.ID, retryMs)))
}

// failCallWithRetry answers a call that has no open attempt with a fault and removes the call. The fault states whether the
// call may have run, and gives retryMs as it is.
func (d *Decider) failCallWithRetry(c *Call, code fault.Code, detail string, retryMs int64) {
	d.dequeue(c)
	delete(d.calls, c.ID)
	f := fault.New(code, "", "%s", detail)
	f.Run, f.RetryMs = fault.RunNone, retryMs
	switch {
	case c.Delivered > 0 || c.Progress.Load() > 0:
		f.Run = fault.RunPartial
	case c.mayHaveRun:
		f.Run = fault.RunUnknown
	}
	d.kindTotalsOf(c.Kind).faults[code]++
	d.countFinished(c, "", code)
	d.logDecision(c, "given up", "", string(code)+": "+detail)
	d.emit(&CallFailed{Call: c, Fault: f})
}

// spreadRetryMs spreads the retry delays of clients that were refused together over half to one and a half times retryMs, by
// a hash of the call ID. Without the spread they would all retry at the same moment.
func spreadRetryMs(id string, retryMs int64) int64 {
	if retryMs <= 1 {
		return retryMs
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return retryMs/2 + int64(h.Sum64()%uint64(retryMs)) + 1
}

// cancelCall removes a queued call whose client has disconnected, or cancels its open attempt.
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

// attemptEnded applies the outcome of an attempt: the call is finished, or queued again for a retry. The end of an attempt
// that is not the call's current one only frees its slot.
func (d *Decider) attemptEnded(e AttemptEnded) {
	c := d.calls[e.Call]
	for _, state := range d.grantedReplicas {
		delete(state.inFlight, e.Attempt)
	}
	if c == nil || c.attempt != e.Attempt {
		for _, stats := range d.replicaStats {
			delete(stats.openAttempts, e.Attempt)
		}
		return
	}
	replicaID := c.replica
	c.attempt, c.replica = "", ""
	if c.Routed != nil {
		d.routedAttemptEnded(c, e, replicaID)
		return
	}
	if e.Outcome == OutcomeUnsent || e.Outcome == OutcomeRejected {
		d.grantedReplicaOf(replicaID).avoidUntilUs = d.nowUs + refusedBackoffUs
	}
	if e.Outcome == OutcomeDone {
		spentUs := float64(d.nowUs - c.attemptStartUs)
		d.meanServiceUs += (spentUs - d.meanServiceUs) / 16
	}
	c.mayHaveRun = c.mayHaveRun || MayHaveRun(e.Outcome)
	if c.canceled || !mayRetry(c.requestKind(), e.Outcome) {
		d.finishCall(c, e.Outcome, replicaID)
		return
	}
	c.Delivered = int(c.Progress.Load())
	d.requeue(c, replicaID, e.Outcome)
}

// requeue queues a call for a retry, unless the newest declaration no longer allows it or the call has used up its attempts.
func (d *Decider) requeue(c *Call, replica string, outcome Outcome) {
	if !d.applyDeclarationOrFail(c) {
		return
	}
	if c.attempts >= maxCallAttempts {
		d.failCall(c, fault.Overloaded, "its legs were refused or lost too often", d.retryMsAfterAttempts(c))
		return
	}
	d.logDecision(c, "waits again", replica, string(outcome))
	d.enqueue(c)
}

// retryMsAfterAttempts returns the retry delay (ms) of a call that may have no further attempt.
func (d *Decider) retryMsAfterAttempts(c *Call) int64 {
	if c.Routed == nil {
		return d.RetryAfterMs()
	}
	return d.untilReplicaMs(c)
}

// finishCall ends a call with the outcome of its last attempt.
func (d *Decider) finishCall(c *Call, outcome Outcome, replica string) {
	delete(d.calls, c.ID)
	if outcome == OutcomeDone {
		d.kindTotalsOf(c.Kind).done++
	} else {
		d.kindTotalsOf(c.Kind).faults[fault.Code(outcome)]++
	}
	d.countFinished(c, outcome, "")
	d.logDecision(c, "ended", replica, string(outcome))
	d.emit(&CallFinished{Call: c, Outcome: outcome})
}
