package scheduling

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/outlier"
)

const (
	lateTimes   = 4.0
	lateLeastMs = 400.0
)

// lateMs is how long after its start an attempt without a first piece is slow: far beyond what was foretold for
// it, and too late for its caller.
func (f *openAttempt) lateMs() float64 {
	return max(lateTimes*f.predictedMs, f.predictedMs+lateLeastMs, float64(f.call.Routed.Route.LatencyTargetMs))
}

// judge tells what became of an attempt to whoever watches the replica. Where the executor did not say, the
// ending does.
func (d *Decider) judge(c *Call, f *openAttempt, on string, e Ending) {
	class := outlier.Class(c.Outcome.Swap(int32(outlier.None)))
	if f.late {
		return
	}
	if class == outlier.None {
		class = classOf(e)
	}
	lateUs, firstUs := f.startUs+int64(f.lateMs()*1000), c.FirstUs.Load()
	switch {
	case class == outlier.Good && firstUs > lateUs, class == outlier.Silence && firstUs >= f.startUs:
		class = outlier.Slow
	case class == outlier.None && e == Unknown && firstUs < f.startUs && d.nowUs > lateUs:
		class = outlier.Silence
	}
	d.outliers.Note(d.nowUs, c.Routed.Service, on, class, d.replicasOf(c.Routed.Service))
}

func classOf(e Ending) outlier.Class {
	switch e {
	case Done:
		return outlier.Good
	case Failed:
		return outlier.ErrorAnswer
	case Broken, Stopped:
		return outlier.BrokenStream
	case Refused:
		return outlier.Shed
	case Final:
		return outlier.Silence
	}
	return outlier.None
}

func (d *Decider) replicasOf(service string) int {
	if d.snap == nil {
		return 0
	}
	return len(d.snap.ByService[service])
}

// late notes attempts under way that should have shown a first piece long ago.
func (d *Decider) late() {
	for _, id := range slices.Sorted(maps.Keys(d.replicaStates)) {
		for _, f := range d.replicaStates[id].openAttempts {
			if f.late || f.call.FirstUs.Load() >= f.startUs || float64(d.nowUs-f.startUs)/1000 < f.lateMs() {
				continue
			}
			f.late = true
			d.outliers.Note(d.nowUs, f.call.Routed.Service, id, outlier.Silence, d.replicasOf(f.call.Routed.Service))
		}
	}
}

// trusts says whether a call may go to a replica by what is known of its other attempts: those of this gateway,
// and the verdict of the controller on those of all.
func (d *Decider) trusts(c *Call, id string) bool {
	if d.outliers.Off(d.nowUs, id) {
		return false
	}
	row, tried := d.snap.Trials[id]
	return !tried || int(mix(c.Routed.draw^hashOf(id))%100) < row.Share
}

// wellPlaced: not every replica is trusted with this call, but some that takes it is. Where none is, those that
// are not may have it, rather than that the call waits for nobody.
func (d *Decider) wellPlaced(c *Call) bool {
	if len(d.snap.Trials) == 0 && !d.outliers.AnyOff(d.nowUs) {
		return false
	}
	for _, r := range d.snap.ByService[c.Routed.Service] {
		if d.snap.takesRouted(r, c.Model, c.Adapter) && d.trusts(c, r.ID) {
			return true
		}
	}
	return false
}

// reportOutcomes tells the controller where something failed, and what came of trials.
func (d *Decider) reportOutcomes(rep *wire.Report) {
	d.late()
	rep.Attempts, rep.Outcomes = d.outliers.Tell(d.nowUs, func(id string) bool {
		if d.snap == nil {
			return false
		}
		row, tried := d.snap.Trials[id]
		return tried && row.Share > 0
	})
}

// Failing is true where an attempt has failed that no report has told yet.
func (d *Decider) Failing() bool { return d.outliers.News() }
