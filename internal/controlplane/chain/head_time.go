package chain

import "petreltide/internal/process/clock"

// headTime is a time stamp by the head's clock, and when it was received here by this control node's clock.
type headTime struct {
	headUs     int64
	receivedUs int64
}

// headTimeSpacingUs is the minimum time between recorded time stamps. A confirmation counts from the last one recorded before it.
const headTimeSpacingUs = 20 * clock.Ms

// confirmationWindowUs is how long after its receipt a confirmed time stamp makes this control node up to date.
func (n *Node) confirmationWindowUs() int64 {
	return n.opts.SuspectTimeoutUs + 2*n.opts.HeartbeatIntervalUs
}

// recordHeadTime records a time stamp of the head that the predecessor forwarded, to be forwarded further. It reports whether
// the stamp is newer than all before.
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

// confirmHeadTime records that the tail has confirmed a time stamp, as reported by the successor. The confirmation counts from
// when the stamp was forwarded here, not from when the confirmation arrives, as that may have been delayed in the network. A
// stamp that was never forwarded here is ignored.
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
