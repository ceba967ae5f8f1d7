package chain

func (n *Node) tick() {
	if n.behind() {
		n.behindUs = n.nowUs
	}
	if n.nowUs-n.helloUs >= n.opts.HelloUs {
		n.helloUs = n.nowUs
		n.sayHello()
		if n.IsTail() {
			n.askLease()
		}
	}
	if n.serving() && n.nowUs-n.beatSentUs >= n.beatEveryUs() {
		n.beatSentUs = n.nowUs
		n.forward(true)
		n.ackBack()
	}
	n.compareNotes()
	n.retryHeld()
	n.judge()
	n.offerCopy()
}

func (n *Node) healthy(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return s.Incarnation == n.opts.Incarnation && !n.stalled()
	}
	p := n.peers[s.ID]
	if p == nil {
		return n.nowUs-n.viewedUs < n.opts.SuspectUs
	}
	if n.awakeUs-p.heardAwakeUs >= n.opts.SuspectUs || p.hello.Incarnation != s.Incarnation || n.stallCounts(p) {
		return false
	}
	return n.awakeUs-p.deafAwakeUs < 2*n.opts.SuspectUs
}

// seatCaughtUp: only a member that has everything may come first.
func (n *Node) seatCaughtUp(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return n.caughtUp
	}
	p := n.peers[s.ID]
	if p == nil || p.hello.View.Number != n.view.Number {
		return s.ID == n.view.Head().ID && s.Incarnation == n.view.Head().Incarnation
	}
	return p.hello.Whole
}

func (n *Node) judge() {
	if n.proposal != nil && n.nowUs-n.proposal.startUs > 4*n.opts.SuspectUs {
		n.proposal = nil
	}
	switch {
	case n.phase == Fresh:
		n.judgeFounding()
	case n.serving():
		n.judgeView()
	case n.phase == Waking && n.compared:
		n.judgeWaking()
	}
	n.finishAccepted()
}

// judgeView removes the seats of members that are not healthy, seats a joiner that holds a copy, and gives
// the vote of a lost control node to the empty one that came under its name.
func (n *Node) judgeView() {
	if n.stalled() || !n.caughtUp {
		return
	}
	want, changed := n.nextView()
	if !changed {
		n.quietUs = n.nowUs
		return
	}
	var rank int64
	for _, s := range n.view.Order {
		if s.ID == n.opts.Me.ID {
			break
		}
		if n.healthy(s) {
			rank++
		}
	}
	if n.nowUs-n.quietUs < rank*250_000 {
		return
	}
	n.propose(want)
	if n.proposal != nil {
		n.proposal.judged = true
	}
}

// nextView is the view that should follow as things stand, and whether it differs from the one of now.
func (n *Node) nextView() (want View, changed bool) {
	want = View{Number: n.view.Number + 1, Voters: n.view.Voters, Extra: n.view.Extra, System: n.view.System}
	for _, s := range n.view.Order {
		if n.healthy(s) && (len(want.Order) > 0 || n.seatCaughtUp(s)) {
			want.Order = append(want.Order, s)
		}
	}
	want.Order = n.withoutLeaving(want.Order)
	changed = len(want.Order) != len(n.view.Order)
	if id := n.departedExtra(want.Order); id != "" {
		want.Voters, want.Extra = withoutVote(n.view.Voters, id), want.Extra-1
		changed = true
	} else if !changed {
		if seat, ok := n.joiner(); ok {
			want.Order = append(without(n.view.Order, n.replacedBy(seat.Member)), seat)
			changed = true
		} else if n.mayRemove() {
			want.Order = without(n.view.Order, n.state.Membership.ID)
			for _, v := range n.view.Voters {
				if v.ID == n.state.Membership.ID {
					want.Voters = withoutVote(n.view.Voters, v.ID)
				}
			}
			changed = true
		}
		if voters, extra, ok := n.newVoters(want.Order); ok {
			want.Voters, want.Extra = voters, want.Extra+extra
			changed = true
		} else if id := n.silentExtra(); !changed && id != "" {
			want.Voters, want.Extra = withoutVote(n.view.Voters, id), want.Extra-1
			changed = true
		}
	}
	return want, changed && len(want.Order) > 0 && (!n.leaving || want.Seated(n.opts.Me.ID))
}
