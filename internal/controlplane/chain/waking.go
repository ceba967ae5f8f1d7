package chain

import (
	"sort"
)

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
	for _, id := range n.peerIDs() {
		p := n.peers[id]
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
			found = append(found, candidate{Seat{p.hello.Me, p.hello.Incarnation}, p.hello.Last, p.hello.LastView, p.hello.Stalled})
		}
	}
	if !n.view.Seated(n.opts.Me.ID) || n.stalled() || !n.caughtUp {
		return
	}
	found = append(found, candidate{Seat{n.opts.Me, n.opts.Incarnation}, n.lastIndex(), n.lastView(), n.stalled()})
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
	want := View{Number: n.view.Number + 1, Voters: n.view.Voters, Extra: n.view.Extra, System: n.view.System}
	for _, c := range found {
		want.Order = append(want.Order, c.seat)
	}
	n.propose(want)
}
