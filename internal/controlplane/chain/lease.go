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

// leaseGrant is the newest lease that this voter has given the tail of its view: until when it must count with it, and when
// the tail asked for it, by the tail's clock.
type leaseGrant struct {
	untilUs int64
	sentUs  int64
}

// leaseGuardEndUs is until when this voter accepts no view that ends a lease.
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

// handleLeaseRelease: the tail has given up what this voter granted it, so that nothing outlives a next view. A release that was
// overtaken by a later request leaves that one's grant as it is.
func (n *Node) handleLeaseRelease(m Msg, l Lease) {
	tail := n.view.Tail()
	if m.From.ID != tail.ID || m.Incarnation != tail.Incarnation || l.SentUs < n.grantedLease.sentUs {
		return
	}
	n.grantedLease = leaseGrant{}
	n.retryPendingAccept()
}

// releaseLease gives up the lease of a tail that is about to be put out of the view: the others need not wait for its
// end. A tail that nobody can replace keeps it, and goes on answering.
func (n *Node) releaseLease() {
	if !n.IsTail() || !n.isReplaceable() {
		return
	}
	n.leaseUntilUs, n.leaseGrants, n.leaseReleasedUs = 0, map[string]int64{}, n.nowUs
	for _, v := range n.view.Voters {
		n.send(v, Msg{Lease: &Lease{View: n.view.Number, SentUs: n.nowUs, Released: true}})
	}
}

// awaitsReplacement: this tail waits to be put out. Where that does not happen it asks for its lease again.
func (n *Node) awaitsReplacement() bool {
	return n.isDiskRefusing() && n.leaseReleasedUs > 0 && n.nowUs-n.leaseReleasedUs < n.opts.SuspectTimeoutUs
}

// isReplaceable says that the others can decide on a view without this member and serve in it: a quorum of voters is
// heard beside it, and a member that holds the whole log is healthy.
func (n *Node) isReplaceable() bool {
	heard := 0
	for _, v := range n.view.Voters {
		if v.ID != n.opts.Self.ID && n.IsAlive(v.ID) {
			heard++
		}
	}
	if heard < n.view.QuorumSize() {
		return false
	}
	for _, s := range n.view.Replicas {
		if s.ID != n.opts.Self.ID && n.IsAlive(s.ID) && n.isHealthy(s) && n.isCaughtUp(s) {
			return true
		}
	}
	return false
}

// acceptedEndsLease: this voter has accepted a next view that ends the lease of the tail of now, and which may be decided
// at any moment; a lease that is given now would outlive it.
func (n *Node) acceptedEndsLease() bool {
	return n.acceptedProposal != nil && n.acceptedProposal.View.Number == n.view.Number+1 && n.endsTailLease(n.acceptedProposal.View)
}

// endsTailLease says that the lease of the tail of now must have run out before a next view is decided: the view has
// another tail, or its voters could decide on another tail without any of those who gave the lease. A quorum of the
// voters of now meets every quorum of the next ones where a vote only comes or goes, not where one takes another's
// place; the tail itself, though, gives itself no lease of the view before.
func (n *Node) endsTailLease(next View) bool {
	currentTail, nextTail := n.view.Tail(), next.Tail()
	if currentTail.ID != nextTail.ID || currentTail.Incarnation != nextTail.Incarnation {
		return true
	}
	return hasVoterNotIn(next, n.view, nextTail.ID) && hasVoterNotIn(n.view, next, "")
}

// hasVoterNotIn says that somebody votes in one view who does not in another; one member does not count.
func hasVoterNotIn(v, other View, except string) bool {
	for _, m := range v.Voters {
		if m.ID != except && !other.IsVoter(m.ID) {
			return true
		}
	}
	return false
}

// guardCarriedLease: a tail that stays keeps its lease as the votes change. Several such changes in a row could lead to
// voters none of whom gave it; so whoever installs one waits as if it had given a lease then.
func (n *Node) guardCarriedLease(next View) {
	currentTail, nextTail := n.view.Tail(), next.Tail()
	if currentTail.ID == nextTail.ID && currentTail.Incarnation == nextTail.Incarnation && n.view.Number > 0 && (hasVoterNotIn(next, n.view, "") || hasVoterNotIn(n.view, next, "")) {
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
	if len(times) < n.view.QuorumSize() {
		return
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	n.leaseUntilUs = max(n.leaseUntilUs, times[n.view.QuorumSize()-1]+n.opts.LeaseDurationUs-n.opts.LeaseMarginUs)
}
