package chain

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

// Start identifies a process of a member and orders the processes of one member. Two may run at once, as a disk can be copied and
// started twice. The other members recognize only the newest and fence all others from votes, leases, acknowledgements and the
// log.
//
// A process takes a number above all that the others know for its member, and votes only once every voter that it hears has
// recorded that number (maybeRecoverVotes). The hello that confirms the recording carries what that voter has accepted so far,
// and the new process adopts it; messages that the older process sends afterwards are ignored. So the two processes never give
// their member's promise to two proposers that can hear each other's voters. Voters that are partitioned from each other for longer
// than VoteRecoveryTimeoutUs cannot distinguish this from a restart, and may give the promise twice.
type Start struct {
	// Number increases with each start; 0 is a process of a version without start numbers.
	Number uint64 `json:"number"`
	// Incarnation identifies the process, and breaks ties between processes with the same number.
	Incarnation string `json:"incarnation"`
}

// KnownStart is the newest process of a member as one control node reports it to another.
type KnownStart struct {
	Start
	// Addr is the address of that process.
	Addr string `json:"addr"`
	// Heard means that within SuspectTimeoutUs the sender has heard the process, or a report with Heard set.
	Heard bool `json:"heard,omitempty"`
}

// knownStart is the newest process of a member as a node stores it.
type knownStart struct {
	Start
	addr    string
	heardUs int64
}

// newerThan reports whether s is a later start of the same member than o.
func (s Start) newerThan(o Start) bool {
	if s.Number != o.Number {
		return s.Number > o.Number
	}
	return s.Incarnation > o.Incarnation
}

// startBroadcastUs is for how long after a change the known starts are sent to every member.
const startBroadcastUs = 3 * clock.Sec

// persistIncarnation records on the disk that this process has run on it, before the process can become a replica.
func (n *Node) persistIncarnation() {
	if n.phase != PhaseRestarted || n.incarnationSeq > 0 {
		return
	}
	n.diskIncarnations = append(n.diskIncarnations, n.opts.Incarnation)
	n.persist([]Record{{Incarnation: n.opts.Incarnation}}, 0, nil)
	n.incarnationSeq = n.persistSeq
}

// canBeReplica reports whether this process may present its log as complete. A restarted process may once its incarnation is
// persisted.
func (n *Node) canBeReplica() bool { return n.phase != PhaseRestarted || n.incarnationSynced }

// isReplicaOfThisDisk reports whether this member's replica in a later view is a process that ran on this disk. A process that the
// disk does not list ran on another copy of it, which may hold more entries.
func (n *Node) isReplicaOfThisDisk(v View) bool {
	for _, s := range v.Replicas {
		if s.ID == n.opts.Self.ID {
			return n.view.Position(s.ID, s.Incarnation) >= 0 || slices.Contains(n.diskIncarnations, s.Incarnation)
		}
	}
	return false
}

// ownStart returns the start of this process.
func (n *Node) ownStart() Start {
	return Start{Number: n.startNumber, Incarnation: n.opts.Incarnation}
}

// recordStart records the process that sent a hello. It returns false for a process that a newer one has replaced, after sending
// it a hello that says so.
func (n *Node) recordStart(h Hello) bool {
	known, isKnown := n.knownStarts[h.Member.ID]
	start := Start{Number: h.Start, Incarnation: h.Incarnation}
	switch {
	case !isKnown:
	case known.Incarnation == start.Incarnation:
		// The hello may be from before the process took its number.
		start.Number = max(start.Number, known.Number)
	case h.Start == 0:
		// A version without start numbers: the process heard last counts as the newest, as in such versions.
		start.Number = known.Number + 1
	case known.newerThan(start):
		hello := n.currentHello()
		hello.KnownStarts = n.allStarts()
		n.emitSend(h.Member.Addr, h.Member.ID, Msg{Hello: &hello})
		return false
	}
	n.setStart(h.Member.ID, knownStart{Start: start, addr: h.Member.Addr, heardUs: n.nowUs})
	return true
}

func (n *Node) setStart(id string, s knownStart) {
	if n.knownStarts[id].Start != s.Start {
		n.startsChangedUs = n.nowUs
	}
	n.knownStarts[id] = s
}

// learnStarts merges the starts that another member knows. This member's own start comes last, so that the hello that it may
// trigger lists all the others.
func (n *Node) learnStarts(known map[string]KnownStart) {
	for _, id := range slices.Sorted(maps.Keys(known)) {
		reported := known[id]
		recorded, ok := n.knownStarts[id]
		if id != n.opts.Self.ID && (!ok || reported.newerThan(recorded.Start)) {
			learned := knownStart{Start: reported.Start, addr: reported.Addr}
			if reported.Heard {
				learned.heardUs = n.nowUs
			}
			n.setStart(id, learned)
		}
	}
	if reported, ok := known[n.opts.Self.ID]; ok {
		n.learnOwnStart(reported)
	}
}

// learnOwnStart handles the report of a process of this member that counts as newer. That process has replaced this one if it was
// heard at another address since this process recovered its votes. Otherwise it has ended, and a member that did not hear this
// process start still remembers its number: this process then takes a number above it.
func (n *Node) learnOwnStart(reported KnownStart) {
	if !reported.newerThan(n.ownStart()) {
		return
	}
	if n.votesRecovered && reported.Heard && reported.Addr != n.opts.Self.Addr {
		n.becomeFenced(reported.Start)
		return
	}
	n.startNumber = reported.Number + 1
	n.broadcastHello()
}

// becomeFenced permanently excludes this process from the chain, as another process of this member is newer.
func (n *Node) becomeFenced(by Start) {
	if n.phase == PhaseFenced {
		return
	}
	n.phase = PhaseFenced
	n.leaseUntilUs, n.leaseGrants, n.proposal, n.pendingAccept, n.pendingPrepare = 0, map[string]int64{}, nil, nil, nil
	n.effects = append(n.effects, Fenced{By: by})
}

// stepFenced processes an event in a fenced process, which only advances its time and records a requested shutdown.
func (n *Node) stepFenced(nowUs int64, ev Event) {
	n.nowUs = nowUs
	if _, isShutdown := ev.(ShutdownRequested); isShutdown {
		n.shuttingDown = true
	}
}

// isFromFencedProcess reports whether the sender of a message is not the newest known process of its member. Hellos are exempt.
func (n *Node) isFromFencedProcess(m Msg) bool {
	known, isKnown := n.knownStarts[m.From.ID]
	return isKnown && m.Hello == nil && m.From.ID != n.opts.Self.ID && m.Incarnation != known.Incarnation
}

// startsToSend returns the starts that a hello to a member carries: all of them until that member has recovered its votes, and for
// startBroadcastUs after a change; otherwise none.
func (n *Node) startsToSend(p *peer) map[string]KnownStart {
	if p != nil && p.hello.VotesRecovered && n.nowUs-n.startsChangedUs > startBroadcastUs {
		return nil
	}
	return n.allStarts()
}

func (n *Node) allStarts() map[string]KnownStart {
	all := make(map[string]KnownStart, len(n.knownStarts))
	for id, s := range n.knownStarts {
		all[id] = KnownStart{Start: s.Start, Addr: s.addr, Heard: s.heardUs > 0 && n.nowUs-s.heardUs < n.opts.SuspectTimeoutUs}
	}
	return all
}

// hasRecordedStart reports whether another member has recorded the start of this process, by its newest hello.
func (n *Node) hasRecordedStart(h Hello) bool {
	return h.Start == 0 || h.KnownStarts[n.opts.Self.ID].Start == n.ownStart()
}
