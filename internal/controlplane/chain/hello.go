package chain

import (
	"sort"
)

func (n *Node) known() map[string]Member {
	all := map[string]Member{}
	for _, m := range n.view.Voters {
		all[m.ID] = m
	}
	for _, s := range n.view.Order {
		all[s.ID] = s.Member
	}
	for id, p := range n.peers {
		if n.nowUs-p.heardUs < 30*n.opts.SuspectUs {
			all[id] = p.hello.Me
		}
	}
	delete(all, n.opts.Me.ID)
	return all
}

// helloNow is what this process has to say of itself now.
func (n *Node) helloNow() Hello {
	h := Hello{
		Me: n.opts.Me, Incarnation: n.opts.Incarnation, Phase: n.phase, View: n.view, Last: n.lastIndex(), LastView: n.lastView(),
		Compared: n.compared, Whole: n.caughtUp, Stalled: n.stalled(), Promised: n.promised, Accepted: n.accepted,
		Founders: n.founders, CopyIndex: n.copyHeld, First: n.opts.First, Leaving: n.leaving,
	}
	for _, id := range n.peerIDs() {
		if n.Hears(id) {
			h.Hears = append(h.Hears, id)
		}
	}
	return h
}

func (n *Node) sayHello() {
	h := n.helloNow()
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
		if p := n.peers[id]; p != nil && n.Hears(id) && p.hello.View.Number == n.view.Number {
			told.View = View{Number: n.view.Number, System: n.view.System}
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
	p := n.peers[h.Me.ID]
	startReplica := p == nil || p.hello.Incarnation != h.Incarnation
	if startReplica {
		p = &peer{sinceUs: n.nowUs, deafUs: n.nowUs, deafAwakeUs: n.awakeUs}
		n.peers[h.Me.ID] = p
	}
	if !h.Stalled {
		p.stalledUs = 0
	} else if p.stalledUs == 0 {
		p.stalledUs = n.nowUs
	}
	p.hello, p.heardUs, p.heardAwakeUs = h, n.nowUs, n.awakeUs
	for _, id := range h.Hears {
		if id == n.opts.Me.ID {
			p.deafUs, p.deafAwakeUs = n.nowUs, n.awakeUs
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
	if startReplica {
		n.answerHello(h.Me)
	}
	n.compareNotes()
}

// answerHello tells a process that has just been met of this one, in place of the next round of hellos: a restarted
// member takes no part in anything before it has heard the others. Whoever is answered knows this process from then
// on, so that an answer is answered once at most.
func (n *Node) answerHello(to Member) {
	h := n.helloNow()
	n.send(to, Msg{Hello: &h})
}

// compareNotes lets a restarted control node vote again only after it has heard the
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
		n.takeAsked()
	}
}

// takeAsked answers the request for a vote that came before this member had compared notes, as if it had been on its
// way until now: whoever asked would ask again only after a while.
func (n *Node) takeAsked() {
	asked := n.asked
	n.asked = nil
	if asked != nil {
		n.gotPrepare(*asked, *asked.Prepare)
	}
}
