package controlclient

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

const (
	// wakeGapUs is the longest gap between two steps, in microseconds, for which the process counts as having run all the time.
	// Frames read after a longer gap may have waited in a socket buffer.
	wakeGapUs = 500 * clock.Ms
	// wakeSettleUs is how long after such a gap frames do not count as fresh, in microseconds.
	wakeSettleUs = 300 * clock.Ms
)

// CurrentUs returns the instant, in microseconds, of the newest frame from a control node that reported itself as current. This
// gateway knows every declaration that was acknowledged before then, apart from those in transit. It is 0 before the first such
// frame.
func (i *Informer) CurrentUs() int64 { return i.currentUs }

// recordWake records the instant of a step, and whether it is the first one after a gap in which the process did not run.
func (i *Informer) recordWake(nowUs int64) {
	if i.lastStepUs > 0 && nowUs-i.lastStepUs > wakeGapUs {
		i.wokeAtUs = nowUs
	}
	i.lastStepUs = nowUs
}

// recordCurrency updates currentUs if the frame comes from a current control node. It must be called after the changes of the
// frame, and of all earlier frames of its stream, have been applied.
func (i *Informer) recordCurrency(nowUs int64, s *source, f *wire.Frame) {
	settled := i.wokeAtUs == 0 || nowUs-i.wokeAtUs >= wakeSettleUs
	if settled && s.complete && f.CaughtUp && !f.PossiblyStale && i.declaration != nil {
		i.currentUs = nowUs
	}
}
