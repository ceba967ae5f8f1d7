package chain

func (n *Node) tick() {
	if n.isDiskLagging() {
		n.diskLaggedUs = n.nowUs
	}
	if n.nowUs-n.helloSentUs >= n.opts.HelloIntervalUs {
		n.helloSentUs = n.nowUs
		n.broadcastHello()
		if n.IsTail() {
			n.requestLease()
		}
	}
	if n.isServing() && n.nowUs-n.heartbeatSentUs >= n.heartbeatIntervalUs() {
		n.heartbeatSentUs = n.nowUs
		n.forward(true)
		n.sendAck()
	}
	n.maybeRecoverVotes()
	n.retryPendingAccept()
	n.maybePropose()
	n.offerSnapshot()
}

func (n *Node) isHealthy(s Replica) bool {
	if s.ID == n.opts.Self.ID {
		return s.Incarnation == n.opts.Incarnation && !n.isDiskStalled()
	}
	p := n.peers[s.ID]
	if p == nil {
		return n.nowUs-n.viewInstalledUs < n.opts.SuspectTimeoutUs
	}
	if p.hasEnded() || n.awakeUs-p.lastHelloAwakeUs >= n.opts.SuspectTimeoutUs || p.hello.Incarnation != s.Incarnation || n.countsAsStalled(p) {
		return false
	}
	return n.awakeUs-p.lastMutualAwakeUs < 2*n.opts.SuspectTimeoutUs
}

// isCaughtUp reports whether a replica is known to be caught up. Only a caught-up replica may become the head.
func (n *Node) isCaughtUp(s Replica) bool {
	if s.ID == n.opts.Self.ID {
		return n.caughtUp
	}
	p := n.peers[s.ID]
	if p == nil || p.hello.View.Number != n.view.Number {
		return s.ID == n.view.Head().ID && s.Incarnation == n.view.Head().Incarnation
	}
	return p.hello.CaughtUp
}

func (n *Node) maybePropose() {
	if n.proposal != nil && n.nowUs-n.proposal.startedUs > 4*n.opts.SuspectTimeoutUs {
		n.proposal = nil
	}
	switch {
	case n.phase == PhaseBootstrap:
		n.maybeProposeFirstView()
	case n.isServing():
		n.maybeProposeNextView()
	case n.phase == PhaseRestarted && n.votesRecovered:
		n.maybeProposeAfterRestart()
	}
	n.finishAcceptedProposal()
}

// maybeProposeNextView proposes a view that removes unhealthy replicas, adds a joining control node that holds a snapshot, and
// gives the vote of a lost control node to its replacement.
func (n *Node) maybeProposeNextView() {
	if n.isDiskStalled() || !n.caughtUp {
		return
	}
	desired, changed := n.desiredView()
	if !changed {
		n.viewStableUs = n.nowUs
		return
	}
	var rank int64
	for _, s := range n.view.Replicas {
		if s.ID == n.opts.Self.ID {
			break
		}
		if n.isHealthy(s) {
			rank++
		}
	}
	if n.nowUs-n.viewStableUs < rank*proposalDelayUs {
		return
	}
	n.propose(desired)
	if n.proposal != nil {
		n.proposal.dropIfUnneeded = true
	}
}

// desiredView returns the view that should come next, and whether it differs from the current view.
func (n *Node) desiredView() (desired View, changed bool) {
	desired = View{Number: n.view.Number + 1, Voters: n.view.Voters, ExtraVoters: n.view.ExtraVoters, System: n.view.System}
	for _, s := range n.view.Replicas {
		if n.isHealthy(s) && (len(desired.Replicas) > 0 || n.isCaughtUp(s)) {
			desired.Replicas = append(desired.Replicas, s)
		}
	}
	desired.Replicas = n.withoutShuttingDown(desired.Replicas)
	changed = len(desired.Replicas) != len(n.view.Replicas)
	if id := n.departedExtraVoter(desired.Replicas); id != "" {
		desired.Voters, desired.ExtraVoters = withoutVoter(n.view.Voters, id), desired.ExtraVoters-1
		changed = true
	} else if !changed {
		if joiner, ok := n.nextJoiner(); ok {
			desired.Replicas = append(withoutReplica(n.view.Replicas, n.replacedVoter(joiner.Member)), joiner)
			changed = true
		} else if n.canRemoveMember() {
			desired.Replicas = withoutReplica(n.view.Replicas, n.state.Membership.ID)
			for _, v := range n.view.Voters {
				if v.ID == n.state.Membership.ID {
					desired.Voters = withoutVoter(n.view.Voters, v.ID)
				}
			}
			changed = true
		}
		if voters, extra, ok := n.nextVoters(desired.Replicas); ok {
			desired.Voters, desired.ExtraVoters = voters, desired.ExtraVoters+extra
			changed = true
		} else if id := n.unreachableExtraVoter(); !changed && id != "" {
			desired.Voters, desired.ExtraVoters = withoutVoter(n.view.Voters, id), desired.ExtraVoters-1
			changed = true
		}
	}
	desired.TieBreaker = n.tieBreakerOf(desired)
	return desired, changed && len(desired.Replicas) > 0 && (!n.shuttingDown || desired.HasReplica(n.opts.Self.ID))
}
