package chain

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"petreltide/internal/controlplane/statemachine"
)

func (n *Node) place() int { return n.view.Place(n.opts.Me.ID, n.opts.Incarnation) }

func (n *Node) serving() bool { return n.phase == Serving && n.place() >= 0 }

// IsHead says that this process has the first seat.
func (n *Node) IsHead() bool { return n.serving() && n.place() == 0 }

// IsTail says that this process has the last seat.
func (n *Node) IsTail() bool { return n.serving() && n.place() == len(n.view.Order)-1 }

// Open says whether this control node may answer as the tail at this moment.
func (n *Node) Open(nowUs int64) bool {
	return n.IsTail() && n.openKnown && n.commit >= n.openAt && nowUs < n.leaseUs
}

// HeadFresh says that this process is the head and the chain has answered it lately; only such a head gives orders.
func (n *Node) HeadFresh(nowUs int64) bool {
	if !n.IsHead() {
		return false
	}
	if n.IsTail() {
		return n.Open(nowUs)
	}
	return n.tailEchoUs > 0 && nowUs < n.tailEchoUs+n.opts.LeaseUs-n.opts.LeaseCutUs
}

// State is the ledger as far as it is committed here.
func (n *Node) State() *statemachine.State { return n.state }

// View is the newest view that this process knows.
func (n *Node) View() View { return n.view }

// Phase is where this process stands towards the chain.
func (n *Node) Phase() Phase { return n.phase }

// Commit is the index of the last committed entry.
func (n *Node) Commit() uint64 { return n.commit }

// Last is the index of the last entry of the log.
func (n *Node) Last() uint64 { return n.lastIndex() }

// Me is the member that this process is of.
func (n *Node) Me() Member { return n.opts.Me }

// Incarnation names this process among those of its member.
func (n *Node) Incarnation() string { return n.opts.Incarnation }

// Settled says that the state of this control node is the chain's: it has had a seat in this incarnation and holds
// all that was committed before it.
func (n *Node) Settled() bool {
	if n.settledOnce {
		return true
	}
	return n.serving() && n.caughtUp && (n.openKnown || n.IsHead()) && n.commit >= max(n.openAt, n.settleAt)
}

// WritesTaken is false in a view of too few: nothing is acknowledged on fewer copies than a loss may take.
func (n *Node) WritesTaken() bool { return n.takesWrites(n.view) }

func (n *Node) takesWrites(v View) bool {
	if len(v.Order) < n.copiesLeast() {
		return false
	}
	if n.opts.ZonesLeast < 2 {
		return true
	}
	seated, wanted := map[string]bool{}, map[string]bool{}
	for _, s := range v.Order {
		seated[s.Zone] = true
	}
	for _, v := range v.Voters {
		wanted[v.Zone] = true
	}
	return len(seated) >= min(n.opts.ZonesLeast, len(wanted))
}

func (n *Node) copiesLeast() int { return max(n.opts.CopiesLeast, min(2, len(n.view.Voters))) }

// Kept says that every member of a view that takes writes has synced all up to an index: what was committed in
// a view of too few is applied, and must not be acknowledged before.
func (n *Node) Kept(index uint64) bool { return index <= n.keptTo() }

func (n *Node) keptTo() uint64 {
	switch {
	case !n.serving() || !n.WritesTaken():
		return 0
	case n.IsTail():
		return min(n.commit, n.synced)
	}
	return n.tailCommit
}

// Hears says that a member has been heard lately.
func (n *Node) Hears(id string) bool {
	p := n.peers[id]
	return p != nil && n.nowUs-p.heardUs < n.opts.SuspectUs
}

// PeerNote is what this control node knows of another.
type PeerNote struct {
	Member      Member `json:"member"`
	Phase       Phase  `json:"phase"`
	Incarnation string `json:"inc"`
	Last        uint64 `json:"last"`
	AgoMs       int64  `json:"agoMs"`
	Sound       bool   `json:"sound"`
}

// Peers are all other control nodes that were heard in this incarnation.
func (n *Node) Peers() []PeerNote {
	notes := []PeerNote{}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		notes = append(notes, PeerNote{
			Member: p.hello.Me, Phase: p.hello.Phase, Incarnation: p.hello.Incarnation, Last: p.hello.Last,
			AgoMs: (n.nowUs - p.heardUs) / 1000, Sound: n.Hears(id),
		})
	}
	return notes
}

func (n *Node) peerIDs() []string {
	return slices.Sorted(maps.Keys(n.peers))
}

// WaitsFor tells an operator, in words, what this control node is waiting for.
func (n *Node) WaitsFor() string {
	switch {
	case n.leaving && !n.Left():
		return "other members to take its seat and vote over before it ends"
	case n.refusing():
		return "its own disk: it takes no bytes; the same write is tried again and again"
	case n.stalled():
		return "its own disk: a sync has not come back"
	case n.phase == Fresh && n.opts.Founding > 0:
		return "founders: it must meet " + strconv.Itoa(n.opts.Founding) + " fresh offices, itself included, and knows " + strconv.Itoa(len(n.founders))
	case n.phase == Fresh && n.mayFound():
		return "founders: it must meet the fresh offices at " + strings.Join(n.opts.Founders, ", ") + ", and knows " + strconv.Itoa(len(n.founders))
	case n.phase == Fresh:
		return "a chain to join through its seeds"
	case n.phase == Waking && !n.compared:
		return "the other voters, to compare promises and log"
	case n.phase == Waking:
		return "the other members of view " + strconv.FormatUint(n.view.Number, 10) + ", or a copy from its tail"
	case n.phase == Outside:
		return "a copy from the tail and a seat in the next view"
	case n.serving() && !n.caughtUp:
		return "the rest of the log from its predecessor"
	case !n.WritesTaken():
		return "more members: an acknowledgement needs " + strconv.Itoa(n.copiesLeast()) + " copies"
	case n.IsTail() && !n.Open(n.nowUs):
		return "its lease from a majority of voters"
	}
	return ""
}

// NowUs is the time of the last step.
func (n *Node) NowUs() int64 { return n.nowUs }
