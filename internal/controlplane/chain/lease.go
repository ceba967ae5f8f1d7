package chain

import "sort"

func (n *Node) retryPendingAccept() {
	if n.pendingAccept == nil || (n.nowUs < n.leaseGuardEndUs() && !n.isSuperseded(n.view.Tail())) {
		return
	}
	m := *n.pendingAccept
	n.pendingAccept = nil
	n.handleAccept(m, *m.Accept)
}

// leaseGrant is the newest lease that this voter has granted to the tail of its view: until when it may be valid, and when the
// tail requested it, by the tail's clock.
type leaseGrant struct {
	untilUs int64
	sentUs  int64
}

// leaseGuardEndUs returns until when this voter accepts no view that ends the lease of the tail.
func (n *Node) leaseGuardEndUs() int64 { return max(n.leaseGuardUs, n.grantedLease.untilUs) }

func (n *Node) requestLease() {
	if n.awaitsReplacement() {
		return
	}
	for _, v := range n.view.Voters {
		n.send(v, Msg{Lease: &Lease{View: n.view.Number, SentUs: n.nowUs}})
	}
}

func (n *Node) handleLease(m Msg, l Lease) {
	if l.View != n.view.Number {
		return
	}
	if l.Released {
		n.handleLeaseRelease(m, l)
		return
	}
	if l.Granted {
		if n.IsTail() && l.SentUs <= n.nowUs && l.SentUs > n.leaseReleasedUs {
			n.leaseGrants[m.From.ID] = max(n.leaseGrants[m.From.ID], l.SentUs)
			n.extendLease()
		}
		return
	}
	tail := n.view.Tail()
	if m.From.ID != tail.ID || m.Incarnation != tail.Incarnation || n.pendingAccept != nil || n.acceptedEndsLease() || !n.votesRecovered || !n.view.IsVoter(n.opts.Self.ID) {
		return
	}
	n.grantedLease = leaseGrant{untilUs: n.nowUs + n.opts.LeaseDurationUs, sentUs: max(n.grantedLease.sentUs, l.SentUs)}
	n.send(m.From, Msg{Lease: &Lease{View: l.View, SentUs: l.SentUs, Granted: true}})
}

// handleLeaseRelease drops the lease that this voter granted, as the tail has released it and the next view need not wait for
// its expiry. A release that arrives after a later request does not affect the grant for that request.
func (n *Node) handleLeaseRelease(m Msg, l Lease) {
	tail := n.view.Tail()
	if m.From.ID != tail.ID || m.Incarnation != tail.Incarnation || l.SentUs < n.grantedLease.sentUs {
		return
	}
	n.grantedLease = leaseGrant{}
	n.retryPendingAccept()
}

// releaseLease releases the lease of a tail that is about to be removed from the view, so that the others need not wait for its
// expiry. A tail that cannot be replaced keeps its lease and continues to serve.
func (n *Node) releaseLease() {
	if !n.IsTail() || !n.isReplaceable() {
		return
	}
	n.leaseUntilUs, n.leaseGrants, n.leaseReleasedUs = 0, map[string]int64{}, n.nowUs
	for _, v := range n.view.Voters {
		n.send(v, Msg{Lease: &Lease{View: n.view.Number, SentUs: n.nowUs, Released: true}})
	}
}

// awaitsReplacement reports whether this tail has released its lease and waits to be removed from the view. If it is not removed
// within SuspectTimeoutUs it requests a lease again.
func (n *Node) awaitsReplacement() bool {
	return n.isDiskRefusing() && n.leaseReleasedUs > 0 && n.nowUs-n.leaseReleasedUs < n.opts.SuspectTimeoutUs
}

// isReplaceable reports whether the other members can decide on a view without this one now and serve in it: a majority of the voters
// other than this one is alive, and another caught-up replica is healthy.
func (n *Node) isReplaceable() bool {
	if !n.view.IsMajority(func(id string) bool { return id != n.opts.Self.ID && n.IsAlive(id) }) {
		return false
	}
	for _, s := range n.view.Replicas {
		if s.ID != n.opts.Self.ID && n.IsAlive(s.ID) && n.isHealthy(s) && n.isCaughtUp(s) {
			return true
		}
	}
	return false
}

// acceptedEndsLease reports whether this voter has accepted a next view that ends the lease of the current tail. That view may
// be decided at any moment, and a lease granted now would outlive the current view.
func (n *Node) acceptedEndsLease() bool {
	return n.acceptedProposal != nil && n.acceptedProposal.View.Number == n.view.Number+1 && n.endsTailLease(n.acceptedProposal.View)
}

// endsTailLease reports whether the lease of the current tail must have expired before the next view is decided. That is so if
// the next view has another tail, or if its voters could decide on another tail without any voter that granted the lease. Every
// majority of the current voters, which a lease needs, intersects every majority of the next ones if a voter is only added or only
// removed, but not if one voter replaces another, nor where half of other voters are a quorum by their tie-breaker. A tail that
// becomes a voter does not count, as it grants itself no lease of the view before.
func (n *Node) endsTailLease(next View) bool {
	currentTail, nextTail := n.view.Tail(), next.Tail()
	if currentTail.ID != nextTail.ID || currentTail.Incarnation != nextTail.Incarnation {
		return true
	}
	if next.TieBreaker != "" && !hasSameVoters(n.view, next) {
		return true
	}
	return hasVoterNotIn(next, n.view, nextTail.ID) && hasVoterNotIn(n.view, next, "")
}

// hasVoterNotIn reports whether a view has a voter that another view has not; the member with the ID except is ignored.
func hasVoterNotIn(v, other View, except string) bool {
	for _, m := range v.Voters {
		if m.ID != except && !other.IsVoter(m.ID) {
			return true
		}
	}
	return false
}

// hasSameVoters reports whether two views have the same members as voters.
func hasSameVoters(v, other View) bool {
	return !hasVoterNotIn(v, other, "") && !hasVoterNotIn(other, v, "")
}

// guardCarriedLease extends the lease guard when a view changes the voters and keeps the tail, which keeps its lease. After
// several such changes in a row none of the voters may have granted that lease, so each member that installs such a view waits
// as if it had granted a lease at that moment.
func (n *Node) guardCarriedLease(next View) {
	currentTail, nextTail := n.view.Tail(), next.Tail()
	if currentTail.ID == nextTail.ID && currentTail.Incarnation == nextTail.Incarnation && n.view.Number > 0 && !hasSameVoters(n.view, next) {
		n.leaseGuardUs = max(n.leaseGuardUs, n.nowUs+n.opts.LeaseDurationUs)
	}
}

func (n *Node) extendLease() {
	times := []int64{}
	for _, v := range n.view.Voters {
		if sentUs, ok := n.leaseGrants[v.ID]; ok {
			times = append(times, sentUs)
		}
	}
	quorumSize := n.view.LeaseQuorumSize()
	if len(times) < quorumSize {
		return
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	n.leaseUntilUs = max(n.leaseUntilUs, times[quorumSize-1]+n.opts.LeaseDurationUs-n.opts.LeaseMarginUs)
}
