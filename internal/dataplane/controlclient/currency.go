package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// WakeGapUs is the longest gap between two steps, in microseconds, for which the process counts as having run all the time. Frames
// read after a longer gap may have waited in a socket buffer.
const WakeGapUs = 500 * clock.Ms

// CurrentUs returns the instant, in microseconds, of the newest frame from a control node that reported itself as current. This
// gateway knows every declaration that was acknowledged before then, apart from those in transit. It is 0 before the first such
// frame.
func (i *Informer) CurrentUs() int64 { return i.currentUs }

// WokeAtUs returns the instant, in microseconds, of the first step after the latest gap in which the process did not run; 0 if there was
// none. As long as CurrentUs is earlier, this gateway may not know declarations that were acknowledged during the gap.
func (i *Informer) WokeAtUs() int64 { return i.wokeAtUs }

// recordWake records the instant of a step. At the first one after a gap in which the process did not run it replaces all streams: only
// what a control node sends in answer to a request of after the gap is certainly not from before.
func (i *Informer) recordWake(nowUs int64) {
	if i.lastStepUs > 0 && nowUs-i.lastStepUs > WakeGapUs {
		i.wokeAtUs = nowUs
		i.closeStreams()
	}
	i.lastStepUs = nowUs
}

// closeStreams closes all streams, without a backoff for their control nodes, so that the next tick opens others at once.
func (i *Informer) closeStreams() {
	for _, number := range slices.Sorted(maps.Keys(i.sources)) {
		s := i.sources[number]
		if s.complete && (i.lastSource == nil || !s.standby) {
			i.lastSource = s
		}
		delete(i.sources, number)
		i.emit(InformerEffect{Close: number})
	}
	i.backoffUntilUs, i.openedAtUs = map[string]int64{}, 0
}

// recordCurrency updates currentUs if the frame comes from a current control node. It must be called after the changes of the
// frame, and of all earlier frames of its stream, have been applied.
func (i *Informer) recordCurrency(nowUs int64, s *source, f *wire.Frame) {
	if s.complete && f.CaughtUp && !f.PossiblyStale && i.declaration != nil {
		i.currentUs = nowUs
	}
}
