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
func (f *openAttempt) lateAfterMs() float64 {
	return max(lateFactor*f.estimatedMs, f.estimatedMs+minLateMs, float64(f.call.Routed.Route.LatencyTargetMs))
}

// recordOutcome tells what became of an attempt to whoever watches the replica. Where the executor did not say, the
// ending does.
func (d *Decider) recordOutcome(c *Call, f *openAttempt, on string, e Outcome) {
	class := outlier.Class(c.OutlierClass.Swap(int32(outlier.Unclassified)))
	if f.reportedLate {
		return
	}
	if class == outlier.Unclassified {
		class = classOf(e)
	}
	lateUs, firstUs := f.startUs+int64(f.lateAfterMs()*1000), c.FirstByteUs.Load()
	switch {
	case class == outlier.Success && firstUs > lateUs, class == outlier.ResponseTimeout && firstUs >= f.startUs:
		class = outlier.Slow
	case class == outlier.Unclassified && e == OutcomeUnknown && firstUs < f.startUs && d.nowUs > lateUs:
		class = outlier.ResponseTimeout
	}
	d.outliers.Record(d.nowUs, c.Routed.Service, on, class, d.replicasOf(c.Routed.Service))
}

func classOf(e Outcome) outlier.Class {
	switch e {
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
		for _, f := range d.replicaStats[id].openAttempts {
			if f.reportedLate || f.call.FirstByteUs.Load() >= f.startUs || float64(d.nowUs-f.startUs)/1000 < f.lateAfterMs() {
				continue
			}
			f.reportedLate = true
			d.outliers.Record(d.nowUs, f.call.Routed.Service, id, outlier.ResponseTimeout, d.replicasOf(f.call.Routed.Service))
		}
	}
}

// trusts says whether a call may go to a replica by what is known of its other attempts: those of this gateway,
// and the verdict of the controller on those of all.
func (d *Decider) trusts(c *Call, id string) bool {
	if d.outliers.Ejected(d.nowUs, id) {
		return false
	}
	row, tried := d.snapshot.Verdicts[id]
	return !tried || int(mixHash(c.Routed.sample^hashOf(id))%100) < row.AllowedPercent
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
		row, tried := d.snapshot.Verdicts[id]
		return tried && row.AllowedPercent > 0
	})
}

// HasUnreportedFailures is true where an attempt has failed that no report has told yet.
func (d *Decider) HasUnreportedFailures() bool { return d.outliers.HasUnreportedFailures() }
