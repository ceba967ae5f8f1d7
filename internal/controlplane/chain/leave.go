package chain

// leave begins the end of this process: it tells the others at once, and goes on serving until they have put it
// out of the view.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.sayHello()
}

// leaves says that the process of this seat has been told to end.
func (n *Node) leaves(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return n.leaving && s.Incarnation == n.opts.Incarnation
	}
	p := n.peers[s.ID]
	return p != nil && p.hello.Leaving && p.hello.Incarnation == s.Incarnation
}

// memberLeaves says that the newest process of this member has been told to end.
func (n *Node) memberLeaves(id string) bool {
	if id == n.opts.Me.ID {
		return n.leaving
	}
	p := n.peers[id]
	return p != nil && p.hello.Leaving
}

// withoutLeaving takes the seats of processes that are about to end out of an order, each only where enough
// others hold the whole log without it.
func (n *Node) withoutLeaving(order []Seat) []Seat {
	for _, s := range order {
		if rest := without(order, s.ID); n.leaves(s) && n.enoughHolders(rest) {
			order = rest
		}
	}
	return order
}

// enoughHolders says that the members of an order that hold the whole log are as many, and in as many zones, as an
// acknowledgement needs.
func (n *Node) enoughHolders(order []Seat) bool {
	holders := View{Voters: n.view.Voters}
	for _, s := range order {
		if n.healthy(s) && n.seatCaughtUp(s) {
			holders.Order = append(holders.Order, s)
		}
	}
	return len(holders.Order) > 0 && holders.Order[0].ID == order[0].ID && n.takesWrites(holders)
}

// Left says that this process may end: it has no seat, its vote is with another control node where there is one that
// could take it, and the others know it. Where all others are about to end as well, there is nothing to wait for.
func (n *Node) Left() bool {
	if !n.leaving {
		return false
	}
	if n.allLeave() {
		return true
	}
	me := n.opts.Me.ID
	if n.view.Seated(me) || (n.view.Votes(me) && n.opts.SelfMembers && n.voteWanted()) {
		return false
	}
	return n.view.Number == 0 || n.viewKnown()
}

// viewKnown: a majority of the voters, and all of them that are heard, have installed the view that this member is
// in. As long as only the one that decided it knows it, its loss could leave the others without a majority of the
// view before.
func (n *Node) viewKnown() bool {
	know, others := 0, 0
	for _, v := range n.view.Voters {
		if v.ID == n.opts.Me.ID {
			continue
		}
		others++
		p := n.peers[v.ID]
		switch {
		case p != nil && p.hello.View.Number >= n.view.Number:
			know++
		case n.Hears(v.ID):
			return false
		}
	}
	return know >= min(n.view.Quorum(), others)
}

// allLeave: every other member of the view has said that it is about to end.
func (n *Node) allLeave() bool {
	for _, s := range n.view.Order {
		if !n.memberLeaves(s.ID) {
			return false
		}
	}
	for _, v := range n.view.Voters {
		if !n.memberLeaves(v.ID) {
			return false
		}
	}
	return true
}

// voteWanted: a control node without a vote is there that may take this member's, or votes are to spare.
func (n *Node) voteWanted() bool {
	if n.view.Extra > 0 && len(n.view.Voters) > votersLeast {
		return true
	}
	for _, id := range n.peerIDs() {
		if n.Hears(id) && !n.view.Votes(id) && !n.memberLeaves(id) {
			return true
		}
	}
	return false
}

// departedExtra is a voter that has no seat in an order any more, whose vote may go with the seat as another was
// taken in beside it: with a vote more than there are machines a further loss could leave no majority.
func (n *Node) departedExtra(order []Seat) string {
	if !n.opts.SelfMembers || n.view.Extra <= 0 || len(n.view.Voters) <= votersLeast {
		return ""
	}
	seated := View{Order: order}
	for _, v := range n.view.Voters {
		if n.view.Seated(v.ID) && !seated.Seated(v.ID) || n.memberLeaves(v.ID) && !seated.Seated(v.ID) {
			return v.ID
		}
	}
	return ""
}
