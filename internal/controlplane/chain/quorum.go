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
	return n.view.IsQuorum(func(id string) bool { return id == n.opts.Self.ID || holds(id) })
}

// tieBreakerOf returns the tie-breaker of a next view, "" for none. Where a voter is added and their number becomes even, as when
// a successor joins beside the member that it is to succeed, it is the new voter. That member and any one of the others can then be
// lost together: the new voter and what remains are half of the voters. It is kept as long as it is a voter and their number stays
// even. There is none unless every voter counts it, which builds before this one do not.
func (n *Node) tieBreakerOf(next View) string {
	if len(next.Voters)%2 != 0 {
		return ""
	}
	if next.IsVoter(n.view.TieBreaker) {
		return n.view.TieBreaker
	}
	added := ""
	for _, v := range next.Voters {
		if !n.view.IsVoter(v.ID) {
			added = v.ID
		}
		p := n.peers[v.ID]
		if v.ID != n.opts.Self.ID && (p == nil || !p.hello.SupportsTieBreaker) {
			return ""
		}
	}
	return added
}
