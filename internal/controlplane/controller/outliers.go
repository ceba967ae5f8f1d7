package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

// outlierVerdicts are this controller's verdicts on replicas whose attempts fail more often than those of others.
type outlierVerdicts struct {
	detector *outlier.Detector
	// epoch is the one in which the verdicts of the leader before were taken over; 0 before.
	epoch uint64
}

// onReport takes a gateway's counts of attempts and their outcomes.
func (v *outlierVerdicts) onReport(snapshot Snapshot, r *wire.Report) {
	if len(r.Attempts) > 0 || len(r.Outcomes) > 0 {
		v.detector.AddReport(snapshot.NowUs, outlier.Report{Gateway: r.Gateway, Zone: r.Zone, Attempts: r.Attempts, Counts: r.Outcomes}, snapshot.serviceOf)
	}
}

// judge works out the verdicts where that is due, and says whether they have changed. A new leader goes on from those of
// the one before.
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

// evaluateOutliers publishes the verdicts where they have changed.
func (c *Controller) evaluateOutliers(snapshot Snapshot) {
	if c.outliers.evaluate(snapshot, c.leadership.epoch) {
		c.emit(PublishVerdicts{Table: c.outliers.detector.Table()})
	}
}
