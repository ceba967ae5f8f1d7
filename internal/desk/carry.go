package desk

import (
	"context"
	"time"

	"petreltide/internal/clock"
	"petreltide/internal/dispatch"
	"petreltide/internal/fault"
)

// carry takes one call through the decider and its legs to the one final answer.
func (h *Host) carry(ctx context.Context, c *dispatch.Call, edge Edge) string {
	mine := &caller{next: make(chan dispatch.Effect, 4)}
	if !h.do(func() {
		h.waiting[c.ID] = mine
		h.step(dispatch.Event{Arrived: c})
	}) {
		edge.Fail(&fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: 200})
		return fault.RunNone
	}
	defer h.act.Tell(func() { delete(h.waiting, c.ID) })
	ran, why := fault.RunNone, ""
	for {
		var e dispatch.Effect
		select {
		case e = <-mine.next:
		case <-ctx.Done():
			h.do(func() { h.step(dispatch.Event{Gone: c.ID}) })
			select {
			case e = <-mine.next:
			default:
				return ran
			}
			if e.Start != nil {
				h.tell(dispatch.Event{Ended: &dispatch.Ended{Call: c.ID, Leg: e.Start.Leg, Ending: dispatch.Unsent}})
			}
			return ran
		}
		if e.Give != nil {
			if c.Routed != nil {
				_ = h.log.Log("event", "given up", "path", c.Kind, "model", c.Model, "adapter", c.Adapter, "waitedMs", (clock.NowUs()-c.TakenUs)/1000, "mostMs", c.MostMs, "retryMs", e.Give.Fault.RetryMs, "why", e.Give.Fault.Detail)
			}
			edge.Fail(e.Give.Fault)
			return e.Give.Fault.Run
		}
		if e.Over != nil {
			f := fault.New(fault.Unknown, "", "%s", why)
			f.Run = fault.RunUnknown
			if e.Over.Ending == dispatch.Final {
				f.Code = fault.Expired
			} else if edge.Opened() {
				f.Code, f.Run = fault.Broken, fault.RunPartial
			}
			edge.Fail(f)
			return f.Run
		}
		ending, said := h.leg(ctx, *e.Start, mine, edge)
		why = said
		if ctx.Err() != nil {
			h.tell(dispatch.Event{Gone: c.ID})
		}
		h.tell(dispatch.Event{Ended: &dispatch.Ended{Call: c.ID, Leg: e.Start.Leg, Ending: ending}})
		switch {
		case ending == dispatch.Done:
			return fault.RunYes
		case ending == dispatch.Failed:
			return fault.RunUnknown
		case dispatch.MayHaveRun(ending):
			ran = fault.RunUnknown
		}
		if ctx.Err() != nil {
			return ran
		}
	}
}

// leg runs one leg. Those under granted numbers run under a context that the decider can end.
func (h *Host) leg(ctx context.Context, st dispatch.Start, mine *caller, edge Edge) (dispatch.Ending, string) {
	if st.Call.Routed != nil {
		fromUs := clock.NowUs()
		ending, why := edge.Leg(ctx, st)
		firstMs := int64(-1)
		if firstUs := st.Call.FirstUs.Load(); firstUs >= fromUs {
			firstMs = (firstUs - fromUs) / 1000
		}
		_ = h.log.Log("event", "leg", "path", st.Call.Kind, "model", st.Call.Model, "adapter", st.Call.Adapter, "replica", st.Replica, "tokens", st.Call.Routed.PromptIn,
			"waitedMs", (fromUs-st.Call.TakenUs)/1000, "guessMs", int64(st.GuessMs), "firstMs", firstMs, "allMs", (clock.NowUs()-fromUs)/1000, "running", st.Running, "aimMs", st.Route.AimMs, "mostMs", st.Call.MostMs, "ending", ending, "why", why)
		return ending, why
	}
	legCtx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Duration(st.ExpiryUs-clock.NowUs())*time.Microsecond))
	defer cancel()
	h.do(func() { mine.arm(cancel) })
	defer h.do(func() { mine.arm(nil) })
	return edge.Leg(legCtx, st)
}
