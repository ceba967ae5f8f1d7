package chain

// becomeShuttingDown begins the end of this process: it tells the others at once, and goes on serving until they have put it
// out of the view.
func (n *Node) becomeShuttingDown() {
	if n.shuttingDown {
		return
	}
	n.shuttingDown = true
	n.broadcastHello()
}

// isShuttingDown says that the process of this seat has been told to end.
func (n *Node) isShuttingDown(s Replica) bool {
	if s.ID == n.opts.Self.ID {
		return n.shuttingDown && s.Incarnation == n.opts.Incarnation
	}
	p := n.peers[s.ID]
	return p != nil && p.hello.ShuttingDown && p.hello.Incarnation == s.Incarnation
}

// isMemberShuttingDown says that the newest process of this member has been told to end.
func (n *Node) isMemberShuttingDown(id string) bool {
	if id == n.opts.Self.ID {
		return n.shuttingDown
	}
	p := n.peers[id]
	return p != nil && p.hello.ShuttingDown
}

// withoutShuttingDown takes the seats of processes that are about to end out of an order, each only where enough
// others hold the whole log without it.
func (n *Node) withoutShuttingDown(order []Replica) []Replica {
	for _, s := range order {
		if rest := withoutReplica(order, s.ID); n.isShuttingDown(s) && n.hasEnoughCaughtUp(rest) {
			order = rest
		}
	}
	return order
}

// hasEnoughCaughtUp says that the members of an order that hold the whole log are as many, and in as many zones, as an
// acknowledgement needs.
func (n *Node) hasEnoughCaughtUp(order []Replica) bool {
	holders := View{Voters: n.view.Voters}
	for _, s := range order {
		if n.isHealthy(s) && n.isCaughtUp(s) {
			holders.Replicas = append(holders.Replicas, s)
		}
	}
	return len(holders.Replicas) > 0 && holders.Replicas[0].ID == order[0].ID && n.viewAcceptsWrites(holders)
}

// ShutdownComplete says that this process may end: it has no seat, its vote is with another control node where there is one that
// could take it, and the others know it. Where all others are about to end as well, there is nothing to wait for.
func (n *Node) ShutdownComplete() bool {
	if !n.shuttingDown {
		return false
	}
	if n.phase == PhaseFenced || n.isEveryMemberShuttingDown() {
		return true
	}
	me := n.opts.Self.ID
	if n.view.HasReplica(me) || (n.view.IsVoter(me) && n.opts.AutoMembership && n.canTransferVote()) {
		return false
	}
	return n.view.Number == 0 || n.isViewKnownToQuorum()
}

// isViewKnownToQuorum: a majority of the voters, and all of them that are heard, have installed the view that this member is
// in. As long as only the one that decided it knows it, its loss could leave the others without a majority of the
// view before.
func (n *Node) isViewKnownToQuorum() bool {
	informed, others := 0, 0
	for _, v := range n.view.Voters {
		if v.ID == n.opts.Self.ID {
			continue
		}
		others++
		p := n.peers[v.ID]
		switch {
		case p != nil && p.hello.View.Number >= n.view.Number:
			informed++
		case n.IsAlive(v.ID):
			return false
		}
	}
	return informed >= min(n.view.QuorumSize(), others)
}

// isEveryMemberShuttingDown: every other member of the view has said that it is about to end.
func (n *Node) isEveryMemberShuttingDown() bool {
	for _, s := range n.view.Replicas {
		if !n.isMemberShuttingDown(s.ID) {
			return false
		}
	}
	for _, v := range n.view.Voters {
		if !n.isMemberShuttingDown(v.ID) {
			return false
		}
	}
	return true
}

// canTransferVote: a control node without a vote is there that may take this member's, or votes are to spare.
func (n *Node) canTransferVote() bool {
	if n.view.ExtraVoters > 0 && len(n.view.Voters) > minVoters {
		return true
	}
	for _, id := range n.peerIDs() {
		if n.IsAlive(id) && !n.view.IsVoter(id) && !n.isMemberShuttingDown(id) {
			return true
		}
	}
	return false
}

// departedExtraVoter is a voter that has no seat in an order any more, whose vote may go with the seat as another was
// taken in beside it: with a vote more than there are machines a further loss could leave no majority.
func (n *Node) departedExtraVoter(order []Replica) string {
	if !n.opts.AutoMembership || n.view.ExtraVoters <= 0 || len(n.view.Voters) <= minVoters {
		return ""
	}
	remaining := View{Replicas: order}
	for _, v := range n.view.Voters {
		if n.view.HasReplica(v.ID) && !remaining.HasReplica(v.ID) || n.isMemberShuttingDown(v.ID) && !remaining.HasReplica(v.ID) {
			return v.ID
		}
	}
	return ""
}
