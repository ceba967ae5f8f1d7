package controlnode

import (
	"time"

	"github.com/go-kit/log/level"

	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
)

// leaveCheckInterval is how often a process that is to end asks whether it may.
const leaveCheckInterval = 25 * time.Millisecond

// leave gives the other control nodes the time that the settings allow to take over this one's seat, its vote and
// what only it holds. The control node serves on meanwhile.
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
