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

// quotaLimit returns the limit of a call's tenant according to the newest snapshot, and false if there is none.
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

// admit waits for a control node's decision whether a call of a tenant with a limit may run; a nil fault admits the call. It
// precedes the call's place in a queue. The call waits for it for as long as its client does, because every gateway asks the same
// control nodes. callerWaiting is false if the caller left in the meantime.
func (h *Host) admit(ctx context.Context, c *scheduling.Call, limit quota.Limit) (refused *fault.Fault, callerWaiting bool) {
	decided := make(chan quota.Decision, 1)
	h.act.Tell(func() {
		h.admissions[c.ID] = decided
		h.stepQuota(quotaRequest(c, limit, clock.NowUs()))
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
		return &fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: scheduling.DrainingRetryMs}, true
	}
}

// quotaRequest returns the request for the decision on a call. It may take all of the time until the call's deadline.
func quotaRequest(c *scheduling.Call, limit quota.Limit, nowUs int64) quota.RequestArrived {
	return quota.RequestArrived{ID: c.ID, Tenant: c.Routed.Tenant, Limit: limit, MaxWaitUs: remainingUs(c, nowUs)}
}

// remainingUs returns the time until a routed call's deadline, in microseconds.
func remainingUs(c *scheduling.Call, nowUs int64) int64 {
	timeoutMs := c.Routed.Route.TimeoutMs
	if c.TimeoutMs > 0 {
		timeoutMs = min(timeoutMs, c.TimeoutMs)
	}
	return c.ArrivedUs + timeoutMs*clock.Ms - nowUs
}

// quotaFault returns the fault for a quota decision, or nil if the decision admits the call.
func quotaFault(d quota.Decision) *fault.Fault {
	switch d.Verdict {
	case quota.Admitted:
		return nil
	case quota.OverLimit:
		return &fault.Fault{Code: fault.QuotaExceeded, Run: fault.RunNone, RetryMs: d.RetryMs, Detail: "the tenant exceeds its limit"}
	}
	return &fault.Fault{Code: fault.QuotaUnanswered, Run: fault.RunNone, RetryMs: d.RetryMs, Detail: "no control node decided whether the tenant exceeds its limit"}
}

// stepQuota passes an event to the quota client and executes the resulting effects. It runs on the actor.
func (h *Host) stepQuota(ev quota.Event) {
	for _, e := range h.quota.Step(clock.NowUs(), ev) {
		switch e := e.(type) {
		case quota.Query:
			h.act.Spawn(func() { h.sendQuotaQuery(e) })
		case quota.Decision:
			if decided := h.admissions[e.ID]; decided != nil {
				delete(h.admissions, e.ID)
				decided <- e
			}
		}
	}
}

// sendQuotaQuery sends one quota request to one control node, without retries.
func (h *Host) sendQuotaQuery(q quota.Query) {
	ctx, cancel := context.WithTimeout(h.act.Ctx, time.Duration(q.TimeoutUs)*time.Microsecond)
	defer cancel()
	response, err := rpc.NewCaller[wire.QuotaRequest, wire.QuotaResponse](h.nodeClient, q.Addr, rpc.QuotaPath).Call(ctx, q.Request)
	if err != nil {
		h.act.Tell(func() { h.stepQuota(quota.QueryFailed{Query: q.Number}) })
		return
	}
	h.act.Tell(func() { h.stepQuota(quota.ResponseReceived{Query: q.Number, Response: response}) })
}
