package chain

import "sort"

func (n *Node) retryHeld() {
	if n.held == nil || (n.nowUs < n.guardUs && !n.ended(n.view.Tail())) {
		return
	}
	m := *n.held
	n.held = nil
	n.gotAccept(m, *m.Accept)
}

func (n *Node) askLease() {
	for _, v := range n.view.Voters {
		n.send(v, Msg{Lease: &Lease{View: n.view.Number, SentUs: n.nowUs}})
	}
}

func (n *Node) gotLease(m Msg, l Lease) {
	if l.View != n.view.Number {
		return
	}
	if l.Given {
		if n.IsTail() {
			n.leases[m.From.ID] = max(n.leases[m.From.ID], l.SentUs)
			n.countLease()
		}
		return
	}
	tail := n.view.Tail()
	if m.From.ID != tail.ID || m.Inc != tail.Inc || n.held != nil || n.acceptedOtherTail() || !n.compared || !n.view.Votes(n.opts.Me.ID) {
		return
	}
	n.guardUs = max(n.guardUs, n.nowUs+n.opts.LeaseUs)
	n.send(m.From, Msg{Lease: &Lease{View: l.View, SentUs: l.SentUs, Given: true}})
}

// acceptedOtherTail: this voter has accepted a next view with another tail, which may be decided at any moment; a lease
// for the tail of now would outlive it.
func (n *Node) acceptedOtherTail() bool {
	if n.accepted == nil || n.accepted.View.Number != n.view.Number+1 {
		return false
	}
	now, next := n.view.Tail(), n.accepted.View.Tail()
	return now.ID != next.ID || now.Inc != next.Inc
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
