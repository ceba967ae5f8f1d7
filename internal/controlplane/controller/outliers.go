package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

// outlierVerdicts holds this controller's verdicts on replicas whose attempts fail more often than those of other replicas.
type outlierVerdicts struct {
	detector *outlier.Detector
	// epoch is the epoch in which the previous leader's verdicts were inherited; 0 before that.
	epoch uint64
}

// onReport records a gateway's counts of attempts and outcomes.
func (v *outlierVerdicts) onReport(snapshot Snapshot, r *wire.Report) {
	if len(r.Attempts) > 0 || len(r.Outcomes) > 0 {
		v.detector.AddReport(snapshot.NowUs, outlier.Report{Gateway: r.Gateway, Zone: r.Zone, Attempts: r.Attempts, Counts: r.Outcomes}, snapshot.serviceOf)
	}
}

// evaluate updates the verdicts when that is due, and reports whether they have changed. A new leader starts from the
// verdicts of the previous leader.
func (v *outlierVerdicts) evaluate(snapshot Snapshot, epoch uint64) (changed bool) {
	if v.epoch != epoch {
		v.epoch = epoch
		v.detector.Inherit(snapshot.NowUs, epoch, snapshot.Outliers, snapshot.serviceOf)
	}
	if !v.detector.Due(snapshot.NowUs) {
		return false
	}
	replicas := map[string]int{}
	for _, id := range snapshot.Registry.IDs() {
		if e := snapshot.Registry.Entry(id); !e.Removed && !e.Unreachable && !e.Draining {
			replicas[e.Service]++
		}
	}
	return v.detector.Evaluate(snapshot.NowUs, epoch, replicas, func(id string) bool { return snapshot.serviceOf(id) != "" })
}

// evaluateOutliers publishes the verdicts if they have changed.
func (c *Controller) evaluateOutliers(snapshot Snapshot) {
	if c.outliers.evaluate(snapshot, c.leadership.epoch) {
		c.emit(PublishVerdicts{Table: c.outliers.detector.Table()})
	}
}
