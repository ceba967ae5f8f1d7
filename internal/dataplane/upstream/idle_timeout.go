package upstream

import "petreltide/internal/process/clock"

const (
	// minIdleUs is the shortest idle timeout, in microseconds; what was idle for less was not closed for being idle.
	minIdleUs = 50 * clock.Ms
	// idleRaiseIntervalUs without an early close raises the timeout by idleRaiseFactor, until it is unlimited again.
	idleRaiseIntervalUs = 2 * clock.Sec
	idleRaiseFactor     = 1.25
	unlimitedIdleUs     = 60 * clock.Sec
	// closeWindowUs is how close together two replicas of a service must close early to lower its timeout.
	closeWindowUs = 10 * clock.Sec
	// shortIdleDivisor: an early close after less than this part of the timeout is the replica's own doing.
	shortIdleDivisor = 4
)

// idleTimeout is how long connections of one service are used again after they lay idle. It falls to half
// the age at which reused ones were found dead, and rises slowly while none is.
type idleTimeout struct {
	timeoutUs  int64
	raisedAtUs int64
	closes     map[string]earlyClose
}

type earlyClose struct {
	atUs   int64
	idleUs int64
}

func (t *idleTimeout) currentUs(nowUs int64) int64 {
	if t == nil || t.timeoutUs == 0 {
		return unlimitedIdleUs
	}
	for nowUs-t.raisedAtUs >= idleRaiseIntervalUs {
		t.raisedAtUs += idleRaiseIntervalUs
		if t.timeoutUs = int64(float64(t.timeoutUs) * idleRaiseFactor); t.timeoutUs >= unlimitedIdleUs {
			t.timeoutUs = 0
			return unlimitedIdleUs
		}
	}
	return t.timeoutUs
}

// recordClose takes a reused connection that ended before the first byte of an answer. One replica alone may be
// ill; where a second shows the same soon after, it is how long the service keeps connections. short says
// that it had not lain idle long enough for that: what ended then is the replica's doing.
func (t *idleTimeout) recordClose(nowUs int64, replica string, idleUs int64) (shortIdle bool) {
	currentUs := t.currentUs(nowUs)
	if idleUs <= max(currentUs/shortIdleDivisor, minIdleUs) && currentUs < unlimitedIdleUs {
		return true
	}
	if idleUs <= minIdleUs {
		return true
	}
	longestUs := int64(0)
	for other, earlier := range t.closes {
		switch {
		case nowUs-earlier.atUs > closeWindowUs:
			delete(t.closes, other)
		case other != replica:
			longestUs = max(longestUs, earlier.idleUs)
		}
	}
	t.closes[replica] = earlyClose{nowUs, idleUs}
	if longestUs > 0 {
		t.timeoutUs, t.raisedAtUs = max(min(currentUs, idleUs/2, longestUs/2), minIdleUs), nowUs
	}
	return false
}
