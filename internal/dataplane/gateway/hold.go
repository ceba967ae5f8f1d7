package gateway

import "petreltide/internal/process/clock"

// newConnectionUs is the time that a client needs to try another gateway at most, in microseconds: "A new connection is given a second
// to come up" (PROTOCOL, Answers).
const newConnectionUs = 1 * clock.Sec

// HoldUs returns how long, in microseconds, a request may be held for something that this gateway lacks and another one may have: at
// most maxUs, and only while its client keeps enough time to try there. A deadline of 0 means that there is none.
func HoldUs(maxUs, deadlineUs, nowUs int64) int64 {
	if deadlineUs == 0 {
		return maxUs
	}
	return max(0, min(maxUs, deadlineUs-nowUs-newConnectionUs))
}
