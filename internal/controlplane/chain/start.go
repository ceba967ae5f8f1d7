package chain

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

// Start orders the processes of one member. Two may run at once, as a disk can be copied and started twice: the members
// go by the newest and fence every other from votes, leases, acknowledgements and the log.
//
// A process takes a number above all that the others know for its member, and votes only once every voter that it hears
// has recorded it (maybeRecoverVotes). What a voter has accepted up to then stands in the hello that says so, and the new
// process takes it up; what the older one sends from then on is not read. So the two never give their member's promise
// to two proposers that can hear each other's voters. Voters that are cut off from each other for longer than
// VoteRecoveryTimeoutUs cannot tell this from a restart, and do.
type Start struct {
	// Number rises with each start; 0 is a process of a version that has none.
	Number uint64 `json:"number"`
	// Incarnation names the process, and orders those of one number.
	Incarnation string `json:"incarnation"`
}

// KnownStart is the newest process of a member as one control node tells another of it.
type KnownStart struct {
	Start
	// Addr is where that process was met.
	Addr string `json:"addr"`
	// Heard: whoever tells of it has heard it, or of it from somebody who had, within SuspectTimeoutUs.
	Heard bool `json:"heard,omitempty"`
}

// knownStart is the same as a node keeps it.
type knownStart struct {
	Start
	addr    string
	heardUs int64
}

// newerThan orders the starts of one member.
func (s Start) newerThan(o Start) bool {
	if s.Number != o.Number {
		return s.Number > o.Number
	}
	return s.Incarnation > o.Incarnation
}

// startBroadcastUs is for how long a change among the starts is told to everybody.
const startBroadcastUs = 3 * clock.Sec

// persistIncarnation notes on the disk that this process has run on it, before it can be seated.
func (n *Node) persistIncarnation() {
	if n.phase != PhaseRestarted || n.incarnationSeq > 0 {
		return
	}
	n.diskIncarnations = append(n.diskIncarnations, n.opts.Incarnation)
	n.persist([]Record{{Incarnation: n.opts.Incarnation}}, 0, nil)
	n.incarnationSeq = n.persistSeq
}

// canBeReplica: a process that has restarted may speak for its log once the disk names it.
func (n *Node) canBeReplica() bool { return n.phase != PhaseRestarted || n.incarnationSynced }

// isReplicaOfThisDisk: the seat of this member in a later view is that of a process that ran on this disk. One that the disk does
// not name ran on another copy of it, which may hold more.
func (n *Node) isReplicaOfThisDisk(v View) bool {
	for _, s := range v.Replicas {
		if s.ID == n.opts.Self.ID {
			return n.view.Position(s.ID, s.Incarnation) >= 0 || slices.Contains(n.diskIncarnations, s.Incarnation)
		}
	}
	return false
}

// ownStart is this process's own.
func (n *Node) ownStart() Start {
	return Start{Number: n.startNumber, Incarnation: n.opts.Incarnation}
}

// recordStart notes the process that a hello comes from. It is false for one that a newer has taken the place of, which is
// told so.
func (n *Node) recordStart(h Hello) bool {
	known, isKnown := n.knownStarts[h.Member.ID]
	start := Start{Number: h.Start, Incarnation: h.Incarnation}
	switch {
	case !isKnown:
	case known.Incarnation == start.Incarnation:
		// A hello may be from before this process took its number.
		start.Number = max(start.Number, known.Number)
	case h.Start == 0:
		// A version without numbers: whoever is heard is the newest, as it was before there were numbers.
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

// learnStarts takes what another member knows of starts. This member's own comes last: the hello that it may lead to
// names all the others.
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

// learnOwnStart is told of a process of this member that counts as newer. It has taken this one's place if somebody has
// heard it, at another address, since this one got its vote. Else it is one that has ended, whose number somebody still
// remembers who did not hear this one start: this one takes a number above it.
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

// becomeFenced ends this process's part in the chain: another process of this member is the newer one.
func (n *Node) becomeFenced(by Start) {
	if n.phase == PhaseFenced {
		return
	}
	n.phase = PhaseFenced
	n.leaseUntilUs, n.leaseGrants, n.proposal, n.pendingAccept, n.pendingPrepare = 0, map[string]int64{}, nil, nil, nil
	n.effects = append(n.effects, Fenced{By: by})
}

// stepFenced lets time pass for a process that takes no part in anything but its own end.
func (n *Node) stepFenced(nowUs int64, ev Event) {
	n.nowUs = nowUs
	if _, isShutdown := ev.(ShutdownRequested); isShutdown {
		n.shuttingDown = true
	}
}

// isFromFencedProcess: the message comes from a process of its member that is not the newest known here.
func (n *Node) isFromFencedProcess(m Msg) bool {
	known, isKnown := n.knownStarts[m.From.ID]
	return isKnown && m.Hello == nil && m.From.ID != n.opts.Self.ID && m.Incarnation != known.Incarnation
}

// startsToSend are the starts that a hello to a member names: all while it compares notes or some have changed, else none.
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

// hasRecordedStart says that another member goes by this process, by its newest hello.
func (n *Node) hasRecordedStart(h Hello) bool {
	return h.Start == 0 || h.KnownStarts[n.opts.Self.ID].Start == n.ownStart()
}
