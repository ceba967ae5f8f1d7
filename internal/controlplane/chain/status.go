package chain

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"petreltide/internal/controlplane/statemachine"
)

func (n *Node) position() int { return n.view.Position(n.opts.Self.ID, n.opts.Incarnation) }

func (n *Node) isServing() bool { return n.phase == PhaseServing && n.position() >= 0 }

// IsHead says that this process has the first seat.
func (n *Node) IsHead() bool { return n.isServing() && n.position() == 0 }

// IsTail says that this process has the last seat.
func (n *Node) IsTail() bool { return n.isServing() && n.position() == len(n.view.Replicas)-1 }

// IsTailReady says whether this control node may answer as the tail at this moment.
func (n *Node) IsTailReady(nowUs int64) bool {
	return n.IsTail() && n.viewStartKnown && n.commitIndex >= n.viewStartIndex && nowUs < n.leaseUntilUs
}

// IsHeadConfirmed says that this process is the head and the chain has answered it lately; only such a head gives orders.
func (n *Node) IsHeadConfirmed(nowUs int64) bool {
	if !n.IsHead() {
		return false
	}
	if n.IsTail() {
		return n.IsTailReady(nowUs)
	}
	return n.confirmedHeadTimeUs > 0 && nowUs < n.confirmedHeadTimeUs+n.opts.LeaseDurationUs-n.opts.LeaseMarginUs
}

// State is the ledger as far as it is committed here.
func (n *Node) State() *statemachine.State { return n.state }

// View is the newest view that this process knows.
func (n *Node) View() View { return n.view }

// Phase is where this process stands towards the chain.
func (n *Node) Phase() Phase { return n.phase }

// CommitIndex is the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex is the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// Self is the member that this process is of.
func (n *Node) Self() Member { return n.opts.Self }

// Incarnation names this process among those of its member.
func (n *Node) Incarnation() string { return n.opts.Incarnation }

// IsInitialized says that the state of this control node is the chain's: it has had a seat in this incarnation and holds
// all that was committed before it.
func (n *Node) IsInitialized() bool {
	if n.initialized {
		return true
	}
	return n.isServing() && n.caughtUp && (n.viewStartKnown || n.IsHead()) && n.commitIndex >= max(n.viewStartIndex, n.initialIndex)
}

// AcceptsWrites is false in a view of too few: nothing is acknowledged on fewer copies than a loss may take.
func (n *Node) AcceptsWrites() bool { return n.viewAcceptsWrites(n.view) }

func (n *Node) viewAcceptsWrites(v View) bool {
	return len(v.Replicas) >= n.minReplicas() &&
		spansLocations(v, n.opts.MinZones, func(m Member) string { return m.Zone }) &&
		spansLocations(v, n.opts.MinRegions, n.regionOf)
}

// regionOf is where a member's zone lies.
func (n *Node) regionOf(m Member) string {
	if region, named := n.opts.Regions[m.Zone]; named {
		return region
	}
	return m.Zone
}

// spansLocations says that the replicas of a view lie in so many places, or in as many as there are voters in.
func spansLocations(v View, minLocations int, locationOf func(Member) string) bool {
	if minLocations < 2 {
		return true
	}
	occupied, available := map[string]bool{}, map[string]bool{}
	for _, r := range v.Replicas {
		occupied[locationOf(r.Member)] = true
	}
	for _, m := range v.Voters {
		available[locationOf(m)] = true
	}
	return len(occupied) >= min(minLocations, len(available))
}

func (n *Node) minReplicas() int { return max(n.opts.MinReplicas, min(2, len(n.view.Voters))) }

// IsDurable says that every member of a view that takes writes has synced all up to an index: what was committed in
// a view of too few is applied, and must not be acknowledged before.
func (n *Node) IsDurable(index uint64) bool { return index <= n.durableIndex() }

func (n *Node) durableIndex() uint64 {
	switch {
	case !n.isServing() || !n.AcceptsWrites():
		return 0
	case n.IsTail():
		return min(n.commitIndex, n.syncedIndex)
	}
	return n.tailCommitIndex
}

// IsAlive says that a member has been heard lately.
func (n *Node) IsAlive(id string) bool {
	p := n.peers[id]
	return p != nil && n.nowUs-p.lastHelloUs < n.opts.SuspectTimeoutUs
}

// PeerStatus is what this control node knows of another.
type PeerStatus struct {
	Member         Member `json:"member"`
	Phase          Phase  `json:"phase"`
	Incarnation    string `json:"inc"`
	LastIndex      uint64 `json:"last"`
	LastHelloAgoMs int64  `json:"agoMs"`
	Alive          bool   `json:"sound"`
}

// Peers are all other control nodes that were heard in this incarnation.
func (n *Node) Peers() []PeerStatus {
	statuses := []PeerStatus{}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		statuses = append(statuses, PeerStatus{
			Member: p.hello.Member, Phase: p.hello.Phase, Incarnation: p.hello.Incarnation, LastIndex: p.hello.LastIndex,
			LastHelloAgoMs: (n.nowUs - p.lastHelloUs) / 1000, Alive: n.IsAlive(id),
		})
	}
	return statuses
}

func (n *Node) peerIDs() []string {
	return slices.Sorted(maps.Keys(n.peers))
}

// WaitReason tells an operator, in words, what this control node is waiting for.
func (n *Node) WaitReason() string {
	switch {
	case n.phase == PhaseFenced:
		return "its end: another process runs under its identity, from a copy of its disk; stop one of them for good"
	case n.shuttingDown && !n.ShutdownComplete():
		return "other members to take its seat and vote over before it ends"
	case n.isDiskRefusing():
		return "its own disk: it takes no bytes; the same write is tried again and again"
	case n.isDiskStalled():
		return "its own disk: a sync has not come back"
	case n.phase == PhaseBootstrap && n.opts.BootstrapCount > 0:
		return "founders: it must meet " + strconv.Itoa(n.opts.BootstrapCount) + " fresh control nodes, itself included, and knows " + strconv.Itoa(len(n.founders))
	case n.phase == PhaseBootstrap && n.isFounder():
		return "founders: it must meet the fresh control nodes at " + strings.Join(n.opts.BootstrapAddrs, ", ") + ", and knows " + strconv.Itoa(len(n.founders))
	case n.phase == PhaseBootstrap:
		return "a chain to join through its seeds"
	case n.phase == PhaseRestarted && !n.votesRecovered:
		return "the other voters, to compare promises and log"
	case n.phase == PhaseRestarted:
		return "the other members of view " + strconv.FormatUint(n.view.Number, 10) + ", or a copy from its tail"
	case n.phase == PhaseStandby:
		return "a copy from the tail and a seat in the next view"
	case n.isServing() && !n.caughtUp:
		return "the rest of the log from its predecessor"
	case !n.AcceptsWrites():
		return "more members: an acknowledgement needs " + strconv.Itoa(n.minReplicas()) + " copies"
	case n.IsTail() && !n.IsTailReady(n.nowUs):
		return "its lease from a majority of voters"
	}
	return ""
}

// NowUs is the time of the last step.
func (n *Node) NowUs() int64 { return n.nowUs }
