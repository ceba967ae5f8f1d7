package gateway

import (
	"context"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
)

// claimKey claims an idempotency key for a call before the call starts. If another call holds the key, the fault tells the state
// of that call.
func (h *Host) claimKey(ctx context.Context, key string, c *scheduling.Call) *fault.Fault {
	change := wire.KeySubmission{ID: "key-" + c.ID, Key: &wire.KeyChange{Key: key, Gateway: h.settings.Name, GatewayIncarnation: h.incarnation, Call: c.ID}}
	result, err := h.Submit(ctx, change)
	if err != nil {
		f := fault.New(fault.Overloaded, "Idempotency-Key", "the control nodes did not record the key in time")
		f.Run, f.RetryMs = fault.RunNone, 1000
		h.releaseKey(key, c)
		return f
	}
	out := result.Outcome
	if out.Fault != nil {
		out.Fault.Run, out.Fault.RetryMs = fault.RunNone, 2000
		return out.Fault
	}
	if out.Key == nil || !out.Repeated {
		return nil
	}
	f := fault.New(fault.KeyRunning, "Idempotency-Key", "a call with this key is running at gateway %s", out.Key.Gateway)
	f.Run = fault.RunUnknown
	if out.Key.Ended != "" {
		f.Code, f.Run = fault.KeyEnded, out.Key.Ended
		f.Detail = "the call with this key has ended"
	} else if out.Key.Gateway == h.settings.Name && out.Key.GatewayIncarnation != h.incarnation {
		f.Code, f.Detail = fault.KeyUnknown, "the gateway that ran the call with this key restarted; whether the call was executed is unknown"
	}
	return f
}

// submitKey records how the call with a key ended, or releases the key if end is empty. It does not wait for the control nodes.
func (h *Host) submitKey(key string, c *scheduling.Call, end string) {
	change := wire.KeySubmission{ID: "key-" + end + "-" + c.ID, Key: &wire.KeyChange{Key: key, Gateway: h.settings.Name, GatewayIncarnation: h.incarnation, Call: c.ID, End: end, Release: end == ""}}
	h.activeCalls.Add(1)
	h.act.Spawn(func() {
		defer h.activeCalls.Add(-1)
		if _, err := h.Submit(h.act.Ctx, change); err != nil {
			_ = h.warn.Log("msg", "end of key not recorded", "request", c.ID, "end", end, "err", err)
		}
	})
}

// releaseKey releases a key whose claim failed or may have failed.
func (h *Host) releaseKey(key string, c *scheduling.Call) { h.submitKey(key, c, "") }

// completeKey records the end of a call with a key, or releases the key if the call was not executed.
func (h *Host) completeKey(key string, c *scheduling.Call, end string) {
	if end == fault.RunNone {
		end = ""
	}
	h.submitKey(key, c, end)
}
