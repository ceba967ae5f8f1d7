package chain

import "petreltide/internal/process/clock"

// passedStamp is a time stamp of the head, by the head's clock, and when it went by here, by this control node's own.
type passedStamp struct {
	headUs int64
	atUs   int64
}

// stampEveryUs is how far apart noted stamps are: an echo counts from the last one noted before it.
const stampEveryUs = 20 * clock.Ms

// currentUs is how long after a stamp went by here its echo makes this control node current.
func (n *Node) currentUs() int64 { return n.opts.SuspectUs + 2*n.opts.BeatUs }

// passStamp takes a stamp of the head from the predecessor, to be passed on; false where it is no newer one.
func (n *Node) passStamp(headUs int64) bool {
	if headUs <= n.echoUs {
		return false
	}
	n.echoUs = headUs
	if last := len(n.passed) - 1; last >= 0 && n.nowUs-n.passed[last].atUs < stampEveryUs {
		return true
	}
	kept := 0
	for kept < len(n.passed) && n.nowUs-n.passed[kept].atUs >= n.currentUs() {
		kept++
	}
	n.passed = append(n.passed[kept:], passedStamp{headUs, n.nowUs})
	return true
}

// takeEcho takes the echo that the successor sends. It counts from when its stamp went by here, not from when it comes:
// it may have lain in a link. An echo of what never went by here is none.
func (n *Node) takeEcho(headUs int64) {
	if headUs <= n.tailEchoUs || headUs > n.beatUs() {
		return
	}
	n.tailEchoUs = headUs
	if n.IsHead() {
		n.echoedUs = headUs
		return
	}
	for _, p := range n.passed {
		if p.headUs <= headUs {
			n.echoedUs = p.atUs
		}
	}
}
