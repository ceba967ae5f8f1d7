package gateway

import (
	"context"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

// drainRetryMs is when a caller that came too late is told to try again.
const drainRetryMs = 200

// runCall takes one call through the decider and its attempts to the one final answer.
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
		exchange.Fail(&fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: drainRetryMs})
		return fault.RunNone
	}
	defer h.act.Tell(func() { delete(h.workers, c.ID) })
	runState, reason := fault.RunNone, ""
	for {
		e, callerWaiting := h.nextEffect(ctx, c, worker)
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

// next waits for what the decider says of a call next; here is false where the caller has left instead. An attempt
// that was started meanwhile ends unsent.
func (h *Host) nextEffect(ctx context.Context, c *scheduling.Call, worker *callWorker) (e scheduling.Effect, callerWaiting bool) {
	select {
	case e = <-worker.next:
		return e, true
	case <-ctx.Done():
	}
	h.do(func() { h.step(scheduling.CallCanceled{Call: c.ID}) })
	select {
	case e = <-worker.next:
		if start, ok := e.(*scheduling.AttemptStart); ok {
			h.post(scheduling.AttemptEnded{Call: c.ID, Attempt: start.Attempt, Outcome: scheduling.OutcomeUnsent})
		}
	default:
	}
	return nil, false
}

// rejectCall gives the caller the fault by which the decider gave its call up.
func (h *Host) rejectCall(c *scheduling.Call, f *fault.Fault, exchange Exchange) string {
	if c.Routed != nil {
		_ = h.info.Log("msg", "request rejected", "route", c.Kind, "model", c.Model, "adapter", c.Adapter,
			"waitedMs", (clock.NowUs()-c.ArrivedUs)/clock.Ms, "maxMs", c.TimeoutMs, "retryMs", f.RetryMs, "reason", f.Detail)
	}
	exchange.Fail(f)
	return f.Run
}

// failUnresolved gives the caller the end of a call whose last attempt ended so that no other may follow.
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

// attempt runs one attempt and tells the decider how it ended, and that the caller has left if it has.
func (h *Host) attempt(ctx context.Context, st scheduling.AttemptStart, worker *callWorker, exchange Exchange) (scheduling.Outcome, string) {
	outcome, reason := h.sendAttempt(ctx, st, worker, exchange)
	if ctx.Err() != nil {
		h.post(scheduling.CallCanceled{Call: st.Call.ID})
	}
	h.post(scheduling.AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: outcome})
	return outcome, reason
}

// sendAttempt runs one attempt. Those under granted numbers run under a context that the decider can end.
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

// logAttempt notes what became of an attempt on a route, and how long its parts took; firstMs is -1 where nothing came.
func (h *Host) logAttempt(st scheduling.AttemptStart, startedUs int64, outcome scheduling.Outcome, reason string) {
	c := st.Call
	firstMs := int64(-1)
	if firstUs := c.FirstByteUs.Load(); firstUs >= startedUs {
		firstMs = (firstUs - startedUs) / clock.Ms
	}
	_ = h.info.Log("msg", "attempt ended", "route", c.Kind, "model", c.Model, "adapter", c.Adapter, "replica", st.Replica, "tokens", c.Routed.PromptTokens,
		"waitedMs", (startedUs-c.ArrivedUs)/clock.Ms, "estimateMs", int64(st.EstimatedFirstByteMs), "firstMs", firstMs, "totalMs", (clock.NowUs()-startedUs)/clock.Ms,
		"running", st.Running, "targetMs", st.Route.LatencyTargetMs, "maxMs", c.TimeoutMs, "ending", outcome, "reason", reason)
}
