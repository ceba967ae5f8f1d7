package chain

// HasQuorumContact says whether this control node and a quorum of the voters of the newest view it knows hear each other,
// itself counted where it votes. A control node out of contact may be cut off: it cannot hand on what it is told,
// and what it knows may be old.
func (n *Node) HasQuorumContact(nowUs int64) bool {
	if len(n.view.Voters) == 0 || n.phase == PhaseFenced {
		return false
	}
	return n.HasQuorum(func(id string) bool {
		p := n.peers[id]
		return p != nil && nowUs-p.lastHelloUs < n.opts.SuspectTimeoutUs && nowUs-p.lastMutualUs < 2*n.opts.SuspectTimeoutUs
	})
}

// IsUpToDate says whether what this control node knows as committed was the newest a moment ago: it has its seat, and a time
// stamp of the head that went by here a moment ago has gone on to a tail with its lease and has come back.
func (n *Node) IsUpToDate(nowUs int64) bool {
	switch {
	case !n.isServing() || !n.caughtUp:
		return false
	case n.IsTail():
		return n.IsTailReady(nowUs)
	}
	return n.confirmedUs > 0 && nowUs-n.confirmedUs < n.confirmationWindowUs()
}

// HasQuorum says whether something holds for a quorum of the voters of the newest view this control node knows. It is
// taken to hold for this control node itself.
func (n *Node) HasQuorum(holds func(id string) bool) bool {
	count := 0
	for _, v := range n.view.Voters {
		if v.ID == n.opts.Self.ID || holds(v.ID) {
			count++
		}
	}
	return count > 0 && count >= n.view.QuorumSize()
}
