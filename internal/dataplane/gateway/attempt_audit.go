package gateway

import "petreltide/internal/process/clock"

// attemptAuditWindowUs is the time in microseconds over which an attemptAudit takes the smallest surplus.
const attemptAuditWindowUs = 5 * clock.Sec

// attemptAudit checks that the attempts that the decider counts as open are those that run. An attempt that has just been started or
// has just ended may be counted on one side alone, so only a surplus that lasts for a whole window is a leak: an open attempt
// that nothing will end takes a slot of its replica from this gateway for good. The zero value is ready for use.
type attemptAudit struct {
	windowEndUs int64
	// smallest is the smallest surplus of open attempts in the window.
	smallest int
}

// record notes the surplus of open attempts over running ones at nowUs. At the end of each window it returns the number of open
// attempts that nothing ran throughout the window, and 0 otherwise.
func (a *attemptAudit) record(nowUs int64, surplus int) (leaked int) {
	if a.windowEndUs == 0 {
		a.windowEndUs, a.smallest = nowUs+attemptAuditWindowUs, surplus
	}
	a.smallest = min(a.smallest, surplus)
	if nowUs < a.windowEndUs {
		return 0
	}
	leaked = max(a.smallest, 0)
	a.windowEndUs, a.smallest = nowUs+attemptAuditWindowUs, surplus
	return leaked
}
