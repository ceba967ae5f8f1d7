package controlclient

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

const (
	// wakeGapUs without a step means that this process did not run meanwhile: what comes next may have lain in a buffer.
	wakeGapUs = 500 * clock.Ms
	// wakeSettleUs is how long after such a gap frames are not taken for new.
	wakeSettleUs = 300 * clock.Ms
)

// CurrentUs is the instant, in microseconds, of the newest frame of a control node that said it was current: up to then this
// gateway knows every declaration that was acknowledged, but for what is on its way. It is 0 before the first.
func (i *Informer) CurrentUs() int64 { return i.currentUs }

// recordWake notes that this process has just run again after a gap.
func (i *Informer) recordWake(nowUs int64) {
	if i.lastStepUs > 0 && nowUs-i.lastStepUs > wakeGapUs {
		i.wokeAtUs = nowUs
	}
	i.lastStepUs = nowUs
}

// recordCurrency notes a frame of a control node that is current. The frame's own news has been applied, and those of the
// frames before it on its stream.
func (i *Informer) recordCurrency(nowUs int64, s *source, f *wire.Frame) {
	settled := i.wokeAtUs == 0 || nowUs-i.wokeAtUs >= wakeSettleUs
	if settled && s.complete && f.CaughtUp && !f.PossiblyStale && i.declaration != nil {
		i.currentUs = nowUs
	}
}
