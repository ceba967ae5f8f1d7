package chain

import "slices"

// This file decides which votes are enough for a proposal of the next view. A majority always is. Where the number of voters is even,
// half of them are enough if the other half has not decided and never will; two such halves are never enough both:
//
//   - A half with the tie-breaker, if none of its voters has heard a voter of the other half for IsolationTimeoutUs.
//   - A half, if a voter of the other half has lost its disk, and no half can decide by its isolation: there is no tie-breaker, or the
//     tie-breaker is in this half. The other half never has all its votes again.
//   - A half without the tie-breaker, if the tie-breaker lost its disk less than IsolationTimeoutUs after it last heard the proposer. It
//     has then not decided in isolation, and what it had promised and accepted before is in its last hello.
//
// A disk is known to be lost once a process at the same address has another identity under the same name: it started with an empty disk.
// What a proposal knows of lost disks is what its proposer knew before it asked for votes, so that every vote was given after the loss.

// lossEvidence is what a proposer knows of voters that have lost their disks.
type lossEvidence struct {
	// lost are the IDs of these voters.
	lost []string
	// tieBreakerLost means that the tie-breaker has lost its disk, and has not decided with a half in isolation from this proposer.
	tieBreakerLost bool
	// tieBreaker is the state of the tie-breaker as an acceptor in this view, by its last hello.
	tieBreaker voterState
}

// lossEvidence returns what this member knows of lost disks now.
func (n *Node) lossEvidence() lossEvidence {
	evidence := lossEvidence{tieBreakerLost: n.isTieBreakerLost()}
	for _, v := range n.view.Voters {
		if _, lost := n.lostByUs(v); lost {
			evidence.lost = append(evidence.lost, v.ID)
		}
	}
	if p := n.peers[n.view.TieBreaker]; p != nil && p.voter.viewNumber == n.view.Number {
		evidence.tieBreaker = p.voter
	}
	return evidence
}

// hasLostWithout reports whether a voter for which a predicate does not hold has lost its disk.
func (e lossEvidence) hasLostWithout(holds func(id string) bool) bool {
	return slices.ContainsFunc(e.lost, func(id string) bool { return !holds(id) })
}

// isDecidedBy reports whether the voters that answered a proposal of this member are enough for its next step.
func (n *Node) isDecidedBy(c *proposal, votes map[string]vote) bool {
	voted := func(id string) bool { _, ok := votes[id]; return ok }
	switch {
	case n.view.IsMajority(voted):
		return true
	case n.view.Number == 0 || !n.view.IsHalf(voted):
		return false
	case n.view.TieBreaker == "":
		return c.evidence.hasLostWithout(voted)
	case voted(n.view.TieBreaker):
		return isIsolated(votes) || c.evidence.hasLostWithout(voted)
	}
	return c.evidence.tieBreakerLost
}

// promisedProposal returns the proposal with the highest ballot that the voters of a quorum of promises had accepted; nil if they had
// accepted none. Where the tie-breaker is missing, its last hello counts for it.
func (n *Node) promisedProposal(c *proposal) *AcceptedProposal {
	var best *AcceptedProposal
	if !n.view.IsQuorum(func(id string) bool { _, promised := c.promises[id]; return promised }) {
		best = c.evidence.tieBreaker.accepted
	}
	for _, v := range c.promises {
		if a := v.accepted; a != nil && (best == nil || best.Ballot.Less(a.Ballot)) {
			best = a
		}
	}
	return best
}

// isIsolated reports whether none of the voters that answered had heard another voter recently.
func isIsolated(votes map[string]vote) bool {
	for _, v := range votes {
		for _, id := range v.heard {
			if _, voted := votes[id]; !voted {
				return false
			}
		}
	}
	return true
}

// heardVoters returns the other voters that this voter has heard recently and that can vote, in a view with a tie-breaker. A process
// that has just started counts as one that has just heard all of them.
func (n *Node) heardVoters() []string {
	if n.view.TieBreaker == "" {
		return nil
	}
	heard := []string{}
	for _, v := range n.view.Voters {
		if v.ID != n.opts.Self.ID && n.hasHeardRecently(v.ID) {
			heard = append(heard, v.ID)
		}
	}
	return heard
}

func (n *Node) hasHeardRecently(id string) bool {
	var heardAwakeUs int64
	if p := n.peers[id]; p != nil {
		if p.voter.stalled {
			return false
		}
		heardAwakeUs = p.lastHelloAwakeUs
	}
	return n.awakeUs-heardAwakeUs < n.opts.IsolationTimeoutUs
}

// isTieBreakerLost reports whether the tie-breaker has lost its disk before it can have decided in isolation from this member. All
// voters must be of a build that names the voters it has heard.
func (n *Node) isTieBreakerLost() bool {
	for _, v := range n.view.Voters {
		if p := n.peers[v.ID]; v.ID != n.opts.Self.ID && (p == nil || !p.hello.ReportsHeardVoters) {
			return false
		}
	}
	for _, v := range n.view.Voters {
		if v.ID != n.view.TieBreaker || v.ID == n.opts.Self.ID {
			continue
		}
		lostUs, lost := n.lostByUs(v)
		p := n.peers[v.ID]
		return lost && p.echoUs > 0 && !p.saidStalledBefore(lostUs) && lostUs-p.echoUs < n.opts.IsolationTimeoutUs-n.opts.LeaseMarginUs
	}
	return false
}

// lostByUs returns by when a voter had lost its disk, if a process without it runs at its address. That process must have confirmed a hello
// which this one sent after it last heard the voter: a hello of an earlier identity of the machine may come late.
func (n *Node) lostByUs(v Member) (us int64, lost bool) {
	knownAliveUs := max(n.viewInstalledUs, n.startedUs)
	if p := n.peers[v.ID]; p != nil {
		knownAliveUs = max(knownAliveUs, p.lastHelloUs)
	}
	addr := n.addressOf(v)
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if id != v.ID && p.hello.Member.Name == v.Name && p.hello.Member.Addr == addr && p.echoUs > knownAliveUs {
			return p.firstHelloUs, true
		}
	}
	return 0, false
}
