package chain

import (
	"petreltide/internal/api/fault"
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

// Seat is a place in the order of a view, held by one process of a member: one that restarts has lost it.
type Seat struct {
	Member
	Incarnation string `json:"inc"`
}

// View says, under a number, who votes on the next view and which processes hold the log, head first.
type View struct {
	Number uint64   `json:"number"`
	Voters []Member `json:"voters"`
	Order  []Seat   `json:"order"`
	// Extra counts the voters that control nodes took in by themselves beside those that were there: as many
	// votes of silent ones may be dropped.
	Extra int `json:"extra,omitempty"`
	// System names the chain: whoever founded another one is foreign. It is empty in chains founded before it was kept.
	System string `json:"system,omitempty"`
}

// Head is the seat that takes writes; a zero one where the view has no seats.
func (v View) Head() Seat {
	if len(v.Order) == 0 {
		return Seat{}
	}
	return v.Order[0]
}

// Tail is the seat that acknowledges and answers; a zero one where the view has no seats.
func (v View) Tail() Seat {
	if len(v.Order) == 0 {
		return Seat{}
	}
	return v.Order[len(v.Order)-1]
}

// Place is where in the order a process has its seat, -1 if it has none.
func (v View) Place(id, incarnation string) int {
	for i, s := range v.Order {
		if s.ID == id && s.Incarnation == incarnation {
			return i
		}
	}
	return -1
}

// Seated says that some process of this member has a seat.
func (v View) Seated(id string) bool {
	for _, s := range v.Order {
		if s.ID == id {
			return true
		}
	}
	return false
}

// Votes says that this member is a voter of the view.
func (v View) Votes(id string) bool {
	for _, m := range v.Voters {
		if m.ID == id {
			return true
		}
	}
	return false
}

// Quorum of view 0, the founding, is everybody.
func (v View) Quorum() int {
	if v.Number == 0 {
		return len(v.Voters)
	}
	return len(v.Voters)/2 + 1
}

// Ballot orders the attempts to decide the next view.
type Ballot struct {
	Round uint64 `json:"round"`
	By    string `json:"by"`
}

// Less orders ballots by round, then by who began them.
func (b Ballot) Less(o Ballot) bool {
	if b.Round != o.Round {
		return b.Round < o.Round
	}
	return b.By < o.By
}

// Accepted is the next view that a voter has accepted, and the ballot under which it did.
type Accepted struct {
	Ballot Ballot `json:"ballot"`
	View   View   `json:"view"`
}

// Entry is one change in the log, with the view whose head numbered it.
type Entry struct {
	Index  uint64              `json:"index"`
	View   uint64              `json:"view"`
	Change statemachine.Change `json:"change"`
}

// Copy is the state at an index. Its state is never changed once it is in a copy.
type Copy struct {
	Index uint64              `json:"index"`
	View  uint64              `json:"view"`
	State *statemachine.State `json:"state,omitempty"`
}

// Bulk says that a message carries a whole state and must not hold up others.
func (m *Msg) Bulk() bool {
	return m != nil && (m.Joining != nil || (m.Forward != nil && m.Forward.Copy != nil))
}

// Record is what the disk holds; the log is replayed from these in order.
type Record struct {
	Seal     *Seal     `json:"seal,omitempty"`
	View     *View     `json:"view,omitempty"`
	Promised *Ballot   `json:"promised,omitempty"`
	Accepted *Accepted `json:"accepted,omitempty"`
	Entry    *Entry    `json:"entry,omitempty"`
	Copy     *Copy     `json:"copy,omitempty"`
	Whole    uint64    `json:"whole,omitempty"`
	Founding *Founding `json:"founding,omitempty"`
}

// Founding is who begins the chain together, as a process was told at the first start of the whole fleet.
type Founding struct {
	Addrs []string `json:"addrs"`
}

// Seal marks a disk with the identity of the member that it belongs to.
type Seal struct {
	Identity string `json:"identity"`
	Name     string `json:"name"`
}

// Phase is where a process stands towards the chain.
type Phase string

const (
	// Fresh knows of no chain.
	Fresh Phase = "fresh"
	// Waking has restarted with its disk and has no seat yet.
	Waking Phase = "waking"
	// Serving has a seat.
	Serving Phase = "serving"
	// Outside knows the chain and has no seat in it.
	Outside Phase = "outside"
)

// Hello is what a process tells all others of itself at a steady pace.
type Hello struct {
	Me          Member    `json:"me"`
	Incarnation string    `json:"inc"`
	Phase       Phase     `json:"phase"`
	View        View      `json:"view"`
	Last        uint64    `json:"last"`
	LastView    uint64    `json:"lastView"`
	Compared    bool      `json:"compared"`
	Whole       bool      `json:"whole,omitempty"`
	Stalled     bool      `json:"stalled,omitempty"`
	Promised    Ballot    `json:"promised"`
	Accepted    *Accepted `json:"accepted,omitempty"`
	Hears       []string  `json:"hears"`
	Founders    []Member  `json:"founders,omitempty"`
	CopyIndex   uint64    `json:"copyIndex,omitempty"`
	First       bool      `json:"first,omitempty"`
	// Leaving says that this process has been told to end.
	Leaving bool `json:"leaving,omitempty"`
}

// Prepare asks a voter to promise that it accepts nothing under a lower ballot for the view of this number.
type Prepare struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
}

// Promise answers a Prepare, with what the voter has accepted before.
type Promise struct {
	Number   uint64    `json:"number"`
	Ballot   Ballot    `json:"ballot"`
	OK       bool      `json:"ok"`
	Promised Ballot    `json:"promised"`
	Accepted *Accepted `json:"accepted,omitempty"`
}

// Accept asks a voter to accept a view under a ballot.
type Accept struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
	View   View   `json:"view"`
}

// Accepting answers an Accept.
type Accepting struct {
	Number uint64 `json:"number"`
	Ballot Ballot `json:"ballot"`
	OK     bool   `json:"ok"`
}

// Forward carries entries, or a copy of the state, from a member to its successor; without either it is a heartbeat.
type Forward struct {
	View     uint64  `json:"view"`
	Prev     uint64  `json:"prev"`
	PrevView uint64  `json:"prevView"`
	Entries  []Entry `json:"entries,omitempty"`
	Copy     *Copy   `json:"copy,omitempty"`
	Last     uint64  `json:"last"`
	SentUs   int64   `json:"sentUs"`
}

// Ack tells the predecessor what is synced here and what the tail has committed.
type Ack struct {
	View   uint64 `json:"view"`
	Last   uint64 `json:"last"`
	Commit uint64 `json:"commit"`
	EchoUs int64  `json:"echoUs"`
}

// Lease asks a voter for the tail's lease, grants it, or releases it: then the tail uses no grant that it asked for at
// SentUs or before.
type Lease struct {
	View     uint64 `json:"view"`
	SentUs   int64  `json:"sentUs"`
	Given    bool   `json:"given,omitempty"`
	Released bool   `json:"released,omitempty"`
}

// Joining carries a copy of the state from the tail to a control node that has no seat.
type Joining struct {
	View        uint64 `json:"view"`
	Incarnation string `json:"inc"`
	Copy        Copy   `json:"copy"`
}

// MessageForm is the newest form of a message that this version reads. A message of a later one is refused as a
// whole: what it means cannot be known.
const MessageForm = 0

// Msg is one message between control nodes; exactly one of its pointers after ToID is set.
type Msg struct {
	// Form is left out as long as it is 0.
	Form        int                  `json:"form,omitempty"`
	From        Member               `json:"from"`
	Incarnation string               `json:"inc"`
	ToID        string               `json:"toId,omitempty"`
	Hello       *Hello               `json:"hello,omitempty"`
	Prepare     *Prepare             `json:"prepare,omitempty"`
	Promise     *Promise             `json:"promise,omitempty"`
	Accept      *Accept              `json:"accept,omitempty"`
	Accepting   *Accepting           `json:"accepting,omitempty"`
	Forward     *Forward             `json:"forward,omitempty"`
	Ack         *Ack                 `json:"ack,omitempty"`
	Lease       *Lease               `json:"lease,omitempty"`
	Joining     *Joining             `json:"joining,omitempty"`
	Submit      *statemachine.Change `json:"submit,omitempty"`
}

// Event is one input of a Node; with nothing but NowUs set it is a tick.
type Event struct {
	NowUs int64
	Got   *Msg
	Saved uint64
	// LogBytes is what the log takes on the disk after a save.
	LogBytes int64
	// Refused is a save that the disk does not take now. It is tried again until it is saved.
	Refused uint64
	Submit  *statemachine.Change
	Learn   []string
	// Leave says that this process is to end: it hands over its seat and its vote first.
	Leave bool
}

// Effect is one thing that a Node wants done; exactly one of its fields is set.
type Effect struct {
	Send    *Send
	Save    *Save
	Applied *Applied
	Viewed  *View
	Refused *Refused
	// Rejected is why a message of another system or of a later version was not read.
	Rejected *fault.Fault
}

// Send is a message to be sent to an address. It may be lost.
type Send struct {
	Addr string
	Msg  Msg
}

// Save is synced as a whole before it is reported. A copy is kept beside the log while the log goes
// on; once kept, a fresh one takes the place of all records before this save.
type Save struct {
	Seq     uint64
	Records []Record
	Copy    *Copy
	Fresh   bool
}

// Applied is an entry that has been committed, and what came of it.
type Applied struct {
	Entry   Entry
	Outcome statemachine.Outcome
}

// Refused is a change that is not taken, with the reason in words.
type Refused struct {
	ID     string
	Reason string
}

// OpeningSave is the number of the save with which what the disk gave back is synced; those of a node come after it.
const OpeningSave uint64 = 1

// Options are what a Node goes by; times that are 0 are as usual.
type Options struct {
	Me          Member
	Incarnation string
	Founding    int
	// Founders are the addresses of the control nodes that begin a chain together, in place of Founding.
	Founders []string
	// First says that the whole fleet starts for the first time: this control node belongs to it from the start,
	// and takes nobody's vote. It holds until this control node has had one.
	First bool
	// SelfMembers lets the control nodes take in and drop each other without an operator's order.
	SelfMembers bool
	// Unsynced says that the disk has refused to sync the records that it gave back: they count as synced only once
	// save OpeningSave is reported.
	Unsynced bool
	// CopiesLeast is how many synced copies an acknowledgement needs; two at least where there are two voters.
	CopiesLeast int
	// ZonesLeast is in how many zones they must lie, as far as there are voters in so many.
	ZonesLeast int
	HelloUs    int64
	SuspectUs  int64
	LeaseUs    int64
	LeaseCutUs int64
	StallUs    int64
	CompareUs  int64
	GatherUs   int64
	ResendUs   int64
	// BeatUs is how often a member tells its neighbours where it stands while nothing happens.
	BeatUs int64
	// AskUs is how long a ballot may gather promises before a higher one is tried.
	AskUs     int64
	KeepMost  int
	LogMost   int64
	BatchMost int
	WaitMost  int
}

func (o Options) filled() Options {
	set := func(v *int64, usual int64) {
		if *v == 0 {
			*v = usual
		}
	}
	set(&o.HelloUs, 100*clock.Ms)
	set(&o.SuspectUs, 700*clock.Ms)
	set(&o.LeaseUs, 1000*clock.Ms)
	set(&o.LeaseCutUs, 100*clock.Ms)
	set(&o.StallUs, 600*clock.Ms)
	set(&o.CompareUs, 1500*clock.Ms)
	set(&o.GatherUs, 2000*clock.Ms)
	set(&o.ResendUs, 150*clock.Ms)
	set(&o.AskUs, o.SuspectUs+o.LeaseUs)
	o.CopiesLeast = max(o.CopiesLeast, 1)
	if o.KeepMost == 0 {
		o.KeepMost = 4096
	}
	if o.LogMost == 0 {
		o.LogMost = 16 << 20
	}
	if o.BatchMost == 0 {
		o.BatchMost = 256
	}
	if o.WaitMost == 0 {
		o.WaitMost = 2048
	}
	return o
}
