package chain

// joiner is a control node that may be seated now, behind a tail that holds the whole log: a member opens by what its
// predecessor held as the view began.
func (n *Node) joiner() (Seat, bool) {
	if !n.seatCaughtUp(n.view.Tail()) {
		return Seat{}, false
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if n.view.Seated(id) || !n.Hears(id) || p.hello.Stalled || p.hello.Leaving || p.hello.View.Number != n.view.Number {
			continue
		}
		if p.hello.Phase != Outside && p.hello.Phase != Waking {
			continue
		}
		if p.hello.CopyIndex == 0 || p.hello.CopyIndex+uint64(n.opts.KeepMost) < n.commit || !n.hearsAll(p.hello) {
			continue
		}
		if !n.mayJoin(p.hello.Me) {
			continue
		}
		return Seat{Member: p.hello.Me, Incarnation: p.hello.Incarnation}, true
	}
	return Seat{}, false
}

func (n *Node) mayJoin(m Member) bool {
	if n.orderedOut(m.ID) {
		return false
	}
	return n.view.Votes(m.ID) || n.mayStandIn(m) || n.orderedIn(m) || n.opts.SelfMembers
}

func (n *Node) hearsAll(h Hello) bool {
	hears := map[string]bool{}
	for _, id := range h.Hears {
		hears[id] = true
	}
	for _, s := range n.view.Order {
		if !hears[s.ID] {
			return false
		}
	}
	return true
}

// mayStandIn: a control node of a new identity may take the vote of a silent one of the same name.
func (n *Node) mayStandIn(m Member) bool {
	for _, v := range n.view.Voters {
		if n.replacedBy(m) == v.ID && v.ID != m.ID {
			return true
		}
		if v.Name == m.Name && v.ID != m.ID && !n.view.Seated(v.ID) && !n.hearsFor(v.ID, 3*n.opts.SuspectUs) && n.nowUs-n.viewedUs > n.opts.SuspectUs {
			return true
		}
	}
	return false
}

func (n *Node) hearsFor(id string, spanUs int64) bool {
	p := n.peers[id]
	return p != nil && n.nowUs-p.heardUs < spanUs
}

// newVoters changes at most one vote. One that joins in a lost control node's place gets its vote with
// its seat: between the two no second control node could be spared.
func (n *Node) newVoters(order []Seat) (voters []Member, extra int, changed bool) {
	for _, s := range order {
		if n.view.Votes(s.ID) {
			for i, v := range n.view.Voters {
				if v.ID == s.ID && v.Addr != s.Addr {
					voters := append([]Member(nil), n.view.Voters...)
					voters[i] = s.Member
					return voters, 0, true
				}
			}
			continue
		}
		for i, v := range n.view.Voters {
			if v.Name == s.Name && (!n.view.Seated(v.ID) || n.replacedBy(s.Member) == v.ID) {
				voters := append([]Member(nil), n.view.Voters...)
				voters[i] = s.Member
				return voters, 0, true
			}
		}
		if n.orderedIn(s.Member) {
			return append(append([]Member(nil), n.view.Voters...), s.Member), 0, true
		}
		if n.opts.SelfMembers {
			return n.selfVoters(s.Member)
		}
	}
	return nil, 0, false
}

// selfVoters gives a newcomer the vote of one that is silent for good, or one of its own. A voter that
// has fallen silent only now is waited for.
func (n *Node) selfVoters(m Member) (voters []Member, extra int, changed bool) {
	if n.nowUs-n.bootUs < 3*n.opts.SuspectUs {
		return nil, 0, false
	}
	p := n.peers[m.ID]
	first := (p != nil && p.hello.First) || (m.ID == n.opts.Me.ID && n.opts.First)
	waits := false
	for i, v := range n.view.Voters {
		if first || (n.view.Seated(v.ID) && !n.memberLeaves(v.ID)) {
			continue
		}
		if !n.memberLeaves(v.ID) && n.hearsFor(v.ID, 3*n.opts.SuspectUs) {
			waits = waits || !n.Hears(v.ID)
			continue
		}
		voters := append([]Member(nil), n.view.Voters...)
		voters[i] = m
		return voters, 0, true
	}
	if waits {
		return nil, 0, false
	}
	extra = 1
	if first {
		extra = 0
	}
	return append(append([]Member(nil), n.view.Voters...), m), extra, true
}

// silentExtra is a silent voter whose vote may go, as another was taken in beside it.
func (n *Node) silentExtra() string {
	if !n.opts.SelfMembers || n.nowUs-n.bootUs < 3*n.opts.SuspectUs || n.view.Extra <= 0 || len(n.view.Voters) <= votersLeast {
		return ""
	}
	for _, v := range n.view.Voters {
		if !n.view.Seated(v.ID) && !n.hearsFor(v.ID, 3*n.opts.SuspectUs) && n.nowUs-n.viewedUs > n.opts.SuspectUs {
			return v.ID
		}
	}
	return ""
}

// offerCopy is the tail's: it has applied everything that was ever acknowledged.
func (n *Node) offerCopy() {
	if !n.Open(n.nowUs) || n.nowUs-n.joinAtUs < 2*n.opts.HelloUs+n.bulkUs() {
		return
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if n.view.Seated(id) || !n.Hears(id) || p.hello.Phase == Serving || p.hello.Stalled || p.hello.Leaving {
			continue
		}
		seated := n.mayJoin(p.hello.Me)
		stale := p.hello.CopyIndex == 0 || p.hello.CopyIndex+uint64(n.opts.KeepMost)/2 < n.commit
		if !seated || !stale || p.hello.View.Number != n.view.Number {
			continue
		}
		n.joinAtUs = n.nowUs
		n.send(p.hello.Me, Msg{Joining: &Joining{View: n.view.Number, Incarnation: p.hello.Incarnation, Copy: *n.copyNow()}})
	}
}

func (n *Node) gotJoining(m Msg, j Joining) {
	tail := n.view.Tail()
	if n.serving() || j.View != n.view.Number || j.Incarnation != n.opts.Incarnation || m.From.ID != tail.ID || m.Incarnation != tail.Incarnation {
		return
	}
	if n.phase == Waking {
		n.phase = Outside
	}
	n.takeCopy(j.Copy)
}
