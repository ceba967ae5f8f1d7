package chain

import (
	"slices"
	"sort"

	"petreltide/internal/ledger"
)

func (n *Node) tick() {
	if n.nowUs-n.helloUs >= n.opts.HelloUs {
		n.helloUs = n.nowUs
		n.sayHello()
		if n.IsTail() {
			n.askLease()
		}
	}
	if n.serving() && n.nowUs-n.beatSentUs >= n.opts.BeatUs {
		n.beatSentUs = n.nowUs
		n.forward(true)
		n.ackBack()
	}
	n.compareNotes()
	n.retryHeld()
	n.judge()
	n.offerCopy()
}

func (n *Node) known() map[string]Member {
	all := map[string]Member{}
	for _, m := range n.view.Voters {
		all[m.ID] = m
	}
	for _, s := range n.view.Order {
		all[s.ID] = s.Member
	}
	for id, p := range n.partners {
		if n.nowUs-p.heardUs < 30*n.opts.SuspectUs {
			all[id] = p.hello.Me
		}
	}
	delete(all, n.opts.Me.ID)
	return all
}

func (n *Node) sayHello() {
	h := Hello{
		Me: n.opts.Me, Inc: n.opts.Inc, Phase: n.phase, View: n.view, Last: n.lastIndex(), LastView: n.lastView(),
		Compared: n.compared, Whole: n.whole, Stalled: n.stalled(), Promised: n.promised, Accepted: n.accepted,
		Founders: n.founders, CopyIndex: n.copyHeld, First: n.opts.First, Leaving: n.leaving,
	}
	for _, id := range n.partnerIDs() {
		if n.Hears(id) {
			h.Hears = append(h.Hears, id)
		}
	}
	reached := map[string]bool{n.opts.Me.Addr: true}
	all := n.known()
	ids := make([]string, 0, len(all))
	for id := range all {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		reached[all[id].Addr] = true
		told := h
		if p := n.partners[id]; p != nil && n.Hears(id) && p.hello.View.Number == n.view.Number {
			told.View = View{Number: n.view.Number}
		}
		n.send(all[id], Msg{Hello: &told})
	}
	addrs := make([]string, 0, len(n.learned))
	for addr := range n.learned {
		addrs = append(addrs, addr)
	}
	sort.Strings(addrs)
	for _, addr := range addrs {
		if !reached[addr] {
			n.send(Member{Addr: addr}, Msg{Hello: &h})
		}
	}
}

func (n *Node) gotHello(m Msg, h Hello) {
	if h.Me.ID == n.opts.Me.ID {
		return
	}
	p := n.partners[h.Me.ID]
	if p == nil || p.hello.Inc != h.Inc {
		p = &partner{sinceUs: n.nowUs, deafUs: n.nowUs}
		n.partners[h.Me.ID] = p
	}
	p.hello, p.heardUs = h, n.nowUs
	for _, id := range h.Hears {
		if id == n.opts.Me.ID {
			p.deafUs = n.nowUs
		}
	}
	if h.View.Number > n.view.Number && len(h.View.Voters) > 0 {
		n.install(h.View)
	}
	if n.phase == Waking && !n.compared && h.View.Number == n.view.Number {
		if n.promised.Less(h.Promised) {
			n.promised = h.Promised
			n.round = max(n.round, h.Promised.Round)
		}
		if h.Accepted != nil && (n.accepted == nil || n.accepted.Ballot.Less(h.Accepted.Ballot)) && !h.Accepted.Ballot.Less(n.promised) {
			n.accepted = h.Accepted
			n.save([]Record{{Accepted: n.accepted}}, 0, nil)
		}
	}
}

// compareNotes lets a restarted office vote again only after it has heard the
// other voters of this boot, or waited for those that do not come back.
func (n *Node) compareNotes() {
	if n.compared || n.phase == Fresh {
		return
	}
	heard, wanted := 0, 0
	for _, v := range n.view.Voters {
		if v.ID == n.opts.Me.ID {
			continue
		}
		wanted++
		if n.Hears(v.ID) {
			heard++
		}
	}
	waited := n.nowUs-n.bootUs >= n.opts.CompareUs && heard+1 >= n.view.Quorum()
	if heard == wanted || waited || n.view.Number == 0 {
		n.compared = true
	}
}

func (n *Node) sound(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return s.Inc == n.opts.Inc && !n.stalled()
	}
	p := n.partners[s.ID]
	if p == nil {
		return n.nowUs-n.viewedUs < n.opts.SuspectUs
	}
	if n.nowUs-p.heardUs >= n.opts.SuspectUs || p.hello.Inc != s.Inc || p.hello.Stalled {
		return false
	}
	return n.nowUs-p.deafUs < 2*n.opts.SuspectUs
}

// wholeSeat: only a member that has everything may come first.
func (n *Node) wholeSeat(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return n.whole
	}
	p := n.partners[s.ID]
	if p == nil || p.hello.View.Number != n.view.Number {
		return s.ID == n.view.Head().ID && s.Inc == n.view.Head().Inc
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
	n.finish()
}

// finish takes up a next view that this voter has accepted and nobody has brought to an end: until it is
// decided, the tail of now gets no lease from here.
func (n *Node) finish() {
	if !n.yielded() || n.proposal != nil || n.stalled() || !n.compared || !n.view.Votes(n.opts.Me.ID) {
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

// mayFound: this office is one of those that begin a chain together.
func (n *Node) mayFound() bool {
	if len(n.opts.Founders) > 0 {
		return slices.Contains(n.opts.Founders, n.opts.Me.Addr)
	}
	return n.opts.Founding > 0
}

func (n *Node) judgeFounding() {
	if !n.mayFound() || n.stalled() {
		return
	}
	most := n.opts.Founding
	if len(n.opts.Founders) > 0 {
		most = len(n.opts.Founders)
	}
	founders := []Member{n.opts.Me}
	for _, id := range n.partnerIDs() {
		p := n.partners[id]
		if p.hello.Phase != Fresh || p.hello.View.Number > 0 {
			return
		}
		if n.Hears(id) && (len(n.opts.Founders) == 0 || slices.Contains(n.opts.Founders, p.hello.Me.Addr)) {
			founders = append(founders, p.hello.Me)
		}
	}
	sort.Slice(founders, func(i, j int) bool { return founders[i].ID < founders[j].ID })
	n.founders = founders
	if len(founders) != most {
		return
	}
	order := make([]Seat, 0, len(founders))
	for _, f := range founders {
		inc := n.opts.Inc
		if f.ID != n.opts.Me.ID {
			h := n.partners[f.ID].hello
			if !sameMembers(h.Founders, founders) {
				return
			}
			inc = h.Inc
		}
		order = append(order, Seat{Member: f, Inc: inc})
	}
	if len(n.view.Voters) == 0 {
		n.view = View{Voters: founders}
		n.compared = true
	}
	if founders[0].ID == n.opts.Me.ID {
		n.propose(View{Number: 1, Voters: founders, Order: order})
	}
}

func sameMembers(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].ID != b[i].ID {
			return false
		}
	}
	return true
}

// judgeView removes unsound seats, seats a joiner that holds a copy, and gives
// the vote of a lost office to the empty one that came under its name.
func (n *Node) judgeView() {
	if n.stalled() || !n.whole {
		return
	}
	want := View{Number: n.view.Number + 1, Voters: n.view.Voters, Extra: n.view.Extra}
	var rank int64
	for _, s := range n.view.Order {
		if s.ID == n.opts.Me.ID {
			break
		}
		if n.sound(s) {
			rank++
		}
	}
	for _, s := range n.view.Order {
		if n.sound(s) && (len(want.Order) > 0 || n.wholeSeat(s)) {
			want.Order = append(want.Order, s)
		}
	}
	want.Order = n.withoutLeaving(want.Order)
	changed := len(want.Order) != len(n.view.Order)
	if id := n.departedExtra(want.Order); id != "" {
		want.Voters, want.Extra = withoutVote(n.view.Voters, id), want.Extra-1
		changed = true
	} else if !changed {
		if seat, ok := n.joiner(); ok {
			want.Order = append(without(n.view.Order, n.replaced(seat.Member)), seat)
			changed = true
		} else if n.mayDrop() {
			want.Order = without(n.view.Order, n.state.Member.ID)
			for _, v := range n.view.Voters {
				if v.ID == n.state.Member.ID {
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
	if !changed || len(want.Order) == 0 || (n.leaving && !want.Seated(n.opts.Me.ID)) {
		n.quietUs = n.nowUs
		return
	}
	if n.nowUs-n.quietUs < rank*250_000 {
		return
	}
	n.propose(want)
}

// judgeWaking runs when nobody serves: the members of the newest view compare
// their logs, and the longest intact one goes first.
func (n *Node) judgeWaking() {
	type candidate struct {
		seat           Seat
		last, lastView uint64
		stalled        bool
	}
	found := []candidate{}
	heardVoters := 0
	if n.view.Votes(n.opts.Me.ID) {
		heardVoters = 1
	}
	for _, id := range n.partnerIDs() {
		p := n.partners[id]
		if !n.Hears(id) {
			continue
		}
		if p.hello.Phase == Serving && p.hello.Whole {
			return
		}
		if n.view.Votes(id) {
			heardVoters++
		}
		if n.view.Seated(id) && p.hello.Phase == Waking && p.hello.Whole && p.hello.View.Number == n.view.Number {
			found = append(found, candidate{Seat{p.hello.Me, p.hello.Inc}, p.hello.Last, p.hello.LastView, p.hello.Stalled})
		}
	}
	if !n.view.Seated(n.opts.Me.ID) || n.stalled() || !n.whole {
		return
	}
	found = append(found, candidate{Seat{n.opts.Me, n.opts.Inc}, n.lastIndex(), n.lastView(), n.stalled()})
	gathered := len(found) == len(n.view.Order)
	if heardVoters < n.view.Quorum() || (!gathered && n.nowUs-n.bootUs < n.opts.GatherUs) {
		return
	}
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i], found[j]
		if a.lastView != b.lastView {
			return a.lastView > b.lastView
		}
		if a.last != b.last {
			return a.last > b.last
		}
		if a.stalled != b.stalled {
			return b.stalled
		}
		return a.seat.ID < b.seat.ID
	})
	if found[0].seat.ID != n.opts.Me.ID {
		return
	}
	want := View{Number: n.view.Number + 1, Voters: n.view.Voters, Extra: n.view.Extra}
	for _, c := range found {
		want.Order = append(want.Order, c.seat)
	}
	n.propose(want)
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
	if p.Number != n.view.Number+1 || !n.compared || !n.view.Votes(n.opts.Me.ID) || n.mute() {
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
	if c == nil || p.Number != c.number || p.Ballot != c.ballot || !c.asking {
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
	}
	ballot, chosen := c.ballot, c.chosen
	for _, v := range n.view.Voters {
		n.send(v, Msg{Accept: &Accept{Number: p.Number, Ballot: ballot, View: chosen}})
	}
}

func (n *Node) gotAccept(m Msg, a Accept) {
	if a.Number != n.view.Number+1 || !n.compared || !n.view.Votes(n.opts.Me.ID) || n.mute() {
		return
	}
	if a.Ballot.Less(n.promised) {
		n.send(m.From, Msg{Accepting: &Accepting{Number: a.Number, Ballot: a.Ballot}})
		return
	}
	n.promised = a.Ballot
	oldTail, newTail := n.view.Tail(), a.View.Tail()
	sameTail := oldTail.ID == newTail.ID && oldTail.Inc == newTail.Inc
	if !sameTail && n.view.Number > 0 && n.nowUs < n.guardUs && !n.ended(oldTail) {
		held := m
		n.held = &held
		return
	}
	n.held = nil
	n.accepted = &Accepted{Ballot: a.Ballot, View: a.View}
	n.save([]Record{{Accepted: n.accepted}}, 0, &reply{m.From, Msg{Accepting: &Accepting{Number: a.Number, Ballot: a.Ballot, OK: true}}})
}

// ended: the process that held this seat is known to have gone, as its office has come back as another
// incarnation; no lease of its outlives it. One that does not know this view may be the incarnation before.
func (n *Node) ended(s Seat) bool {
	if s.ID == n.opts.Me.ID {
		return s.Inc != n.opts.Inc
	}
	p := n.partners[s.ID]
	return p != nil && p.hello.Inc != s.Inc && p.hello.View.Number >= n.view.Number
}

func (n *Node) gotAccepting(m Msg, a Accepting) {
	c := n.proposal
	if c == nil || a.Number != c.number || a.Ballot != c.ballot || c.asking {
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
	n.view, n.promised, n.accepted, n.proposal, n.held = v, Ballot{}, nil, nil, nil
	n.viewedUs, n.quietUs = n.nowUs, n.nowUs
	n.succKnown, n.succLast, n.succSent, n.succCopied = false, 0, 0, 0
	n.openKnown, n.openAt, n.leases, n.leaseUs = false, 0, map[string]int64{}, 0
	n.echoUs, n.tailEchoUs, n.echoedUs, n.tailCommit = 0, 0, 0, 0
	n.compared = n.compared || n.phase != Waking
	n.settleAt = n.lastIndex()
	wasOutside := n.phase == Outside
	n.opts.First = n.opts.First && !v.Votes(n.opts.Me.ID)
	switch {
	case n.place() >= 0:
		n.phase = Serving
	case n.phase != Waking || !v.Seated(n.opts.Me.ID):
		n.phase = Outside
	}
	if !wasOutside || n.phase != Outside {
		// One that stays outside has written nothing after its copy, which holds only what was committed: it lasts
		// from view to view.
		n.copyHeld = 0
	}
	if !wasServing && n.phase == Serving && n.place() > 0 {
		p := n.partners[v.Head().ID]
		n.whole = n.whole && p != nil && p.hello.Last == n.lastIndex() && p.hello.LastView == n.lastView()
	}
	held := v
	records := []Record{{View: &held}}
	if n.whole && n.phase != Outside {
		records = append(records, Record{Whole: v.Number})
	} else {
		n.whole = false
	}
	n.save(records, 0, nil)
	n.effects = append(n.effects, Effect{Viewed: &held})
	if v.Number == 1 && n.IsHead() && !n.WritesTaken() {
		// Too few have founded it, and the others need a first entry to have a copy of.
		n.entries = append(n.entries, Entry{Index: 1, View: 1, Change: ledger.Change{ID: "founded"}})
	}
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
