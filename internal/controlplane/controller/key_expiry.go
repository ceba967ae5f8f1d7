package controller

import (
	"petreltide/internal/process/clock"
)

const (
	// keyMarkIntervalUs is the interval at which a position of the log is marked.
	keyMarkIntervalUs = 3600 * clock.Sec
	// maxKeyMarks is the number of marks kept; with one mark per hour, an idempotency key is kept for at least a day.
	maxKeyMarks = 24
)

// keyExpiry marks the current position of the log once an hour; idempotency keys from before the oldest mark expire.
type keyExpiry struct {
	// indexes are the marked positions, oldest first; markedUs is the time of the latest mark.
	indexes  []uint64
	markedUs int64
}

// expireBefore marks the current position if a mark is due. It returns the position before which idempotency keys expire, or
// 0 if no keys expire now.
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
