package gateway

import (
	"context"
	"time"

	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/process/clock"
)

// A gateway whose process did not run for a while knows that it has missed something, and can learn what within a round trip. It holds
// requests whose tenant may have changed meanwhile. A gateway that is cut off from the control nodes is another matter: it goes on with
// what it last knew, and so does one that has woken and hears no control node for maxWakeHoldUs.

const (
	// maxWakeHoldUs bounds how long after a wake requests are held, in microseconds: a stream to a control node that answers is open well
	// before, also if one of two does not answer.
	maxWakeHoldUs = 1500 * clock.Ms
	// maxHeldAfterWake is the maximum number of requests held at the same time; further ones are refused.
	maxHeldAfterWake = 1024
)

// hasJustWoken reports whether this process did not run for a while and has not heard from a current control node since. The actor may
// not have noticed yet: then its last step is long ago.
func (h *Host) hasJustWoken(nowUs int64) bool {
	if h.informer == nil {
		return false
	}
	if steppedUs := h.steppedUs.Load(); steppedUs > 0 && nowUs-steppedUs > controlclient.WakeGapUs {
		return true
	}
	wokeUs := h.wokeUs.Load()
	return h.currentUs.Load() < wokeUs && nowUs-wokeUs < maxWakeHoldUs
}

// awaitConfirmation blocks while this gateway has just woken. It returns false if that still is so when the request has no more time to
// wait, or if too many requests wait. A deadline of 0 means that there is none.
func (h *Host) awaitConfirmation(ctx context.Context, deadlineUs int64) bool {
	nowUs := clock.NowUs()
	if !h.hasJustWoken(nowUs) {
		return true
	}
	defer h.heldAfterWake.Add(-1)
	if h.heldAfterWake.Add(1) > maxHeldAfterWake {
		return false
	}
	hold := time.NewTimer(time.Duration(HoldUs(maxWakeHoldUs, deadlineUs, nowUs)) * time.Microsecond)
	defer hold.Stop()
	for {
		updated := h.updates.changed()
		if !h.hasJustWoken(clock.NowUs()) {
			return true
		}
		select {
		case <-updated:
		case <-hold.C:
			return !h.hasJustWoken(clock.NowUs())
		case <-ctx.Done():
			return false
		}
	}
}
