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

// IsHead reports whether this process is the head of the chain.
func (n *Node) IsHead() bool { return n.isServing() && n.position() == 0 }

// IsTail reports whether this process is the tail of the chain.
func (n *Node) IsTail() bool { return n.isServing() && n.position() == len(n.view.Replicas)-1 }

// IsTailReady reports whether this control node may answer as the tail at nowUs: it has applied the log as of the start of the
// view and holds a lease.
func (n *Node) IsTailReady(nowUs int64) bool {
	return n.IsTail() && n.viewStartKnown && n.commitIndex >= n.viewStartIndex && nowUs < n.leaseUntilUs
}

// IsHeadConfirmed reports whether this process is the head and the tail has confirmed one of its time stamps within the lease
// duration. Only such a head issues orders.
func (n *Node) IsHeadConfirmed(nowUs int64) bool {
	if !n.IsHead() {
		return false
	}
	if n.IsTail() {
		return n.IsTailReady(nowUs)
	}
	return n.confirmedHeadTimeUs > 0 && nowUs < n.confirmedHeadTimeUs+n.opts.LeaseDurationUs-n.opts.LeaseMarginUs
}

// State returns the state machine as of CommitIndex.
func (n *Node) State() *statemachine.State { return n.state }

// View returns the newest view that this process knows.
func (n *Node) View() View { return n.view }

// Phase returns the relation of this process to the chain.
func (n *Node) Phase() Phase { return n.phase }

// CommitIndex returns the index of the last committed entry.
func (n *Node) CommitIndex() uint64 { return n.commitIndex }

// LastIndex returns the index of the last entry of the log.
func (n *Node) LastIndex() uint64 { return n.lastIndex() }

// Self returns the member that this process belongs to.
func (n *Node) Self() Member { return n.opts.Self }

// Incarnation returns the identifier of this process among those of its member.
func (n *Node) Incarnation() string { return n.opts.Incarnation }

// IsInitialized reports whether the state of this control node is complete: it has had a position in the chain in this incarnation and
// holds all that was committed before.
func (n *Node) IsInitialized() bool {
	if n.initialized {
		return true
	}
	return n.isServing() && n.caughtUp && (n.viewStartKnown || n.IsHead()) && n.commitIndex >= max(n.viewStartIndex, n.initialIndex)
}

// AcceptsWrites reports whether the view has enough replicas, zones and regions for an acknowledgement. Nothing is acknowledged
// on so few replicas that a tolerated loss could take all of them.
func (n *Node) AcceptsWrites() bool { return n.viewAcceptsWrites(n.view) }

func (n *Node) viewAcceptsWrites(v View) bool {
	return len(v.Replicas) >= n.minReplicas() &&
		spansLocations(v, n.opts.MinZones, func(m Member) string { return m.Zone }) &&
		spansLocations(v, n.opts.MinRegions, n.regionOf)
}

// regionOf returns the region of a member's zone.
func (n *Node) regionOf(m Member) string {
	if region, named := n.opts.Regions[m.Zone]; named {
		return region
	}
	return m.Zone
}

// spansLocations reports whether the replicas of a view span minLocations locations, or as many as its voters span if those are
// fewer.
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

// IsDurable reports whether every replica of a view that accepts writes has synced all entries up to an index. An entry that was
// committed in a view with too few replicas is applied, but must not be acknowledged before that.
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

// IsAlive reports whether a member was heard within SuspectTimeoutUs.
func (n *Node) IsAlive(id string) bool {
	p := n.peers[id]
	return p != nil && n.nowUs-p.lastHelloUs < n.opts.SuspectTimeoutUs
}

// PeerStatus is what this control node knows about another.
type PeerStatus struct {
	Member         Member `json:"member"`
	Phase          Phase  `json:"phase"`
	Incarnation    string `json:"inc"`
	LastIndex      uint64 `json:"last"`
	LastHelloAgoMs int64  `json:"agoMs"`
	Alive          bool   `json:"sound"`
}

// Peers returns the status of all other control nodes that were heard in this incarnation.
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

// WaitReason describes to an operator what this control node waits for; "" if it waits for nothing.
func (n *Node) WaitReason() string {
	switch {
	case n.phase == PhaseFenced:
		return "its termination: another process runs with its identity, from a copy of its disk; stop one of them permanently"
	case n.shuttingDown && !n.ShutdownComplete():
		return "other members to take over its position in the chain and its vote before it ends"
	case n.isDiskRefusing():
		return "its own disk: a write is refused and is being retried"
	case n.isDiskStalled():
		return "its own disk: a sync is outstanding"
	case n.phase == PhaseBootstrap && n.opts.BootstrapCount > 0:
		return "founders: it must hear " + strconv.Itoa(n.opts.BootstrapCount) + " fresh control nodes, itself included, and knows " + strconv.Itoa(len(n.founders))
	case n.phase == PhaseBootstrap && n.isFounder():
		return "founders: it must hear the fresh control nodes at " + strings.Join(n.opts.BootstrapAddrs, ", ") + ", and knows " + strconv.Itoa(len(n.founders))
	case n.phase == PhaseBootstrap:
		return "a chain to join through its seeds"
	case n.phase == PhaseRestarted && !n.votesRecovered:
		return "the other voters, to compare promises and logs"
	case n.phase == PhaseRestarted:
		return "the other members of view " + strconv.FormatUint(n.view.Number, 10) + ", or a snapshot from its tail"
	case n.phase == PhaseStandby:
		return "a snapshot from the tail and a position in the next view"
	case n.isServing() && !n.caughtUp:
		return "the rest of the log from its predecessor"
	case !n.AcceptsWrites():
		return "more members: an acknowledgement needs " + strconv.Itoa(n.minReplicas()) + " replicas"
	case n.IsTail() && !n.IsTailReady(n.nowUs):
		return "a lease from a majority of the voters"
	}
	return ""
}

// NowUs returns the time of the last Step.
func (n *Node) NowUs() int64 { return n.nowUs }
