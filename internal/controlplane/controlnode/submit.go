package controlnode

import (
	"context"
	"slices"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/actor"
)

// Submit sends a change to the head and waits for the result from the tail, for at most timeout. It reports false if there was
// no result; the change may be applied nevertheless.
func (h *Host) Submit(ctx context.Context, c statemachine.Change, timeout time.Duration) (wire.Result, bool) {
	c.Origin = h.settings.Advertise
	waiter := make(chan wire.Result, 4)
	defer h.actor.Tell(func() { h.removeWaiter(c.ID, waiter) })
	if !h.actor.Do(ctx, func() { h.waiters[c.ID] = append(h.waiters[c.ID], waiter) }) {
		return wire.Result{}, false
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	resubmit := time.NewTicker(resubmitInterval)
	defer resubmit.Stop()
	h.post(SubmitChange{Change: &c})
	for {
		select {
		case r := <-waiter:
			if r.Outcome.RefusesOther(c.Digest) {
				continue
			}
			r.Outcome = r.Outcome.ForContent(c.Digest)
			if r.Outcome.Fault != nil && r.Outcome.Fault.Code == fault.NotServing {
				continue
			}
			return r, true
		case <-resubmit.C:
			h.post(SubmitChange{Change: &c})
		case <-deadline.C:
			return wire.Result{}, false
		case <-ctx.Done():
			return wire.Result{}, false
		case <-h.actor.Ctx.Done():
			return wire.Result{}, false
		}
	}
}

// deliverResult passes a result to every caller that waits for its change.
func (h *Host) deliverResult(r wire.Result) {
	for _, waiter := range h.waiters[r.Outcome.ID] {
		select {
		case waiter <- r:
		default:
		}
	}
}

// removeWaiter removes one caller from those that wait for the change id.
func (h *Host) removeWaiter(id string, waiter chan wire.Result) {
	remaining := slices.DeleteFunc(h.waiters[id], func(w chan wire.Result) bool { return w == waiter })
	if len(remaining) == 0 {
		delete(h.waiters, id)
		return
	}
	h.waiters[id] = remaining
}

// Configure submits an operator's configuration change, which names its version, to the chain. The token makes the call
// idempotent: a repeated token gets the outcome of its first call. False means that there was no result in time; the change
// may still be applied.
func (h *Host) Configure(ctx context.Context, token string, c statemachine.ConfigChange) (statemachine.Outcome, bool) {
	id := "op-" + token
	if out, seen := h.priorOutcome(ctx, statemachine.Change{ID: id}); seen {
		return out, true
	}
	result, ok := h.Submit(ctx, statemachine.Change{ID: id, Config: &c}, changeTimeout)
	return result.Outcome, ok
}

// priorOutcome returns the outcome of a change that was applied before. It reports false if the change is unknown, or not yet
// durable and so not to be acknowledged from here.
func (h *Host) priorOutcome(ctx context.Context, c statemachine.Change) (statemachine.Outcome, bool) {
	prior, ran := actor.Ask(ctx, h.actor, func() *statemachine.Outcome {
		out, seen := h.core.Outcome(c.ID)
		if !seen {
			return nil
		}
		return &out
	})
	if !ran || prior == nil {
		return statemachine.Outcome{}, false
	}
	return prior.ForContent(c.Digest), true
}
