package chain

// finishAcceptedProposal proposes a next view that this voter has accepted and that no proposer has completed. Until it is
// decided, this voter grants no lease to the current tail.
func (n *Node) finishAcceptedProposal() {
	if !n.acceptedEndsLease() || n.proposal != nil || n.isDiskStalled() || !n.votesRecovered || !n.view.IsVoter(n.opts.Self.ID) {
		n.undecidedSinceUs = n.nowUs
		return
	}
	var rank int64
	for i, v := range n.view.Voters {
		if v.ID == n.opts.Self.ID {
			rank = int64(i)
		}
	}
	if n.nowUs-n.undecidedSinceUs > 2*n.opts.SuspectTimeoutUs+rank*proposalDelayUs {
		n.undecidedSinceUs = n.nowUs
		n.propose(n.acceptedProposal.View)
	}
}

func (n *Node) propose(desired View) {
	if n.proposal != nil && n.proposal.viewNumber == desired.Number {
		ageUs := n.nowUs - n.proposal.startedUs
		if ageUs < n.opts.SuspectTimeoutUs+n.opts.LeaseDurationUs && (!n.proposal.preparing || ageUs < n.opts.PrepareTimeoutUs) {
			return
		}
	}
	evidence := n.lossEvidence()
	n.maxRound = max(n.maxRound, n.promisedBallot.Round, evidence.tieBreaker.promised.Round) + 1
	n.proposal = &proposal{
		viewNumber: desired.Number, ballot: Ballot{Round: n.maxRound, Proposer: n.opts.Self.ID}, desired: desired,
		promises: map[string]vote{}, acceptances: map[string]vote{}, preparing: true, evidence: evidence, startedUs: n.nowUs,
	}
	ballot := n.proposal.ballot
	for _, v := range n.view.Voters {
		n.send(v, Msg{Prepare: &Prepare{Number: desired.Number, Ballot: ballot}})
	}
}

func (n *Node) handlePrepare(m Msg, p Prepare) {
	if !n.votesRecovered && n.phase == PhaseRestarted {
		pending := m
		n.pendingPrepare = &pending
		return
	}
	if p.Number != n.view.Number+1 || !n.votesRecovered || !n.view.IsVoter(n.opts.Self.ID) || n.refusesToVote() {
		return
	}
	if !n.promisedBallot.Less(p.Ballot) {
		n.send(m.From, Msg{Promise: &Promise{Number: p.Number, Ballot: p.Ballot, PromisedBallot: n.promisedBallot}})
		return
	}
	n.promisedBallot = p.Ballot
	n.maxRound = max(n.maxRound, p.Ballot.Round)
	promise := Promise{Number: p.Number, Ballot: p.Ballot, OK: true, PromisedBallot: p.Ballot, AcceptedProposal: n.acceptedProposal, HeardVoters: n.heardVoters()}
	records := []Record{{PromisedBallot: &promise.PromisedBallot}}
	if n.view.Number == 0 {
		records = append([]Record{{View: &View{Voters: n.view.Voters}}}, records...)
	}
	n.persist(records, 0, &reply{m.From, Msg{Promise: &promise}})
}

func (n *Node) handlePromise(m Msg, p Promise) {
	c := n.proposal
	if c == nil || p.Number != c.viewNumber || p.Ballot != c.ballot || !c.preparing || !n.view.IsVoter(m.From.ID) {
		return
	}
	if !p.OK {
		n.maxRound = max(n.maxRound, p.PromisedBallot.Round)
		n.proposal = nil
		return
	}
	c.promises[m.From.ID] = vote{accepted: p.AcceptedProposal, heard: p.HeardVoters}
	if !n.isDecidedBy(c, c.promises) {
		return
	}
	c.preparing = false
	c.chosen = c.desired
	if best := n.promisedProposal(c); best != nil {
		c.chosen = best.View
	} else if _, changed := n.desiredView(); c.dropIfUnneeded && !changed {
		n.proposal = nil
		return
	}
	ballot, chosen := c.ballot, c.chosen
	for _, v := range n.view.Voters {
		n.send(v, Msg{Accept: &Accept{Number: p.Number, Ballot: ballot, View: chosen}})
	}
}

func (n *Node) handleAccept(m Msg, a Accept) {
	if a.Number != n.view.Number+1 || !n.votesRecovered || !n.view.IsVoter(n.opts.Self.ID) || n.refusesToVote() {
		return
	}
	if a.Ballot.Less(n.promisedBallot) {
		n.send(m.From, Msg{Accepted: &Accepted{Number: a.Number, Ballot: a.Ballot}})
		return
	}
	n.promisedBallot = a.Ballot
	if n.endsTailLease(a.View) && n.view.Number > 0 && n.nowUs < n.leaseGuardEndUs() && !n.isSuperseded(n.view.Tail()) {
		pending := m
		n.pendingAccept = &pending
		return
	}
	n.pendingAccept = nil
	n.acceptedProposal = &AcceptedProposal{Ballot: a.Ballot, View: a.View}
	n.persist([]Record{{AcceptedProposal: n.acceptedProposal}}, 0, &reply{m.From, Msg{Accepted: &Accepted{Number: a.Number, Ballot: a.Ballot, OK: true, HeardVoters: n.heardVoters()}}})
}

// isSuperseded reports whether the process of this replica is known to have ended, as its control node has restarted as another
// incarnation at the same address; its lease has ended with it. An incarnation that does not know this view may be an earlier
// one, and one at another address may run beside the replica, from a copy of its disk.
func (n *Node) isSuperseded(s Replica) bool {
	if s.ID == n.opts.Self.ID {
		return s.Incarnation != n.opts.Incarnation
	}
	p := n.peers[s.ID]
	return p != nil && p.hello.Incarnation != s.Incarnation && p.hello.Member.Addr == s.Addr && p.hello.View.Number >= n.view.Number
}

func (n *Node) handleAccepted(m Msg, a Accepted) {
	c := n.proposal
	if c == nil || a.Number != c.viewNumber || a.Ballot != c.ballot || c.preparing || !n.view.IsVoter(m.From.ID) {
		return
	}
	if !a.OK {
		n.proposal = nil
		return
	}
	c.acceptances[m.From.ID] = vote{heard: a.HeardVoters}
	if n.isDecidedBy(c, c.acceptances) {
		n.installView(c.chosen)
		n.broadcastHello()
	}
}

func (n *Node) installView(v View) {
	if v.Number <= n.view.Number {
		return
	}
	wasTail, wasServing := n.IsTail(), n.isServing() || (n.phase == PhaseBootstrap && v.Number == 1)
	leaseUs, startIndex, startKnown := n.leaseUntilUs, n.viewStartIndex, n.viewStartKnown
	n.leaseGuardUs, n.grantedLease = n.leaseGuardEndUs(), leaseGrant{}
	n.guardCarriedLease(v)
	n.caughtUp = n.caughtUp && (n.phase != PhaseRestarted || n.isReplicaOfThisDisk(v))
	n.view, n.promisedBallot, n.acceptedProposal, n.proposal, n.pendingAccept = v, Ballot{}, nil, nil, nil
	n.viewInstalledUs, n.viewStableUs = n.nowUs, n.nowUs
	n.successorProgress = progress{advancedUs: n.successorProgress.advancedUs}
	n.viewStartKnown, n.viewStartIndex, n.leaseGrants, n.leaseUntilUs = false, 0, map[string]int64{}, 0
	n.headTimeUs, n.confirmedHeadTimeUs, n.confirmedUs, n.headTimes, n.tailCommitIndex = 0, 0, 0, nil, 0
	n.votesRecovered = n.votesRecovered || n.phase != PhaseRestarted
	n.initialIndex = n.lastIndex()
	wasStandby := n.phase == PhaseStandby
	n.opts.FirstStart = n.opts.FirstStart && !v.IsVoter(n.opts.Self.ID)
	n.phase = n.phaseInView(v)
	if !wasStandby || n.phase != PhaseStandby {
		// A node that stays on standby has appended nothing after its snapshot. The snapshot holds only committed entries, so it
		// stays valid in the next view.
		n.snapshotIndex = 0
	}
	if !wasServing && n.phase == PhaseServing && n.position() > 0 {
		p := n.peers[v.Head().ID]
		n.caughtUp = n.caughtUp && p != nil && p.hello.LastIndex == n.lastIndex() && p.hello.LastView == n.lastView()
	}
	installed := v
	records := []Record{{View: &installed}, {Incarnation: n.opts.Incarnation}}
	n.diskIncarnations = []string{n.opts.Incarnation}
	if n.caughtUp && n.phase != PhaseStandby {
		records = append(records, Record{CaughtUpView: v.Number})
	} else {
		n.caughtUp = false
	}
	n.persist(records, 0, nil)
	n.effects = append(n.effects, ViewInstalled{View: v})
	n.appendFirstEntry()
	if n.IsTail() {
		if wasTail {
			n.leaseUntilUs, n.viewStartIndex, n.viewStartKnown = leaseUs, startIndex, startKnown
		}
		if n.IsHead() {
			n.viewStartKnown, n.viewStartIndex = true, n.lastIndex()
		}
		n.commitTo(n.syncedIndex)
		n.requestLease()
	}
	if n.isServing() {
		n.forward(true)
		n.sendAck()
	}
}

func (n *Node) phaseInView(v View) Phase {
	switch {
	case n.position() >= 0:
		return PhaseServing
	case n.phase == PhaseBootstrap && v.HasReplica(n.opts.Self.ID):
		// An earlier process of this member founded the chain and left no record of it in the log.
		return PhaseRestarted
	case n.phase != PhaseRestarted || !v.HasReplica(n.opts.Self.ID):
		return PhaseStandby
	}
	return n.phase
}
