package chain

import "sort"

func (n *Node) retryHeld() {
	if n.held == nil || (n.nowUs < n.guardEndUs() && !n.ended(n.view.Tail())) {
		return
	}
	m := *n.held
	n.held = nil
	n.gotAccept(m, *m.Accept)
}

// grant is the newest lease that this voter has given the tail of its view: until when it must count with it, and when
// the tail asked for it, by the tail's clock.
type grant struct {
	untilUs int64
	sentUs  int64
}

// guardEndUs is until when this voter accepts no view that ends a lease.
func (n *Node) guardEndUs() int64 { return max(n.guardUs, n.granted.untilUs) }

func (n *Node) askLease() {
	if n.leaseReleased() {
		return
	}
	for _, v := range n.view.Voters {
		n.send(v, Msg{Lease: &Lease{View: n.view.Number, SentUs: n.nowUs}})
	}
}

func (n *Node) gotLease(m Msg, l Lease) {
	if l.View != n.view.Number {
		return
	}
	if l.Released {
		n.gotRelease(m, l)
		return
	}
	if l.Given {
		if n.IsTail() && l.SentUs <= n.nowUs && l.SentUs > n.releasedUs {
			n.leases[m.From.ID] = max(n.leases[m.From.ID], l.SentUs)
			n.countLease()
		}
		return
	}
	tail := n.view.Tail()
	if m.From.ID != tail.ID || m.Incarnation != tail.Incarnation || n.held != nil || n.acceptedLeaseEnd() || !n.compared || !n.view.Votes(n.opts.Me.ID) {
		return
	}
	n.granted = grant{untilUs: n.nowUs + n.opts.LeaseUs, sentUs: max(n.granted.sentUs, l.SentUs)}
	n.send(m.From, Msg{Lease: &Lease{View: l.View, SentUs: l.SentUs, Given: true}})
}

// gotRelease: the tail has given up what this voter granted it, so that nothing outlives a next view. A release that was
// overtaken by a later request leaves that one's grant as it is.
func (n *Node) gotRelease(m Msg, l Lease) {
	tail := n.view.Tail()
	if m.From.ID != tail.ID || m.Incarnation != tail.Incarnation || l.SentUs < n.granted.sentUs {
		return
	}
	n.granted = grant{}
	n.retryHeld()
}

// releaseLease gives up the lease of a tail that is about to be put out of the view: the others need not wait for its
// end. A tail that nobody can replace keeps it, and goes on answering.
func (n *Node) releaseLease() {
	if !n.IsTail() || !n.replaceable() {
		return
	}
	n.leaseUs, n.leases, n.releasedUs = 0, map[string]int64{}, n.nowUs
	for _, v := range n.view.Voters {
		n.send(v, Msg{Lease: &Lease{View: n.view.Number, SentUs: n.nowUs, Released: true}})
	}
}

// leaseReleased: this tail waits to be put out. Where that does not happen it asks for its lease again.
func (n *Node) leaseReleased() bool {
	return n.refusing() && n.releasedUs > 0 && n.nowUs-n.releasedUs < n.opts.SuspectUs
}

// replaceable says that the others can decide on a view without this member and serve in it: a quorum of voters is
// heard beside it, and a member that holds the whole log is healthy.
func (n *Node) replaceable() bool {
	heard := 0
	for _, v := range n.view.Voters {
		if v.ID != n.opts.Me.ID && n.Hears(v.ID) {
			heard++
		}
	}
	if heard < n.view.Quorum() {
		return false
	}
	for _, s := range n.view.Order {
		if s.ID != n.opts.Me.ID && n.Hears(s.ID) && n.healthy(s) && n.seatCaughtUp(s) {
			return true
		}
	}
	return false
}

// acceptedLeaseEnd: this voter has accepted a next view that ends the lease of the tail of now, and which may be decided
// at any moment; a lease that is given now would outlive it.
func (n *Node) acceptedLeaseEnd() bool {
	return n.accepted != nil && n.accepted.View.Number == n.view.Number+1 && n.endsLease(n.accepted.View)
}

// endsLease says that the lease of the tail of now must have run out before a next view is decided: the view has
// another tail, or its voters could decide on another tail without any of those who gave the lease. A quorum of the
// voters of now meets every quorum of the next ones where a vote only comes or goes, not where one takes another's
// place; the tail itself, though, gives itself no lease of the view before.
func (n *Node) endsLease(next View) bool {
	now, then := n.view.Tail(), next.Tail()
	if now.ID != then.ID || now.Incarnation != then.Incarnation {
		return true
	}
	return otherVotes(next, n.view, then.ID) && otherVotes(n.view, next, "")
}

// otherVotes says that somebody votes in one view who does not in another; one member does not count.
func otherVotes(in, notIn View, except string) bool {
	for _, m := range in.Voters {
		if m.ID != except && !notIn.Votes(m.ID) {
			return true
		}
	}
	return false
}

// guardKeptLease: a tail that stays keeps its lease as the votes change. Several such changes in a row could lead to
// voters none of whom gave it; so whoever installs one waits as if it had given a lease then.
func (n *Node) guardKeptLease(next View) {
	now, then := n.view.Tail(), next.Tail()
	if now.ID == then.ID && now.Incarnation == then.Incarnation && n.view.Number > 0 && (otherVotes(next, n.view, "") || otherVotes(n.view, next, "")) {
		n.guardUs = max(n.guardUs, n.nowUs+n.opts.LeaseUs)
	}
}

func (n *Node) countLease() {
	times := []int64{}
	for _, v := range n.view.Voters {
		if sentUs, ok := n.leases[v.ID]; ok {
			times = append(times, sentUs)
		}
	}
	if len(times) < n.view.Quorum() {
		return
	}
	sort.Slice(times, func(i, j int) bool { return times[i] > times[j] })
	n.leaseUs = max(n.leaseUs, times[n.view.Quorum()-1]+n.opts.LeaseUs-n.opts.LeaseCutUs)
}
