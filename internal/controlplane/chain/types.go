package chain

import (
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// Member is a control node by the identity that its disk holds; a new disk is another member.
type Member struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// Replica is a place in the order of a view, held by one process of a member: one that restarts has lost it.
type Replica struct {
	Member
	Incarnation string `json:"inc"`
}

// View says, under a number, who votes on the next view and which processes hold the log, head first.
type View struct {
	Number   uint64    `json:"number"`
	Voters   []Member  `json:"voters"`
	Replicas []Replica `json:"order"`
	// ExtraVoters counts the voters that control nodes took in by themselves beside those that were there: as many
	// votes of silent ones may be dropped.
	ExtraVoters int `json:"extra,omitempty"`
	// System names the chain: whoever founded another one is foreign. It is empty in chains founded before it was kept.
	System string `json:"system,omitempty"`
}

// Head is the seat that takes writes; a zero one where the view has no seats.
func (v View) Head() Replica {
	if len(v.Replicas) == 0 {
		return Replica{}
	}
	return v.Replicas[0]
}

// Tail is the seat that acknowledges and answers; a zero one where the view has no seats.
func (v View) Tail() Replica {
	if len(v.Replicas) == 0 {
		return Replica{}
	}
	return v.Replicas[len(v.Replicas)-1]
}

// Position is where in the order a process has its seat, -1 if it has none.
func (v View) Position(id, incarnation string) int {
	for i, s := range v.Replicas {
		if s.ID == id && s.Incarnation == incarnation {
			return i
		}
	}
	return -1
}

// HasReplica says that some process of this member has a seat.
func (v View) HasReplica(id string) bool {
	for _, s := range v.Replicas {
		if s.ID == id {
			return true
		}
	}
	return false
}

// IsVoter says that this member is a voter of the view.
func (v View) IsVoter(id string) bool {
	for _, m := range v.Voters {
		if m.ID == id {
			return true
		}
	}
	return false
}

// QuorumSize of view 0, the founding, is everybody.
func (v View) QuorumSize() int {
	if v.Number == 0 {
		return len(v.Voters)
	}
	return len(v.Voters)/2 + 1
}

// Ballot orders the attempts to decide the next view.
type Ballot struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"by"`
}

// Less orders ballots by round, then by who began them.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// AcceptedProposal is the next view that a voter has accepted, and the ballot under which it did.
type AcceptedProposal struct {
	Ballot Ballot `json:"ballot"`
	View   View   `json:"view"`
}

// Entry is one change in the log, with the view whose head numbered it.
type Entry struct {
	Index  uint64              `json:"index"`
	View   uint64              `json:"view"`
	Change statemachine.Change `json:"change"`
}

// Snapshot is the state at an index. Its state is never changed once it is in a copy.
type Snapshot struct {
	Index uint64              `json:"index"`
	View  uint64              `json:"view"`
	State *statemachine.State `json:"state,omitempty"`
}

// CarriesSnapshot says that a message carries a whole state and must not hold up others.
func (m *Msg) CarriesSnapshot() bool {
	return m != nil && (m.InstallSnapshot != nil || (m.Forward != nil && m.Forward.Snapshot != nil))
}

// Record is what the disk holds; the log is replayed from these in order.
type Record struct {
	Owner            *Owner            `json:"seal,omitempty"`
	View             *View             `json:"view,omitempty"`
	PromisedBallot   *Ballot           `json:"promised,omitempty"`
	AcceptedProposal *AcceptedProposal `json:"accepted,omitempty"`
	Entry            *Entry            `json:"entry,omitempty"`
	Snapshot         *Snapshot         `json:"copy,omitempty"`
	CaughtUpView     uint64            `json:"whole,omitempty"`
	Bootstrap        *Bootstrap        `json:"founding,omitempty"`
}

// Bootstrap is who begins the chain together, as a process was told at the first start of the whole fleet.
type Bootstrap struct {
	Addrs []string `json:"addrs"`
}

// Owner marks a disk with the identity of the member that it belongs to.
type Owner struct {
	MemberID string `json:"identity"`
	Name     string `json:"name"`
}

// Phase is where a process stands towards the chain.
type Phase string

const (
	// PhaseBootstrap knows of no chain.
	PhaseBootstrap Phase = "fresh"
	// PhaseRestarted has restarted with its disk and has no seat yet.
	PhaseRestarted Phase = "waking"
	// PhaseServing has a seat.
	PhaseServing Phase = "serving"
	// PhaseStandby knows the chain and has no seat in it.
	PhaseStandby Phase = "outside"
)

// Hello is what a process tells all others of itself at a steady pace.
type Hello struct {
	Member           Member            `json:"me"`
	Incarnation      string            `json:"inc"`
	Phase            Phase             `json:"phase"`
	View             View              `json:"view"`
	LastIndex        uint64            `json:"last"`
	LastView         uint64            `json:"lastView"`
	VotesRecovered   bool              `json:"compared"`
	CaughtUp         bool              `json:"whole,omitempty"`
	Stalled          bool              `json:"stalled,omitempty"`
	PromisedBallot   Ballot            `json:"promised"`
	AcceptedProposal *AcceptedProposal `json:"accepted,omitempty"`
	AlivePeers       []string          `json:"hears"`
	Founders         []Member          `json:"founders,omitempty"`
	SnapshotIndex    uint64            `json:"copyIndex,omitempty"`
	FirstStart       bool              `json:"first,omitempty"`
	// ShuttingDown says that this process has been told to end.
	ShuttingDown bool `json:"leaving,omitempty"`
}

// Prepare asks a voter to promise that it accepts nothing under a lower ballot for the view of this number.
type Prepare struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
}

// Promise answers a Prepare, with what the voter has accepted before.
type Promise struct {
	Number           uint64            `json:"number"`
	Ballot           Ballot            `json:"ballot"`
	OK               bool              `json:"ok"`
	PromisedBallot   Ballot            `json:"promised"`
	AcceptedProposal *AcceptedProposal `json:"accepted,omitempty"`
}

// Accept asks a voter to accept a view under a ballot.
type Accept struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
	View   View   `json:"view"`
}

// Accepted answers an Accept.
type Accepted struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
	OK     bool   `json:"ok"`
}

// Forward carries entries, or a copy of the state, from a member to its successor; without either it is a heartbeat.
type Forward struct {
	View       uint64    `json:"view"`
	PrevIndex  uint64    `json:"prev"`
	PrevView   uint64    `json:"prevView"`
	Entries    []Entry   `json:"entries,omitempty"`
	Snapshot   *Snapshot `json:"copy,omitempty"`
	LastIndex  uint64    `json:"last"`
	HeadTimeUs int64     `json:"sentUs"`
}

// Ack tells the predecessor what is synced here and what the tail has committed.
type Ack struct {
	View                uint64 `json:"view"`
	SyncedIndex         uint64 `json:"last"`
	CommitIndex         uint64 `json:"commit"`
	ConfirmedHeadTimeUs int64  `json:"echoUs"`
}

// Lease asks a voter for the tail's lease, grants it, or releases it: then the tail uses no grant that it asked for at
// HeadTimeUs or before.
type Lease struct {
	View     uint64 `json:"view"`
	SentUs   int64  `json:"sentUs"`
	Granted  bool   `json:"given,omitempty"`
	Released bool   `json:"released,omitempty"`
}

// InstallSnapshot carries a copy of the state from the tail to a control node that has no seat.
type InstallSnapshot struct {
	View        uint64   `json:"view"`
	Incarnation string   `json:"inc"`
	Snapshot    Snapshot `json:"copy"`
}

// MessageVersion is the newest form of a message that this version reads. A message of a later one is refused as a
// whole: what it means cannot be known.
const MessageVersion = 0

// Msg is one message between control nodes; exactly one of its pointers after ToID is set.
type Msg struct {
	// Version is left out as long as it is 0.
	Version         int                  `json:"form,omitempty"`
	From            Member               `json:"from"`
	Incarnation     string               `json:"inc"`
	ToID            string               `json:"toId,omitempty"`
	Hello           *Hello               `json:"hello,omitempty"`
	Prepare         *Prepare             `json:"prepare,omitempty"`
	Promise         *Promise             `json:"promise,omitempty"`
	Accept          *Accept              `json:"accept,omitempty"`
	Accepted        *Accepted            `json:"accepting,omitempty"`
	Forward         *Forward             `json:"forward,omitempty"`
	Ack             *Ack                 `json:"ack,omitempty"`
	Lease           *Lease               `json:"lease,omitempty"`
	InstallSnapshot *InstallSnapshot     `json:"joining,omitempty"`
	Submit          *statemachine.Change `json:"submit,omitempty"`
}

// OpeningPersistSeq is the number of the save with which what the disk gave back is synced; those of a node come after it.
const OpeningPersistSeq uint64 = 1

// Options are what a Node goes by; times that are 0 are as usual.
type Options struct {
	Self           Member
	Incarnation    string
	BootstrapCount int
	// BootstrapAddrs are the addresses of the control nodes that begin a chain together, in place of Founding.
	BootstrapAddrs []string
	// FirstStart says that the whole fleet starts for the first time: this control node belongs to it from the start,
	// and takes nobody's vote. It holds until this control node has had one.
	FirstStart bool
	// AutoMembership lets the control nodes take in and drop each other without an operator's order.
	AutoMembership bool
	// Unsynced says that the disk has refused to sync the records that it gave back: they count as synced only once
	// save OpeningPersistSeq is reported.
	Unsynced bool
	// MinReplicas is how many synced copies an acknowledgement needs; two at least where there are two voters.
	MinReplicas int
	// MinZones is in how many zones they must lie, as far as there are voters in so many.
	MinZones              int
	HelloIntervalUs       int64
	SuspectTimeoutUs      int64
	LeaseDurationUs       int64
	LeaseMarginUs         int64
	StallTimeoutUs        int64
	VoteRecoveryTimeoutUs int64
	GatherTimeoutUs       int64
	ResendTimeoutUs       int64
	// HeartbeatIntervalUs is how often a member tells its neighbours where it stands while nothing happens.
	HeartbeatIntervalUs int64
	// PrepareTimeoutUs is how long a ballot may gather promises before a higher one is tried.
	PrepareTimeoutUs      int64
	MaxRetainedEntries    int
	MaxLogBytes           int64
	MaxBatchEntries       int
	MaxUncommittedEntries int
}

func (o Options) withDefaults() Options {
	set := func(v *int64, usual int64) {
		if *v == 0 {
			*v = usual
		}
	}
	set(&o.HelloIntervalUs, 100*clock.Ms)
	set(&o.SuspectTimeoutUs, 700*clock.Ms)
	set(&o.LeaseDurationUs, 1000*clock.Ms)
	set(&o.LeaseMarginUs, 100*clock.Ms)
	set(&o.StallTimeoutUs, 600*clock.Ms)
	set(&o.VoteRecoveryTimeoutUs, 1500*clock.Ms)
	set(&o.GatherTimeoutUs, 2000*clock.Ms)
	set(&o.ResendTimeoutUs, 150*clock.Ms)
	set(&o.PrepareTimeoutUs, o.SuspectTimeoutUs+o.LeaseDurationUs)
	o.MinReplicas = max(o.MinReplicas, 1)
	if o.MaxRetainedEntries == 0 {
		o.MaxRetainedEntries = 4096
	}
	if o.MaxLogBytes == 0 {
		o.MaxLogBytes = 16 << 20
	}
	if o.MaxBatchEntries == 0 {
		o.MaxBatchEntries = 256
	}
	if o.MaxUncommittedEntries == 0 {
		o.MaxUncommittedEntries = 2048
	}
	return o
}
