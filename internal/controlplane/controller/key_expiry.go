package controller

import (
	"petreltide/internal/process/clock"
)

const (
	// keyMarkIntervalUs is how often a position of the log is marked.
	keyMarkIntervalUs = 3600 * clock.Sec
	// maxKeyMarks is how many marks are kept: an idempotency key is kept for at least a day.
	maxKeyMarks = 24
)

// keyExpiry marks a position of the log every hour; idempotency keys from before the oldest mark are forgotten.
type keyExpiry struct {
	// indexes are the marks, oldest first, and markedUs when the newest was made.
	indexes  []uint64
	markedUs int64
}

// expireBefore marks the position where that is due, and gives the one before which keys are forgotten; 0 for none.
func (k *keyExpiry) expireBefore(nowUs int64, index uint64) uint64 {
	if k.markedUs == 0 {
		k.markedUs = nowUs
	}
	if nowUs-k.markedUs < keyMarkIntervalUs {
		return 0
	}
	k.markedUs = nowUs
	k.indexes = append(k.indexes, index)
	if len(k.indexes) <= maxKeyMarks {
		return 0
	}
	oldest := k.indexes[0]
	k.indexes = k.indexes[1:]
	return oldest
}
