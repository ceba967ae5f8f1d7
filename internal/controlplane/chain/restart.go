package chain

import (
	"sort"
)

// maybeProposeAfterRestart proposes a view when no reachable member serves (PhaseServing) and has caught up, as after a restart of
// all members. The replicas of the newest view compare their logs, and the one with the longest complete log proposes itself as the
// head.
func (n *Node) maybeProposeAfterRestart() {
	type candidate struct {
		replica        Replica
		last, lastView uint64
		stalled        bool
	}
	candidates := []candidate{}
	heard := map[string]bool{n.opts.Self.ID: true}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if !n.IsAlive(id) {
			continue
		}
		if p.hello.Phase == PhaseServing && p.hello.CaughtUp {
			return
		}
		heard[id] = true
		if n.view.HasReplica(id) && p.hello.Phase == PhaseRestarted && p.hello.CaughtUp && p.hello.View.Number == n.view.Number {
			candidates = append(candidates, candidate{Replica{Member: p.hello.Member, Incarnation: p.hello.Incarnation}, p.hello.LastIndex, p.hello.LastView, p.hello.Stalled})
		}
	}
	if !n.view.HasReplica(n.opts.Self.ID) || n.isDiskStalled() || !n.caughtUp || !n.canBeReplica() {
		return
	}
	candidates = append(candidates, candidate{Replica{Member: n.opts.Self, Incarnation: n.opts.Incarnation}, n.lastIndex(), n.lastView(), n.isDiskStalled()})
	gathered := len(candidates) == len(n.view.Replicas)
	if !n.view.IsQuorum(func(id string) bool { return heard[id] }) || (!gathered && n.nowUs-n.startedUs < n.opts.GatherTimeoutUs) {
		return
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.lastView != b.lastView {
			return a.lastView > b.lastView
		}
		if a.last != b.last {
			return a.last > b.last
		}
		if a.stalled != b.stalled {
			return b.stalled
		}
		return a.replica.ID < b.replica.ID
	})
	if candidates[0].replica.ID != n.opts.Self.ID {
		return
	}
	desired := View{Number: n.view.Number + 1, Voters: n.view.Voters, ExtraVoters: n.view.ExtraVoters, TieBreaker: n.view.TieBreaker, System: n.view.System}
	for _, c := range candidates {
		desired.Replicas = append(desired.Replicas, c.replica)
	}
	n.propose(desired)
}
