package chain

import (
	"slices"
	"sort"

	"petreltide/internal/controlplane/statemachine"
)

// mayFound: this control node is one of those that begin a chain together.
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
	n.recordFounders()
	most := n.opts.Founding
	if len(n.opts.Founders) > 0 {
		most = len(n.opts.Founders)
	}
	founders := []Member{n.opts.Me}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
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
		incarnation := n.opts.Incarnation
		if f.ID != n.opts.Me.ID {
			h := n.peers[f.ID].hello
			if !sameMembers(h.Founders, founders) {
				return
			}
			incarnation = h.Incarnation
		}
		order = append(order, Seat{Member: f, Incarnation: incarnation})
	}
	if len(n.view.Voters) == 0 {
		n.view = View{Voters: founders}
		n.compared = true
	}
	if founders[0].ID == n.opts.Me.ID {
		n.propose(View{Number: 1, Voters: founders, Order: order, System: founders[0].ID})
	}
}

// recordFounders puts on the disk who begins the chain together, so that a process that is killed before there is one
// still belongs to them when it comes back.
func (n *Node) recordFounders() {
	if n.foundersKept || len(n.opts.Founders) == 0 {
		return
	}
	n.foundersKept = true
	n.save([]Record{{Founding: &Founding{Addrs: n.opts.Founders}}}, 0, nil)
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

// keepFounders takes up the founders that a promise before the first view was given among. Such a record is written with
// each of these promises: what was promised and accepted before it still counts.
func (n *Node) keepFounders(v View) {
	if n.view.Number == 0 {
		n.view = v
	}
}

// writeFirstEntry begins the log where too few have founded the chain, or are left, for an acknowledgement: the others
// need an entry to have a copy of.
func (n *Node) writeFirstEntry() {
	if !n.IsHead() || !n.caughtUp || n.lastIndex() > 0 || n.WritesTaken() {
		return
	}
	n.entries = append(n.entries, Entry{Index: 1, View: n.view.Number, Change: statemachine.Change{ID: "founded"}})
}
