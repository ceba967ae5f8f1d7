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
	if limit, limited := h.limitOf(c); limited {
		refused, here := h.admit(ctx, c, limit)
		if !here {
			return fault.RunNone
		}
		if refused != nil {
			exchange.Fail(refused)
			return refused.Run
		}
	}
	mine := &caller{next: make(chan scheduling.Effect, 4)}
	if !h.do(func() {
		h.callers[c.ID] = mine
		h.step(scheduling.CallArrived{Call: c})
	}) {
		exchange.Fail(&fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: drainRetryMs})
		return fault.RunNone
	}
	defer h.act.Tell(func() { delete(h.callers, c.ID) })
	executed, why := fault.RunNone, ""
	for {
		e, here := h.next(ctx, c, mine)
		if !here {
			return executed
		}
		var ending scheduling.Outcome
		switch e := e.(type) {
		case *scheduling.CallFailed:
			return h.rejectCall(c, e.Fault, exchange)
		case *scheduling.CallFinished:
			return failUnresolved(e.Outcome, why, exchange)
		case *scheduling.AttemptStart:
			ending, why = h.attempt(ctx, *e, mine, exchange)
		}
		switch {
		case ending == scheduling.OutcomeDone:
			return fault.RunYes
		case ending == scheduling.OutcomeFailed:
			return fault.RunUnknown
		case scheduling.MayHaveRun(ending):
			executed = fault.RunUnknown
		}
		if ctx.Err() != nil {
			return executed
		}
	}
}

// next waits for what the decider says of a call next; here is false where the caller has left instead. An attempt
// that was started meanwhile ends unsent.
func (h *Host) next(ctx context.Context, c *scheduling.Call, mine *caller) (e scheduling.Effect, here bool) {
	select {
	case e = <-mine.next:
		return e, true
	case <-ctx.Done():
	}
	h.do(func() { h.step(scheduling.CallCanceled{Call: c.ID}) })
	select {
	case e = <-mine.next:
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
func failUnresolved(ending scheduling.Outcome, why string, exchange Exchange) string {
	f := fault.New(fault.OutcomeUnknown, "", "%s", why)
	f.Run = fault.RunUnknown
	if ending == scheduling.OutcomeTimedOut {
		f.Code = fault.Expired
	} else if exchange.ResponseStarted() {
		f.Code, f.Run = fault.StreamBroken, fault.RunPartial
	}
	exchange.Fail(f)
	return f.Run
}

// attempt runs one attempt and tells the decider how it ended, and that the caller has left if it has.
func (h *Host) attempt(ctx context.Context, st scheduling.AttemptStart, mine *caller, exchange Exchange) (scheduling.Outcome, string) {
	ending, why := h.sendAttempt(ctx, st, mine, exchange)
	if ctx.Err() != nil {
		h.post(scheduling.CallCanceled{Call: st.Call.ID})
	}
	h.post(scheduling.AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: ending})
	return ending, why
}

// sendAttempt runs one attempt. Those under granted numbers run under a context that the decider can end.
func (h *Host) sendAttempt(ctx context.Context, st scheduling.AttemptStart, mine *caller, exchange Exchange) (scheduling.Outcome, string) {
	if st.Call.Routed != nil {
		fromUs := clock.NowUs()
		ending, why := exchange.Attempt(ctx, st)
		h.logAttempt(st, fromUs, ending, why)
		return ending, why
	}
	left := time.Duration(st.DeadlineUs-clock.NowUs()) * time.Microsecond
	attemptCtx, cancel := context.WithDeadline(ctx, time.Now().Add(left))
	defer cancel()
	h.do(func() { mine.arm(cancel) })
	defer h.do(func() { mine.arm(nil) })
	return exchange.Attempt(attemptCtx, st)
}

// logAttempt notes what became of an attempt on a route, and how long its parts took; firstMs is -1 where nothing came.
func (h *Host) logAttempt(st scheduling.AttemptStart, fromUs int64, ending scheduling.Outcome, why string) {
	c := st.Call
	firstMs := int64(-1)
	if firstUs := c.FirstByteUs.Load(); firstUs >= fromUs {
		firstMs = (firstUs - fromUs) / clock.Ms
	}
	_ = h.info.Log("msg", "attempt ended", "route", c.Kind, "model", c.Model, "adapter", c.Adapter, "replica", st.Replica, "tokens", c.Routed.PromptTokens,
		"waitedMs", (fromUs-c.ArrivedUs)/clock.Ms, "estimateMs", int64(st.EstimatedFirstByteMs), "firstMs", firstMs, "totalMs", (clock.NowUs()-fromUs)/clock.Ms,
		"running", st.Running, "targetMs", st.Route.LatencyTargetMs, "maxMs", c.TimeoutMs, "ending", ending, "reason", why)
}
