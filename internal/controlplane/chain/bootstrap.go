package chain

import (
	"slices"
	"sort"

	"petreltide/internal/controlplane/statemachine"
)

// isFounder reports whether this control node is one of those that found a chain together.
func (n *Node) isFounder() bool {
	if len(n.opts.BootstrapAddrs) > 0 {
		return slices.Contains(n.opts.BootstrapAddrs, n.opts.Self.Addr)
	}
	return n.opts.BootstrapCount > 0
}

func (n *Node) maybeProposeFirstView() {
	if !n.isFounder() || n.isDiskStalled() {
		return
	}
	n.persistBootstrap()
	founderCount := n.opts.BootstrapCount
	if len(n.opts.BootstrapAddrs) > 0 {
		founderCount = len(n.opts.BootstrapAddrs)
	}
	founders := []Member{n.opts.Self}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if p.hello.Phase != PhaseBootstrap || p.hello.View.Number > 0 {
			return
		}
		if n.IsAlive(id) && (len(n.opts.BootstrapAddrs) == 0 || slices.Contains(n.opts.BootstrapAddrs, p.hello.Member.Addr)) {
			founders = append(founders, p.hello.Member)
		}
	}
	sort.Slice(founders, func(i, j int) bool { return founders[i].ID < founders[j].ID })
	n.founders = founders
	if len(founders) != founderCount {
		return
	}
	order := make([]Replica, 0, len(founders))
	for _, f := range founders {
		incarnation := n.opts.Incarnation
		if f.ID != n.opts.Self.ID {
			h := n.peers[f.ID].hello
			if !sameMembers(h.Founders, founders) {
				return
			}
			incarnation = h.Incarnation
		}
		order = append(order, Replica{Member: f, Incarnation: incarnation})
	}
	if len(n.view.Voters) == 0 {
		n.view = View{Voters: founders}
		n.votesRecovered = true
	}
	if founders[0].ID == n.opts.Self.ID {
		n.propose(View{Number: 1, Voters: founders, Replicas: order, System: founders[0].ID})
	}
}

// persistBootstrap persists the founders' addresses, so that a process that is killed before the chain exists is still a
// founder after its restart.
func (n *Node) persistBootstrap() {
	if n.bootstrapPersisted || len(n.opts.BootstrapAddrs) == 0 {
		return
	}
	n.bootstrapPersisted = true
	n.persist([]Record{{Bootstrap: &Bootstrap{Addrs: n.opts.BootstrapAddrs}}}, 0, nil)
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

// restoreFounders restores the founders from the View record that is written with each promise before the first view. Promises
// and accepted proposals before such a record stay valid.
func (n *Node) restoreFounders(v View) {
	if n.view.Number == 0 {
		n.view = v
	}
}

// appendFirstEntry appends the first entry to an empty log in a view with too few replicas to accept writes. The missing
// replicas need a log that is not empty to join from its snapshot.
func (n *Node) appendFirstEntry() {
	if !n.IsHead() || !n.caughtUp || n.lastIndex() > 0 || n.AcceptsWrites() {
		return
	}
	n.entries = append(n.entries, Entry{Index: 1, View: n.view.Number, Change: statemachine.Change{ID: "founded"}})
}
