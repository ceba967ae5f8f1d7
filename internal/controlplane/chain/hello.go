package chain

import (
	"sort"
)

func (n *Node) knownMembers() map[string]Member {
	all := map[string]Member{}
	for _, m := range n.view.Voters {
		all[m.ID] = m
	}
	for _, s := range n.view.Replicas {
		all[s.ID] = s.Member
	}
	for id, p := range n.peers {
		if n.nowUs-p.lastHelloUs < 30*n.opts.SuspectTimeoutUs {
			all[id] = p.hello.Member
		}
	}
	delete(all, n.opts.Self.ID)
	return all
}

// currentHello returns the current status of this process.
func (n *Node) currentHello() Hello {
	h := Hello{
		Member: n.opts.Self, Incarnation: n.opts.Incarnation, Phase: n.phase, View: n.view, LastIndex: n.lastIndex(), LastView: n.lastView(),
		VotesRecovered: n.votesRecovered, CaughtUp: n.caughtUp && n.canBeReplica(), Stalled: n.isDiskStalled(), PromisedBallot: n.promisedBallot, AcceptedProposal: n.acceptedProposal,
		Founders: n.founders, SnapshotIndex: n.snapshotIndex, FirstStart: n.opts.FirstStart, ShuttingDown: n.shuttingDown,
		Start: n.startNumber, SupportsTieBreaker: true, SentUs: n.nowUs, ReportsHeardVoters: true,
	}
	if h.Stalled {
		n.recordStalledHello()
	}
	for _, id := range n.peerIDs() {
		if n.IsAlive(id) {
			h.AlivePeers = append(h.AlivePeers, id)
		}
	}
	return h
}

func (n *Node) broadcastHello() {
	h := n.currentHello()
	sentAddrs := map[string]bool{n.opts.Self.Addr: true}
	all := n.knownMembers()
	ids := make([]string, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		sentAddrs[all[id].Addr] = true
		hello := n.addressedHello(h, id)
		if p := n.peers[id]; p != nil && n.IsAlive(id) && p.hello.View.Number == n.view.Number {
			hello.View = View{Number: n.view.Number, System: n.view.System}
		}
		n.send(all[id], Msg{Hello: &hello})
	}
	addrs := make([]string, 0, len(n.knownAddrs))
	for addr := range n.knownAddrs {
		addrs = append(addrs, addr)
	}
	sort.Strings(addrs)
	for _, addr := range addrs {
		if !sentAddrs[addr] {
			n.send(Member{Addr: addr}, Msg{Hello: &h})
		}
	}
}

func (n *Node) handleHello(m Msg, h Hello) {
	if h.Member.ID == n.opts.Self.ID {
		if h.Incarnation != n.opts.Incarnation {
			n.learnOwnStart(KnownStart{Start: Start{Number: h.Start, Incarnation: h.Incarnation}, Addr: h.Member.Addr, Heard: true})
		}
		return
	}
	if !n.recordStart(h) {
		return
	}
	n.learnStarts(h.KnownStarts)
	if n.phase == PhaseFenced {
		return
	}
	p := n.peers[h.Member.ID]
	isNewIncarnation := p == nil || p.hello.Incarnation != h.Incarnation
	if isNewIncarnation {
		p = n.newPeer(h.Member.ID)
	}
	if !h.Stalled {
		p.stalledSinceUs = 0
	} else if p.stalledSinceUs == 0 {
		p.stalledSinceUs = n.nowUs
	}
	p.recordHello(h)
	p.lastHelloUs, p.lastHelloAwakeUs = n.nowUs, n.awakeUs
	if h.EchoUs >= n.startedUs && h.EchoUs <= n.nowUs {
		p.recordEcho(h.EchoUs)
	}
	for _, id := range h.AlivePeers {
		if id == n.opts.Self.ID {
			p.lastMutualUs, p.lastMutualAwakeUs = n.nowUs, n.awakeUs
		}
	}
	if h.View.Number > n.view.Number && len(h.View.Voters) > 0 {
		n.installView(h.View)
	}
	if n.phase == PhaseRestarted && !n.votesRecovered && h.View.Number == n.view.Number {
		if n.promisedBallot.Less(h.PromisedBallot) {
			n.promisedBallot = h.PromisedBallot
			n.maxRound = max(n.maxRound, h.PromisedBallot.Round)
		}
		if h.AcceptedProposal != nil && (n.acceptedProposal == nil || n.acceptedProposal.Ballot.Less(h.AcceptedProposal.Ballot)) && !h.AcceptedProposal.Ballot.Less(n.promisedBallot) {
			n.acceptedProposal = h.AcceptedProposal
			n.persist([]Record{{AcceptedProposal: n.acceptedProposal}}, 0, nil)
		}
	}
	if isNewIncarnation {
		n.sendHello(h.Member)
	}
	n.maybeRecoverVotes()
}

// sendHello answers the first hello of a process at once rather than with the next broadcast, as a restarted member takes no
// part in the protocol before it has heard the others. The receiver knows this process from then on, so an answer is answered at
// most once.
func (n *Node) sendHello(to Member) {
	h := n.addressedHello(n.currentHello(), to.ID)
	n.send(to, Msg{Hello: &h})
}

// addressedHello returns a hello with what it says to one member alone.
func (n *Node) addressedHello(h Hello, to string) Hello {
	p := n.peers[to]
	h.KnownStarts = n.startsToSend(p)
	if p != nil {
		h.EchoUs = p.voter.sentUs
	}
	return h
}

// recordStalledHello records for every peer that this process says in a hello that its disk is stalled.
func (n *Node) recordStalledHello() {
	for _, p := range n.peers {
		p.lastStalledHelloUs = n.nowUs
		if p.firstStalledHelloUs == 0 {
			p.firstStalledHelloUs = n.nowUs
		}
	}
}

// newPeer returns the state for a new process of a member. What the member has confirmed through an earlier process stays known.
func (n *Node) newPeer(id string) *peer {
	p := &peer{lastMutualUs: n.nowUs, lastMutualAwakeUs: n.awakeUs, firstHelloUs: n.nowUs}
	if previous := n.peers[id]; previous != nil {
		p.firstHelloUs, p.echoUs = previous.firstHelloUs, previous.echoUs
		p.firstStalledHelloUs, p.lastStalledHelloUs = previous.firstStalledHelloUs, previous.lastStalledHelloUs
	}
	n.peers[id] = p
	return p
}

// maybeRecoverVotes lets a restarted control node vote again once every other voter has recorded its start, or once a quorum has
// and VoteRecoveryTimeoutUs has passed.
func (n *Node) maybeRecoverVotes() {
	if n.votesRecovered || n.phase == PhaseBootstrap {
		return
	}
	all := true
	recovered := map[string]bool{n.opts.Self.ID: true}
	for _, v := range n.view.Voters {
		if v.ID != n.opts.Self.ID {
			recovered[v.ID] = n.IsAlive(v.ID) && n.hasRecordedStart(n.peers[v.ID].hello)
			all = all && recovered[v.ID]
		}
	}
	waited := n.nowUs-n.startedUs >= n.opts.VoteRecoveryTimeoutUs && n.view.IsQuorum(func(id string) bool { return recovered[id] })
	if all || waited || n.view.Number == 0 {
		n.votesRecovered = true
		n.handlePendingPrepare()
	}
}

// handlePendingPrepare answers the Prepare that arrived before this member had recovered its votes, as if it had been delayed in
// the network: its proposer would retry only after PrepareTimeoutUs.
func (n *Node) handlePendingPrepare() {
	pending := n.pendingPrepare
	n.pendingPrepare = nil
	if pending != nil {
		n.handlePrepare(*pending, *pending.Prepare)
	}
}
