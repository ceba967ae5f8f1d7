package controller

import (
	"petreltide/internal/process/clock"
)

// rolloutOverdueUs is the time after which gateways that still use an older declaration are logged by name.
const rolloutOverdueUs = 2 * clock.Sec

// rollout tracks the distribution of the declaration in force to the gateways by the revisions in their reports. A new
// leader measures from the time at which it first sees the declaration.
type rollout struct {
	revision uint64
	// startedUs is when this controller first saw the revision in force; completedUs is when the last live gateway had
	// reported it, or 0 before that.
	startedUs   int64
	completedUs int64
	// lateReported is true once the late gateways have been logged.
	lateReported bool
}

// RolloutStatus is the progress of the distribution of the declaration in force. Gateways report a few times per second, so
// that CompletedAfterMs can be too high by the interval between two reports.
type RolloutStatus struct {
	Revision uint64 `json:"revision"`
	AgeMs    int64  `json:"ageMs"`
	// CompletedAfterMs is the time until all live gateways used the declaration; negative before that.
	CompletedAfterMs int64 `json:"tookMs"`
	// Behind names the live gateways whose latest report has an older revision.
	Behind []string `json:"behind,omitempty"`
}

// lagging returns the IDs of the live gateways whose latest report has an older revision, in order.
func (g *gatewayMembership) lagging(nowUs int64, revision uint64) []string {
	ids := []string{}
	for _, id := range g.live(nowUs) {
		if g.byID[id].report.Revision < revision {
			ids = append(ids, id)
		}
	}
	return ids
}

// trackRollout reports when all live gateways use the declaration in force, and reports once which gateways are late.
func (c *Controller) trackRollout(snapshot Snapshot) {
	r, nowUs := &c.rollout, snapshot.NowUs
	if snapshot.State.Revision != r.revision {
		*r = rollout{revision: snapshot.State.Revision, startedUs: nowUs}
	}
	if r.revision == 0 || r.completedUs != 0 {
		return
	}
	live, behind := len(c.gateways.live(nowUs)), c.gateways.lagging(nowUs, r.revision)
	switch {
	case live > 0 && len(behind) == 0:
		r.completedUs = nowUs
		c.emit(RolloutProgress{Revision: r.revision, Done: true, ElapsedUs: nowUs - r.startedUs, Gateways: live})
	case len(behind) > 0 && !r.lateReported && nowUs-r.startedUs >= rolloutOverdueUs:
		r.lateReported = true
		c.emit(RolloutProgress{Revision: r.revision, ElapsedUs: nowUs - r.startedUs, Gateways: live, Behind: behind})
	}
}

// Rollout returns the rollout status of the declaration in force; nil if this controller has not led since the declaration
// came into force.
func (c *Controller) Rollout(nowUs int64) *RolloutStatus {
	r := c.rollout
	if r.revision == 0 {
		return nil
	}
	status := &RolloutStatus{Revision: r.revision, AgeMs: (nowUs - r.startedUs) / clock.Ms, CompletedAfterMs: -1, Behind: c.gateways.lagging(nowUs, r.revision)}
	if r.completedUs != 0 {
		status.CompletedAfterMs = (r.completedUs - r.startedUs) / clock.Ms
	}
	return status
}
