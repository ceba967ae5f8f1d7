package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

// serviceOf is the service of an incarnation of a replica, "" where it is not known or has ended.
func (s Seen) serviceOf(id string) string {
	if e := s.Roster.Entry(id); e != nil && !e.Removed {
		return e.Service
	}
	return ""
}

func (f *Controller) hearOutcomes(seen Seen, r *wire.Report) {
	if seen.isRouted() && (len(r.Attempts) > 0 || len(r.Outcomes) > 0) {
		f.outliers.Hear(seen.NowUs, outlier.Report{Gateway: r.Gateway, Zone: r.Zone, Attempts: r.Attempts, Counts: r.Outcomes}, seen.serviceOf)
	}
}

// judgeOutliers works out the verdicts; a new leader goes on from those of the one before.
func (f *Controller) judgeOutliers(seen Seen) {
	if f.judges != f.claimed {
		f.judges = f.claimed
		f.outliers.Inherit(seen.NowUs, f.claimed, seen.Outliers, seen.serviceOf)
	}
	if !f.outliers.Due(seen.NowUs) {
		return
	}
	replicas := map[string]int{}
	for _, id := range seen.Roster.IDs() {
		if e := seen.Roster.Entry(id); !e.Removed && !e.Unreachable && !e.Draining {
			replicas[e.Service]++
		}
	}
	if f.outliers.Judge(seen.NowUs, f.claimed, replicas, func(id string) bool { return seen.serviceOf(id) != "" }) {
		table := f.outliers.Table()
		f.do(Effect{Outliers: &table})
	}
}
