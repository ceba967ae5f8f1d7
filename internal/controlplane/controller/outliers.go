package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

func (c *Controller) onCallOutcomes(snapshot Snapshot, r *wire.Report) {
	if snapshot.isRouted() && (len(r.Attempts) > 0 || len(r.Outcomes) > 0) {
		c.outliers.AddReport(snapshot.NowUs, outlier.Report{Gateway: r.Gateway, Zone: r.Zone, Attempts: r.Attempts, Counts: r.Outcomes}, snapshot.serviceOf)
	}
}

// judgeOutliers works out the verdicts; a new leader goes on from those of the one before.
func (c *Controller) judgeOutliers(snapshot Snapshot) {
	if c.judges != c.claimed {
		c.judges = c.claimed
		c.outliers.Inherit(snapshot.NowUs, c.claimed, snapshot.Outliers, snapshot.serviceOf)
	}
	if !c.outliers.Due(snapshot.NowUs) {
		return
	}
	replicas := map[string]int{}
	for _, id := range snapshot.Registry.IDs() {
		if e := snapshot.Registry.Entry(id); !e.Removed && !e.Unreachable && !e.Draining {
			replicas[e.Service]++
		}
	}
	if c.outliers.Evaluate(snapshot.NowUs, c.claimed, replicas, func(id string) bool { return snapshot.serviceOf(id) != "" }) {
		c.emit(PublishVerdicts{Table: c.outliers.Table()})
	}
}
