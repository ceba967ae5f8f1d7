package gateway

import (
	"context"
	"runtime/debug"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

// runCall runs one call through the decider and its attempts up to the single final response. It returns whether the call was
// executed, as one of the fault.Run values.
func (h *Host) runCall(ctx context.Context, c *scheduling.Call, exchange Exchange) string {
	if limit, limited := h.quotaLimit(c); limited {
		refused, callerWaiting := h.admit(ctx, c, limit)
		if !callerWaiting {
			return fault.RunNone
		}
		if refused != nil {
			exchange.Fail(refused)
			return refused.Run
		}
	}
	worker := &callWorker{next: make(chan scheduling.Effect, 4)}
	if !h.do(func() {
		h.workers[c.ID] = worker
		h.step(scheduling.CallArrived{Call: c})
	}) {
		exchange.Fail(&fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: scheduling.DrainingRetryMs})
		return fault.RunNone
	}
	defer h.act.Tell(func() { h.releaseCall(c.ID, worker) })
	runState, reason := fault.RunNone, ""
	for {
		e, callerWaiting := h.nextEffect(ctx, worker)
		if !callerWaiting {
			return runState
		}
		var outcome scheduling.Outcome
		switch e := e.(type) {
		case *scheduling.CallFailed:
			return h.rejectCall(c, e.Fault, exchange)
		case *scheduling.CallFinished:
			return failUnresolved(e.Outcome, reason, exchange)
		case *scheduling.AttemptStart:
			outcome, reason = h.attempt(ctx, *e, worker, exchange)
		}
		switch {
		case outcome == scheduling.OutcomeDone:
			return fault.RunYes
		case outcome == scheduling.OutcomeFailed:
			return fault.RunUnknown
		case scheduling.MayHaveRun(outcome):
			runState = fault.RunUnknown
		}
		if ctx.Err() != nil {
			return runState
		}
	}
}

// nextEffect waits for the decider's next effect on a call. callerWaiting is false if the caller left first.
func (h *Host) nextEffect(ctx context.Context, worker *callWorker) (e scheduling.Effect, callerWaiting bool) {
	select {
	case e = <-worker.next:
		return e, true
	case <-ctx.Done():
		return nil, false
	}
}

// releaseCall gives back what the decider still holds for a call whose goroutine has ended in any way: its place in a queue, and an
// attempt that was started and never taken up. It runs on the actor, after every event that the goroutine posted.
func (h *Host) releaseCall(id string, worker *callWorker) {
	delete(h.workers, id)
	if worker.finished {
		return
	}
	h.step(scheduling.CallCanceled{Call: id})
	for {
		select {
		case e := <-worker.next:
			if start, ok := e.(*scheduling.AttemptStart); ok {
				h.step(scheduling.AttemptEnded{Call: id, Attempt: start.Attempt, Outcome: scheduling.OutcomeUnsent})
			}
		default:
			return
		}
	}
}

// rejectCall answers the caller with the fault with which the decider rejected the call.
func (h *Host) rejectCall(c *scheduling.Call, f *fault.Fault, exchange Exchange) string {
	if c.Routed != nil {
		_ = h.info.Log("msg", "request rejected", "route", c.Kind, "model", c.Model, "adapter", c.Adapter,
			"waitedMs", (clock.NowUs()-c.ArrivedUs)/clock.Ms, "maxMs", c.TimeoutMs, "retryMs", f.RetryMs, "reason", f.Detail)
	}
	exchange.Fail(f)
	return f.Run
}

// failUnresolved answers the caller of a call whose last attempt had an outcome after which no other attempt is allowed.
func failUnresolved(outcome scheduling.Outcome, reason string, exchange Exchange) string {
	f := fault.New(fault.OutcomeUnknown, "", "%s", reason)
	f.Run = fault.RunUnknown
	if outcome == scheduling.OutcomeTimedOut {
		f.Code = fault.Expired
	} else if exchange.ResponseStarted() {
		f.Code, f.Run = fault.StreamBroken, fault.RunPartial
	}
	exchange.Fail(f)
	return f.Run
}

// attempt runs one attempt and reports its outcome to the decider, and also that the call is canceled if the caller has left. An
// attempt that panics, or that ends its goroutine, is reported as one that may have run and must not be retried.
func (h *Host) attempt(ctx context.Context, st scheduling.AttemptStart, worker *callWorker, exchange Exchange) (outcome scheduling.Outcome, reason string) {
	outcome, reason = scheduling.OutcomeStopped, "the attempt did not return"
	h.runningAttempts.Add(1)
	defer func() {
		if cause := recover(); cause != nil {
			_ = h.warn.Log("msg", "attempt panicked", "request", st.Call.ID, "replica", st.Replica, "panic", cause, "stack", string(debug.Stack()))
		}
		if ctx.Err() != nil {
			h.post(scheduling.CallCanceled{Call: st.Call.ID})
		}
		h.post(scheduling.AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: outcome})
		h.runningAttempts.Add(-1)
	}()
	outcome, reason = h.sendAttempt(ctx, st, worker, exchange)
	return outcome, reason
}

// sendAttempt runs one attempt. An attempt with a grant number, that is, of a call without a route, gets a context that has the
// attempt's deadline and that the decider can cancel.
func (h *Host) sendAttempt(ctx context.Context, st scheduling.AttemptStart, worker *callWorker, exchange Exchange) (scheduling.Outcome, string) {
	if st.Call.Routed != nil {
		startedUs := clock.NowUs()
		outcome, reason := exchange.Attempt(ctx, st)
		h.logAttempt(st, startedUs, outcome, reason)
		return outcome, reason
	}
	left := time.Duration(st.DeadlineUs-clock.NowUs()) * time.Microsecond
	attemptCtx, cancel := context.WithDeadline(ctx, time.Now().Add(left))
	defer cancel()
	h.do(func() { worker.setCancel(cancel) })
	defer h.do(func() { worker.setCancel(nil) })
	return exchange.Attempt(attemptCtx, st)
}

// logAttempt logs the outcome and the durations of an attempt on a route. firstMs is -1 if no byte was received.
func (h *Host) logAttempt(st scheduling.AttemptStart, startedUs int64, outcome scheduling.Outcome, reason string) {
	c := st.Call
	firstMs := int64(-1)
	if firstUs := c.FirstByteUs.Load(); firstUs >= startedUs {
		firstMs = (firstUs - startedUs) / clock.Ms
	}
	_ = h.info.Log("msg", "attempt ended", "route", c.Kind, "model", c.Model, "adapter", c.Adapter, "replica", st.Replica, "tokens", c.Routed.PromptTokens,
		"service", st.Service, "prefix", st.Route.Prefix, "revision", st.Revision, "arrivalRevision", c.ArrivalRevision(),
		"waitedMs", (startedUs-c.ArrivedUs)/clock.Ms, "estimateMs", int64(st.EstimatedFirstByteMs), "firstMs", firstMs, "totalMs", (clock.NowUs()-startedUs)/clock.Ms,
		"running", st.Running, "targetMs", st.Route.LatencyTargetMs, "maxMs", c.TimeoutMs, "ending", outcome, "reason", reason)
}
