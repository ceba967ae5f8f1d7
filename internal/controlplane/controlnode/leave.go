package controlnode

import (
	"time"

	"github.com/go-kit/log/level"

	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
)

// leaveCheckInterval is the interval at which a process that is shutting down checks whether the handover is complete.
const leaveCheckInterval = 25 * time.Millisecond

// leave hands over this control node's position in the chain, its vote and the data that only it holds to the other control
// nodes. It waits for at most the handover timeout of the settings; the control node keeps serving meanwhile.
func (h *Host) leave() {
	if h.settings.HandoverTimeoutMs <= 0 {
		return
	}
	h.post(LeaveChain{})
	startUs := clock.NowUs()
	deadline := time.NewTimer(time.Duration(h.settings.HandoverTimeoutMs) * time.Millisecond)
	defer deadline.Stop()
	check := time.NewTicker(leaveCheckInterval)
	defer check.Stop()
	complete := false
	for waiting := true; waiting && !complete; {
		select {
		case <-check.C:
			complete, _ = actor.Ask(h.actor.Ctx, h.actor, h.core.Node.ShutdownComplete)
		case <-deadline.C:
			waiting = false
		}
	}
	_ = level.Info(h.log).Log("msg", "leaving", "handedOver", complete, "ms", (clock.NowUs()-startUs)/clock.Ms)
}
