package scheduling

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

const (
	// lateFactor and minLateMs (ms) determine when an attempt is late: at lateFactor times its estimated time to first byte, and
	// at least minLateMs after that estimate.
	lateFactor = 4.0
	minLateMs  = 400.0
)

// lateAfterMs returns how long (ms) after its start an attempt without a first byte is late: far beyond its estimate. What callers
// would like says nothing of a replica.
func (a *openAttempt) lateAfterMs() float64 {
	return max(lateFactor*a.estimatedMs, a.estimatedMs+minLateMs)
}

// recordOutcome records the result of an attempt for outlier detection. If the executor did not classify the attempt, its class
// is derived from its outcome and its time to first byte.
func (d *Decider) recordOutcome(c *Call, a *openAttempt, replica string, outcome Outcome) {
	class := outlier.Class(c.OutlierClass.Swap(int32(outlier.Unclassified)))
	if a.reportedLate {
		return
	}
	if class == outlier.Unclassified {
		class = classOf(outcome)
	}
	lateUs, firstUs := a.startUs+int64(a.lateAfterMs()*1000), c.FirstByteUs.Load()
	switch {
	case class == outlier.Success && firstUs > lateUs, class == outlier.ResponseTimeout && firstUs >= a.startUs:
		class = outlier.Slow
	case class == outlier.Unclassified && outcome == OutcomeUnknown && firstUs < a.startUs && d.nowUs > lateUs:
		class = outlier.ResponseTimeout
	}
	d.outliers.Record(d.nowUs, c.Routed.Service, replica, class, d.replicasOf(c.Routed.Service))
}

// classOf returns the outlier class of an outcome, Unclassified if the outcome says nothing about the replica.
func classOf(outcome Outcome) outlier.Class {
	switch outcome {
	case OutcomeDone:
		return outlier.Success
	case OutcomeFailed:
		return outlier.ErrorResponse
	case OutcomeBroken, OutcomeStopped:
		return outlier.BrokenStream
	case OutcomeRejected:
		return outlier.Shed
	case OutcomeTimedOut:
		return outlier.ResponseTimeout
	}
	return outlier.Unclassified
}

// replicasOf returns the number of replicas of a service in the snapshot.
func (d *Decider) replicasOf(service string) int {
	if d.snapshot == nil {
		return 0
	}
	return len(d.snapshot.ByService[service])
}

// recordLateAttempts records open attempts that are late without a first byte as response timeouts, each once.
func (d *Decider) recordLateAttempts() {
	for _, id := range slices.Sorted(maps.Keys(d.replicaStats)) {
		for _, a := range d.replicaStats[id].openAttempts {
			if a.reportedLate || a.call.FirstByteUs.Load() >= a.startUs || float64(d.nowUs-a.startUs)/1000 < a.lateAfterMs() {
				continue
			}
			a.reportedLate = true
			d.outliers.Record(d.nowUs, a.call.Routed.Service, id, outlier.ResponseTimeout, d.replicasOf(a.call.Routed.Service))
		}
	}
}

// trusts reports whether outlier detection lets a call go to a replica: the replica must not be ejected by this gateway's own
// detector, and a controller's verdict must allow the call. The verdict counts the attempts of all gateways, and while the
// replica is on probation it allows a percentage of calls, chosen by hash.
func (d *Decider) trusts(c *Call, id string) bool {
	if d.outliers.Ejected(d.nowUs, id) {
		return false
	}
	verdict, found := d.snapshot.Verdicts[id]
	return !found || int(mixHash(c.Routed.idHash^hashOf(id))%100) < verdict.AllowedPercent
}

// hasTrustedReplica reports whether some replicas are under suspicion and at least one that accepts this call is trusted. If no
// replica is trusted, the others may be used, because otherwise the call would wait for a replica that does not exist.
func (d *Decider) hasTrustedReplica(c *Call) bool {
	if len(d.snapshot.Verdicts) == 0 && !d.outliers.AnyEjected(d.nowUs) {
		return false
	}
	for _, r := range d.snapshot.ByService[c.Routed.Service] {
		if d.snapshot.acceptsRouted(r, c.Model, c.Adapter) && d.trusts(c, r.ID) {
			return true
		}
	}
	return false
}

// reportOutcomes adds failed attempts, and all attempts at replicas on probation, to a report.
func (d *Decider) reportOutcomes(rep *wire.Report) {
	d.recordLateAttempts()
	rep.Attempts, rep.Outcomes = d.outliers.TakeReport(d.nowUs, func(id string) bool {
		if d.snapshot == nil {
			return false
		}
		verdict, found := d.snapshot.Verdicts[id]
		return found && verdict.AllowedPercent > 0
	})
}

// HasUnreportedFailures reports whether an attempt has failed that no report has contained yet.
func (d *Decider) HasUnreportedFailures() bool { return d.outliers.HasUnreportedFailures() }
