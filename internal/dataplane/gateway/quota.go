package gateway

import (
	"context"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/quota"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

// quotaWaitDivisor is the part of a request's time that the decision on its tenant's limit may take.
const quotaWaitDivisor = 4

// quotaLimit is the limit of a call's tenant by the newest snapshot; false where it has none.
func (h *Host) quotaLimit(c *scheduling.Call) (quota.Limit, bool) {
	if c.Routed == nil || c.Routed.Tenant == "" {
		return quota.Limit{}, false
	}
	snap := h.snapshot.Load()
	if snap == nil || snap.Declaration == nil {
		return quota.Limit{}, false
	}
	t := snap.Declaration.Tenant(c.Routed.Tenant)
	if t == nil || !t.IsLimited() {
		return quota.Limit{}, false
	}
	return quota.Limit{RatePerSecond: t.RatePerSecond, Burst: t.Burst}, true
}

// admit waits until a control node has said whether a call of a tenant with a limit may run: nil admits it. It is asked before
// the call takes a place in a queue. here is false where the caller has left meanwhile.
func (h *Host) admit(ctx context.Context, c *scheduling.Call, limit quota.Limit) (refused *fault.Fault, callerWaiting bool) {
	decided := make(chan quota.Decision, 1)
	h.act.Tell(func() {
		h.admissions[c.ID] = decided
		h.stepQuota(quota.RequestArrived{ID: c.ID, Tenant: c.Routed.Tenant, Limit: limit, MaxWaitUs: remainingUs(c) / quotaWaitDivisor})
	})
	select {
	case d := <-decided:
		return quotaFault(d), true
	case <-ctx.Done():
		h.act.Tell(func() {
			delete(h.admissions, c.ID)
			h.stepQuota(quota.RequestCanceled{ID: c.ID})
		})
		return nil, false
	case <-h.act.Ctx.Done():
		return &fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: drainRetryMs}, true
	}
}

// remainingUs is what is left of a routed call's time.
func remainingUs(c *scheduling.Call) int64 {
	timeoutMs := c.Routed.Route.TimeoutMs
	if c.TimeoutMs > 0 {
		timeoutMs = min(timeoutMs, c.TimeoutMs)
	}
	return c.ArrivedUs + timeoutMs*clock.Ms - clock.NowUs()
}

// quotaFault is the fault that a decision is answered with; nil where it admits.
func quotaFault(d quota.Decision) *fault.Fault {
	switch d.Verdict {
	case quota.Admitted:
		return nil
	case quota.OverLimit:
		return &fault.Fault{Code: fault.QuotaExceeded, Run: fault.RunNone, RetryMs: d.RetryMs, Detail: "its tenant is over its limit"}
	}
	return &fault.Fault{Code: fault.QuotaUnanswered, Run: fault.RunNone, RetryMs: d.RetryMs, Detail: "no control node says whether its tenant is over its limit"}
}

// stepQuota gives the reducer of limits an event and does what it wants done. It runs on the actor.
func (h *Host) stepQuota(ev quota.Event) {
	for _, e := range h.quota.Step(clock.NowUs(), ev) {
		switch e := e.(type) {
		case quota.Query:
			h.act.Spawn(func() { h.sendQuotaAsk(e) })
		case quota.Decision:
			if decided := h.admissions[e.ID]; decided != nil {
				delete(h.admissions, e.ID)
				decided <- e
			}
		}
	}
}

// sendQuotaAsk asks one control node, once.
func (h *Host) sendQuotaAsk(a quota.Query) {
	ctx, done := context.WithTimeout(h.act.Ctx, time.Duration(a.TimeoutUs)*time.Microsecond)
	defer done()
	response, err := rpc.NewCaller[wire.QuotaRequest, wire.QuotaResponse](h.nodeClient, a.Addr, rpc.QuotaPath).Call(ctx, a.Request)
	if err != nil {
		h.act.Tell(func() { h.stepQuota(quota.QueryFailed{Query: a.Number}) })
		return
	}
	h.act.Tell(func() { h.stepQuota(quota.ResponseReceived{Query: a.Number, Response: response}) })
}
