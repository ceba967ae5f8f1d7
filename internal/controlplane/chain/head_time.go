package chain

import "petreltide/internal/process/clock"

// headTime is a time stamp of the head, by the head's clock, and when it went by here, by this control node's own.
type headTime struct {
	headUs     int64
	receivedUs int64
}

// headTimeSpacingUs is how far apart noted stamps are: an echo counts from the last one noted before it.
const headTimeSpacingUs = 20 * clock.Ms

// confirmationWindowUs is how long after a stamp went by here its echo makes this control node current.
func (n *Node) confirmationWindowUs() int64 {
	return n.opts.SuspectTimeoutUs + 2*n.opts.HeartbeatIntervalUs
}

// recordHeadTime takes a stamp of the head from the predecessor, to be passed on; false where it is no newer one.
func (n *Node) recordHeadTime(headUs int64) bool {
	if headUs <= n.headTimeUs {
		return false
	}
	n.headTimeUs = headUs
	if last := len(n.headTimes) - 1; last >= 0 && n.nowUs-n.headTimes[last].receivedUs < headTimeSpacingUs {
		return true
	}
	kept := 0
	for kept < len(n.headTimes) && n.nowUs-n.headTimes[kept].receivedUs >= n.confirmationWindowUs() {
		kept++
	}
	n.headTimes = append(n.headTimes[kept:], headTime{headUs, n.nowUs})
	return true
}

// confirmHeadTime takes the echo that the successor sends. It counts from when its stamp went by here, not from when it comes:
// it may have lain in a link. An echo of what never went by here is none.
func (n *Node) confirmHeadTime(headUs int64) {
	if headUs <= n.confirmedHeadTimeUs || headUs > n.outgoingHeadTimeUs() {
		return
	}
	n.confirmedHeadTimeUs = headUs
	if n.IsHead() {
		n.confirmedUs = headUs
		return
	}
	for _, p := range n.headTimes {
		if p.headUs <= headUs {
			n.confirmedUs = p.receivedUs
		}
	}
}
