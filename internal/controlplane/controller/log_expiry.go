package controller

import (
	"petreltide/internal/process/clock"
)

// logExpiry marks the current position of the log at an interval, so that what was recorded before the oldest mark can expire. The
// state itself has no clock.
type logExpiry struct {
	// intervalUs is the time between two marks, and maxMarks the number of marks kept. What is recorded is kept for at least
	// maxMarks intervals.
	intervalUs int64
	maxMarks   int
	// indexes are the marked positions, oldest first; markedUs is the time of the latest mark.
	indexes  []uint64
	markedUs int64
}

// newKeyExpiry returns the expiry of idempotency keys, which are kept for at least a day.
func newKeyExpiry() logExpiry { return logExpiry{intervalUs: 3600 * clock.Sec, maxMarks: 24} }

// newDepartureExpiry returns the expiry of the departures of replicas. A replica ends well before that, and no heartbeat of it
// arrives so late.
func newDepartureExpiry() logExpiry { return logExpiry{intervalUs: 60 * clock.Sec, maxMarks: 5} }

// expireBefore marks the current position if a mark is due. It returns the position before which records expire, or 0 if none
// expire now.
func (e *logExpiry) expireBefore(nowUs int64, index uint64) uint64 {
	if e.markedUs == 0 {
		e.markedUs = nowUs
	}
	if nowUs-e.markedUs < e.intervalUs {
		return 0
	}
	e.markedUs = nowUs
	e.indexes = append(e.indexes, index)
	if len(e.indexes) <= e.maxMarks {
		return 0
	}
	oldest := e.indexes[0]
	e.indexes = e.indexes[1:]
	return oldest
}
