package controller

import (
	"petreltide/internal/process/clock"
)

// rolloutLateUs is after how long the gateways that still work by an older declaration are named in the log.
const rolloutLateUs = 2 * clock.Sec

// rollout follows the declaration in force on its way to the gateways, by the revisions in their reports. A controller
// that begins to lead counts from the moment at which it first sees the declaration.
type rollout struct {
	revision uint64
	// beganUs is when this controller first saw the revision in force, doneUs when the last live gateway had reported it;
	// 0: not yet.
	beganUs int64
	doneUs  int64
	// late: those that are behind have been named in the log.
	late bool
}

// RolloutStatus is how far the declaration in force has come. The reports of gateways come a few times a second, so that
// CompletedAfterMs may be too high by the time between two of them.
type RolloutStatus struct {
	Revision uint64 `json:"revision"`
	AgeMs    int64  `json:"ageMs"`
	// CompletedAfterMs is how long it took until all live gateways worked by it; below 0 while some do not.
	CompletedAfterMs int64 `json:"tookMs"`
	// Behind are the live gateways that reported an older revision last.
	Behind []string `json:"behind,omitempty"`
}

// behind names the live gateways whose newest reports are older than a revision, in order.
func (g *gatewayMembership) behind(nowUs int64, revision uint64) []string {
	ids := []string{}
	for _, id := range g.live(nowUs) {
		if g.byID[id].report.Revision < revision {
			ids = append(ids, id)
		}
	}
	return ids
}

// followRollout tells when all live gateways work by the declaration in force, and once which ones are late.
func (c *Controller) followRollout(snapshot Snapshot) {
	r, nowUs := &c.rollout, snapshot.NowUs
	if snapshot.State.Revision != r.revision {
		*r = rollout{revision: snapshot.State.Revision, beganUs: nowUs}
	}
	if r.revision == 0 || r.doneUs != 0 {
		return
	}
	live, behind := len(c.gateways.live(nowUs)), c.gateways.behind(nowUs, r.revision)
	switch {
	case live > 0 && len(behind) == 0:
		r.doneUs = nowUs
		c.emit(RolloutProgress{Revision: r.revision, Done: true, ElapsedUs: nowUs - r.beganUs, Gateways: live})
	case len(behind) > 0 && !r.late && nowUs-r.beganUs >= rolloutLateUs:
		r.late = true
		c.emit(RolloutProgress{Revision: r.revision, ElapsedUs: nowUs - r.beganUs, Gateways: live, Behind: behind})
	}
}

// Rollout is how far the declaration in force has come; nil where this controller has not led since.
func (c *Controller) Rollout(nowUs int64) *RolloutStatus {
	r := c.rollout
	if r.revision == 0 {
		return nil
	}
	status := &RolloutStatus{Revision: r.revision, AgeMs: (nowUs - r.beganUs) / clock.Ms, CompletedAfterMs: -1, Behind: c.gateways.behind(nowUs, r.revision)}
	if r.doneUs != 0 {
		status.CompletedAfterMs = (r.doneUs - r.beganUs) / clock.Ms
	}
	return status
}
