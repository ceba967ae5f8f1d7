package chain

// HasQuorumContact reports whether this control node and a quorum of the voters of the newest view it knows hear each other;
// it counts itself if it is a voter. A control node without quorum contact may be partitioned: it cannot pass on the requests
// that it receives, and its state may be stale.
func (n *Node) HasQuorumContact(nowUs int64) bool {
	if len(n.view.Voters) == 0 || n.phase == PhaseFenced {
		return false
	}
	return n.HasQuorum(func(id string) bool {
		p := n.peers[id]
		return p != nil && nowUs-p.lastHelloUs < n.opts.SuspectTimeoutUs && nowUs-p.lastMutualUs < 2*n.opts.SuspectTimeoutUs
	})
}

// IsUpToDate reports whether the state committed here was recently the newest one: this control node has its position in the
// chain, and a time stamp of the head that it recently forwarded has reached a tail with a lease and was confirmed.
func (n *Node) IsUpToDate(nowUs int64) bool {
	switch {
	case !n.isServing() || !n.caughtUp:
		return false
	case n.IsTail():
		return n.IsTailReady(nowUs)
	}
	return n.confirmedUs > 0 && nowUs-n.confirmedUs < n.confirmationWindowUs()
}

// HasQuorum reports whether a predicate holds for a quorum of the voters of the newest view this control node knows. For
// this control node itself it is assumed to hold.
func (n *Node) HasQuorum(holds func(id string) bool) bool {
	count := 0
	for _, v := range n.view.Voters {
		if v.ID == n.opts.Self.ID || holds(v.ID) {
			count++
		}
	}
	return count > 0 && count >= n.view.QuorumSize()
}
