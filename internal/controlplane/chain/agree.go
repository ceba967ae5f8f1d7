package chain

// finishAccepted takes up a next view that this voter has accepted and nobody has brought to an end: until it is
// decided, the tail of now gets no lease from here.
func (n *Node) finishAccepted() {
	if !n.acceptedLeaseEnd() || n.proposal != nil || n.stalled() || !n.compared || !n.view.Votes(n.opts.Me.ID) {
		n.openSinceUs = n.nowUs
		return
	}
	var rank int64
	for i, v := range n.view.Voters {
		if v.ID == n.opts.Me.ID {
			rank = int64(i)
		}
	}
	if n.nowUs-n.openSinceUs > 2*n.opts.SuspectUs+rank*250_000 {
		n.openSinceUs = n.nowUs
		n.propose(n.accepted.View)
	}
}

func (n *Node) propose(want View) {
	if n.proposal != nil && n.proposal.number == want.Number {
		ageUs := n.nowUs - n.proposal.startUs
		if ageUs < n.opts.SuspectUs+n.opts.LeaseUs && (!n.proposal.asking || ageUs < n.opts.AskUs) {
			return
		}
	}
	n.round = max(n.round, n.promised.Round) + 1
	n.proposal = &proposal{
		number: want.Number, ballot: Ballot{Round: n.round, By: n.opts.Me.ID}, want: want,
		promises: map[string]*Accepted{}, accepts: map[string]bool{}, asking: true, startUs: n.nowUs,
	}
	ballot := n.proposal.ballot
	for _, v := range n.view.Voters {
		n.send(v, Msg{Prepare: &Prepare{Number: want.Number, Ballot: ballot}})
	}
}

func (n *Node) gotPrepare(m Msg, p Prepare) {
	if !n.compared && n.phase == Waking {
		asked := m
		n.asked = &asked
		return
	}
	if p.Number != n.view.Number+1 || !n.compared || !n.view.Votes(n.opts.Me.ID) || n.refusesVotes() {
		return
	}
	if !n.promised.Less(p.Ballot) {
		n.send(m.From, Msg{Promise: &Promise{Number: p.Number, Ballot: p.Ballot, Promised: n.promised}})
		return
	}
	n.promised = p.Ballot
	n.round = max(n.round, p.Ballot.Round)
	promise := Promise{Number: p.Number, Ballot: p.Ballot, OK: true, Promised: p.Ballot, Accepted: n.accepted}
	records := []Record{{Promised: &promise.Promised}}
	if n.view.Number == 0 {
		records = append([]Record{{View: &View{Voters: n.view.Voters}}}, records...)
	}
	n.save(records, 0, &reply{m.From, Msg{Promise: &promise}})
}

func (n *Node) gotPromise(m Msg, p Promise) {
	c := n.proposal
	if c == nil || p.Number != c.number || p.Ballot != c.ballot || !c.asking || !n.view.Votes(m.From.ID) {
		return
	}
	if !p.OK {
		n.round = max(n.round, p.Promised.Round)
		n.proposal = nil
		return
	}
	c.promises[m.From.ID] = p.Accepted
	if len(c.promises) < n.view.Quorum() {
		return
	}
	c.asking = false
	c.chosen = c.want
	var best *Accepted
	for _, a := range c.promises {
		if a != nil && (best == nil || best.Ballot.Less(a.Ballot)) {
			best = a
		}
	}
	if best != nil {
		c.chosen = best.View
	} else if _, changed := n.nextView(); c.judged && !changed {
		n.proposal = nil
		return
	}
	ballot, chosen := c.ballot, c.chosen
	for _, v := range n.view.Voters {
		n.send(v, Msg{Accept: &Accept{Number: p.Number, Ballot: ballot, View: chosen}})
	}
}

func (n *Node) gotAccept(m Msg, a Accept) {
	if a.Number != n.view.Number+1 || !n.compared || !n.view.Votes(n.opts.Me.ID) || n.refusesVotes() {
		return
	}
	if a.Ballot.Less(n.promised) {
		n.send(m.From, Msg{Accepting: &Accepting{Number: a.Number, Ballot: a.Ballot}})
		return
	}
	n.promised = a.Ballot
	if n.endsLease(a.View) && n.view.Number > 0 && n.nowUs < n.guardEndUs() && !n.ended(n.view.Tail()) {
		held := m
		n.held = &held
		return
	}
	n.held = nil
	n.accepted = &Accepted{Ballot: a.Ballot, View: a.View}
	n.save([]Record{{Accepted: n.accepted}}, 0, &reply{m.From, Msg{Accepting: &Accepting{Number: a.Number, Ballot: a.Ballot, OK: true}}})
}

// ended: the process that held this seat is known to have gone, as its control node has come back as another
// incarnation; no lease of its outlives it. One that does not know this view may be the incarnation before.
func (n *Node) ended(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return s.Incarnation != n.opts.Incarnation
	}
	p := n.peers[s.ID]
	return p != nil && p.hello.Incarnation != s.Incarnation && p.hello.View.Number >= n.view.Number
}

func (n *Node) gotAccepting(m Msg, a Accepting) {
	c := n.proposal
	if c == nil || a.Number != c.number || a.Ballot != c.ballot || c.asking || !n.view.Votes(m.From.ID) {
		return
	}
	if !a.OK {
		n.proposal = nil
		return
	}
	c.accepts[m.From.ID] = true
	if len(c.accepts) >= n.view.Quorum() {
		n.install(c.chosen)
		n.sayHello()
	}
}

func (n *Node) install(v View) {
	if v.Number <= n.view.Number {
		return
	}
	wasTail, wasServing := n.IsTail(), n.serving() || (n.phase == Fresh && v.Number == 1)
	leaseUs, openAt, openKnown := n.leaseUs, n.openAt, n.openKnown
	n.guardUs, n.granted = n.guardEndUs(), grant{}
	n.guardKeptLease(v)
	n.view, n.promised, n.accepted, n.proposal, n.held = v, Ballot{}, nil, nil, nil
	n.viewedUs, n.quietUs = n.nowUs, n.nowUs
	n.succKnown, n.succLast, n.succSent, n.succCopied = false, 0, 0, 0
	n.openKnown, n.openAt, n.leases, n.leaseUs = false, 0, map[string]int64{}, 0
	n.echoUs, n.tailEchoUs, n.echoedUs, n.passed, n.tailCommit = 0, 0, 0, nil, 0
	n.compared = n.compared || n.phase != Waking
	n.settleAt = n.lastIndex()
	wasOutside := n.phase == Outside
	n.opts.First = n.opts.First && !v.Votes(n.opts.Me.ID)
	n.phase = n.phaseIn(v)
	if !wasOutside || n.phase != Outside {
		// One that stays outside has written nothing after its copy, which holds only what was committed: it lasts
		// from view to view.
		n.copyHeld = 0
	}
	if !wasServing && n.phase == Serving && n.place() > 0 {
		p := n.peers[v.Head().ID]
		n.caughtUp = n.caughtUp && p != nil && p.hello.Last == n.lastIndex() && p.hello.LastView == n.lastView()
	}
	held := v
	records := []Record{{View: &held}}
	if n.caughtUp && n.phase != Outside {
		records = append(records, Record{Whole: v.Number})
	} else {
		n.caughtUp = false
	}
	n.save(records, 0, nil)
	n.effects = append(n.effects, Effect{Viewed: &held})
	n.writeFirstEntry()
	if n.IsTail() {
		if wasTail {
			n.leaseUs, n.openAt, n.openKnown = leaseUs, openAt, openKnown
		}
		if n.IsHead() {
			n.openKnown, n.openAt = true, n.lastIndex()
		}
		n.commitTo(n.synced)
		n.askLease()
	}
	if n.serving() {
		n.forward(true)
		n.ackBack()
	}
}

func (n *Node) phaseIn(v View) Phase {
	switch {
	case n.place() >= 0:
		return Serving
	case n.phase == Fresh && v.Seated(n.opts.Me.ID):
		// An earlier process of this member founded it and left nothing in the log.
		return Waking
	case n.phase != Waking || !v.Seated(n.opts.Me.ID):
		return Outside
	}
	return n.phase
}
