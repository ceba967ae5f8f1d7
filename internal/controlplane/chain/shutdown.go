package chain

// becomeShuttingDown starts the shutdown of this process: it informs the others at once, and continues to serve until they have
// removed it from the view.
func (n *Node) becomeShuttingDown() {
	if n.shuttingDown {
		return
	}
	n.shuttingDown = true
	n.broadcastHello()
}

// isShuttingDown reports whether the process of this replica was asked to shut down.
func (n *Node) isShuttingDown(s Replica) bool {
	if s.ID == n.opts.Self.ID {
		return n.shuttingDown && s.Incarnation == n.opts.Incarnation
	}
	p := n.peers[s.ID]
	return p != nil && p.hello.ShuttingDown && p.hello.Incarnation == s.Incarnation
}

// isMemberShuttingDown reports whether the newest process of this member was asked to shut down.
func (n *Node) isMemberShuttingDown(id string) bool {
	if id == n.opts.Self.ID {
		return n.shuttingDown
	}
	p := n.peers[id]
	return p != nil && p.hello.ShuttingDown
}

// withoutShuttingDown removes the replicas that are shutting down from an order, each only if enough of the others hold the
// complete log.
func (n *Node) withoutShuttingDown(order []Replica) []Replica {
	for _, s := range order {
		if rest := withoutReplica(order, s.ID); n.isShuttingDown(s) && n.hasEnoughCaughtUp(rest) {
			order = rest
		}
	}
	return order
}

// hasEnoughCaughtUp reports whether the healthy and caught-up replicas of an order include its head, and whether they are as
// many and span as many zones and regions as an acknowledgement needs.
func (n *Node) hasEnoughCaughtUp(order []Replica) bool {
	holders := View{Voters: n.view.Voters}
	for _, s := range order {
		if n.isHealthy(s) && n.isCaughtUp(s) {
			holders.Replicas = append(holders.Replicas, s)
		}
	}
	return len(holders.Replicas) > 0 && holders.Replicas[0].ID == order[0].ID && n.viewAcceptsWrites(holders)
}

// ShutdownComplete reports whether this process may end: it has no position in the chain, its vote was handed over if another
// control node could take it, and the other voters know the view. If all other members are shutting down as well, there is
// nothing to wait for.
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

// isViewKnownToQuorum reports whether a majority of the voters, and every voter that is alive, has installed the view of this
// member. While only the member that decided the view knows it, its loss could leave the others without a majority of the
// voters of the view before.
func (n *Node) isViewKnownToQuorum() bool {
	all := true
	informed := map[string]bool{}
	for _, v := range n.view.Voters {
		if v.ID == n.opts.Self.ID {
			continue
		}
		p := n.peers[v.ID]
		informed[v.ID] = p != nil && p.hello.View.Number >= n.view.Number
		if !informed[v.ID] && n.IsAlive(v.ID) {
			return false
		}
		all = all && informed[v.ID]
	}
	return all || n.view.IsQuorum(func(id string) bool { return informed[id] })
}

// isEveryMemberShuttingDown reports whether every member of the view has reported that it is shutting down.
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

// canTransferVote reports whether a live control node that is no voter could take this member's vote, or the vote is not needed.
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

// departedExtraVoter returns a voter that is no longer a replica in an order and can be removed together with its replica, as an
// extra voter was added beside it; "" if there is none. With more voters than machines a further loss could leave no majority.
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
