package chain

import "petreltide/internal/controlplane/statemachine"

// CarriesSnapshot reports whether a message carries a whole state, and so must not delay other messages.
func (m *Msg) CarriesSnapshot() bool {
	return m != nil && (m.InstallSnapshot != nil || (m.Forward != nil && m.Forward.Snapshot != nil))
}

// Hello is the status of a process, which it sends to all other control nodes periodically.
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
	// ShuttingDown reports that this process was asked to shut down.
	ShuttingDown bool `json:"leaving,omitempty"`
	// Start is the start number of this process among those of its member; 0 in versions without start numbers.
	Start uint64 `json:"start,omitempty"`
	// SupportsTieBreaker reports that this build counts the TieBreaker of a view; builds before it ignore the field.
	SupportsTieBreaker bool `json:"tieBreaker,omitempty"`
	// SentUs is when this hello was sent, by the sender's clock. EchoUs is the SentUs of the newest hello of the receiver that the sender
	// has processed, by the receiver's clock; 0 if there is none.
	SentUs int64 `json:"sentUs,omitempty"`
	EchoUs int64 `json:"echoUs,omitempty"`
	// ReportsHeardVoters reports that this build names the voters that it has heard in its votes (Promise.HeardVoters); builds before it do
	// not.
	ReportsHeardVoters bool `json:"reportsHeard,omitempty"`
	// KnownStarts are the newest processes of other members, by member ID; left out when the receiver needs none (startsToSend).
	KnownStarts map[string]KnownStart `json:"knownStarts,omitempty"`
}

// Prepare asks a voter to promise that it accepts no proposal with a lower ballot for the view of this number.
type Prepare struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
}

// Promise answers a Prepare, with the proposal that the voter has accepted before.
type Promise struct {
	Number           uint64            `json:"number"`
	Ballot           Ballot            `json:"ballot"`
	OK               bool              `json:"ok"`
	PromisedBallot   Ballot            `json:"promised"`
	AcceptedProposal *AcceptedProposal `json:"accepted,omitempty"`
	// HeardVoters are the other voters that this voter has heard within Options.IsolationTimeoutUs and that can vote. They are named in a
	// view with a TieBreaker only.
	HeardVoters []string `json:"heardVoters,omitempty"`
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
	// HeardVoters is as in Promise.
	HeardVoters []string `json:"heardVoters,omitempty"`
}

// Forward carries entries or a snapshot from a member to its successor; with neither it is a heartbeat.
type Forward struct {
	View       uint64    `json:"view"`
	PrevIndex  uint64    `json:"prev"`
	PrevView   uint64    `json:"prevView"`
	Entries    []Entry   `json:"entries,omitempty"`
	Snapshot   *Snapshot `json:"copy,omitempty"`
	LastIndex  uint64    `json:"last"`
	HeadTimeUs int64     `json:"sentUs"`
}

// Ack reports to the predecessor the last entry that is synced here and the commit index.
type Ack struct {
	View                uint64 `json:"view"`
	SyncedIndex         uint64 `json:"last"`
	CommitIndex         uint64 `json:"commit"`
	ConfirmedHeadTimeUs int64  `json:"echoUs"`
}

// Lease requests the tail's lease from a voter, grants it, or releases it. After a release the tail uses no grant that it
// requested at SentUs or before.
type Lease struct {
	View     uint64 `json:"view"`
	SentUs   int64  `json:"sentUs"`
	Granted  bool   `json:"given,omitempty"`
	Released bool   `json:"released,omitempty"`
}

// InstallSnapshot carries a snapshot from the tail to a control node that has no position in the chain.
type InstallSnapshot struct {
	View        uint64   `json:"view"`
	Incarnation string   `json:"inc"`
	Snapshot    Snapshot `json:"copy"`
}

// MessageVersion is the newest message version that this release reads. A message of a later version is rejected as a whole,
// as its meaning is unknown.
const MessageVersion = 0

// Msg is one message between control nodes; exactly one of its pointers after ToID is set.
type Msg struct {
	// Version is omitted while it is 0.
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
