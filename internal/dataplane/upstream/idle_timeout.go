package upstream

import "petreltide/internal/process/clock"

const (
	// minIdleUs is the shortest idle timeout, in microseconds. A connection that was idle for this time or less was not closed for being
	// idle.
	minIdleUs = 50 * clock.Ms
	// idleRaiseIntervalUs is the time since the last lowering or raise after which the timeout is multiplied by idleRaiseFactor.
	idleRaiseIntervalUs = 2 * clock.Sec
	// idleRaiseFactor is the factor of each raise.
	idleRaiseFactor = 1.25
	// unlimitedIdleUs is the timeout, in microseconds, from which on it counts as unlimited.
	unlimitedIdleUs = 60 * clock.Sec
	// closeWindowUs is the maximum time between early closes by two replicas of a service that lower its timeout, in microseconds.
	closeWindowUs = 10 * clock.Sec
	// shortIdleDivisor is the divisor of the timeout that yields the idle time up to which an early close is attributed to the replica
	// and not to its idle timeout.
	shortIdleDivisor = 4
)

// idleTimeout estimates how long an idle connection to one service can be reused. It falls to half the idle time after which reused
// connections were found closed, and rises slowly while none is found closed.
type idleTimeout struct {
	// timeoutUs is the timeout in microseconds; 0 means unlimited.
	timeoutUs int64
	// raisedAtUs is the instant of the last change of timeoutUs.
	raisedAtUs int64
	// closes are the latest early closes, by replica.
	closes map[string]earlyClose
}

// earlyClose is the close of a reused connection before the first byte of a response: its instant, and how long the connection had
// been idle before the reuse.
type earlyClose struct {
	atUs   int64
	idleUs int64
}

// currentUs returns the timeout at nowUs, in microseconds, after applying the raises that are due. The timeout of a nil receiver is
// unlimited.
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

// recordClose records that a reused connection ended before the first byte of a response. A single replica may be faulty, but if a
// second one closes early within closeWindowUs, the cause is the idle timeout of the service, and the estimate is lowered.
// shortIdle is true if the connection had not been idle for long enough to have timed out; the close is then attributed to the
// replica and not recorded.
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
