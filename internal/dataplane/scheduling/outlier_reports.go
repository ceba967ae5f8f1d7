package scheduling

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

const (
	// lateFactor times the expected time to its first byte, and at least minLateMs (ms) more than it, is when an attempt is late.
	lateFactor = 4.0
	minLateMs  = 400.0
)

// lateAfterMs is how long after its start an attempt without a first piece is slow: far beyond what was foretold for
// it, and too late for its caller.
func (a *openAttempt) lateAfterMs() float64 {
	return max(lateFactor*a.estimatedMs, a.estimatedMs+minLateMs, float64(a.call.Routed.Route.LatencyTargetMs))
}

// recordOutcome tells what became of an attempt to whoever watches the replica. Where the executor did not say, the
// ending does.
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

func (d *Decider) replicasOf(service string) int {
	if d.snapshot == nil {
		return 0
	}
	return len(d.snapshot.ByService[service])
}

// recordLateAttempts notes attempts under way that should have shown a first piece long ago.
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

// trusts says whether a call may go to a replica by what is known of its other attempts: those of this gateway,
// and the verdict of the controller on those of all.
func (d *Decider) trusts(c *Call, id string) bool {
	if d.outliers.Ejected(d.nowUs, id) {
		return false
	}
	verdict, found := d.snapshot.Verdicts[id]
	return !found || int(mixHash(c.Routed.idHash^hashOf(id))%100) < verdict.AllowedPercent
}

// hasTrustedReplica: not every replica is trusted with this call, but some that takes it is. Where none is, those that
// are not may have it, rather than that the call waits for nobody.
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

// reportOutcomes tells the controller where something failed, and what came of trials.
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

// HasUnreportedFailures is true where an attempt has failed that no report has told yet.
func (d *Decider) HasUnreportedFailures() bool { return d.outliers.HasUnreportedFailures() }
