package wire

import (
	"petreltide/internal/chain"
	"petreltide/internal/ledger"
	"petreltide/internal/outlier"
	"petreltide/internal/roster"
	"petreltide/internal/standing"
	"petreltide/internal/watch"
)

// News is numbered by the ledger index that last touched what desks act on.
type News struct {
	Number   uint64                `json:"number"`
	View     uint64                `json:"view"`
	Epoch    uint64                `json:"epoch"`
	Revision uint64                `json:"revision"`
	Doc      *standing.Declaration `json:"doc,omitempty"`
	Replicas []ReplicaNews         `json:"replicas"`
	Grants   []ledger.Grant        `json:"grants"`
}

type ReplicaNews struct {
	ID        string   `json:"id"`
	Inc       string   `json:"inc"`
	Addr      string   `json:"addr"`
	Zone      string   `json:"zone"`
	Leaving   bool     `json:"leaving,omitempty"`
	LeftMs    int64    `json:"leftMs,omitempty"`
	Dark      bool     `json:"dark,omitempty"`
	Holds     []string `json:"holds"`
	Unloading string   `json:"unloading,omitempty"`
	Share     int      `json:"share"`
	Service   string   `json:"service,omitempty"`
	Slots     int      `json:"slots,omitempty"`
	Stale     bool     `json:"stale,omitempty"`
	Loading   string   `json:"loading,omitempty"`
}

type Follow struct {
	Desk     string `json:"desk"`
	Inc      string `json:"inc"`
	Addr     string `json:"addr"`
	Zone     string `json:"zone"`
	Revision uint64 `json:"revision"`
	Number   uint64 `json:"number"`
	// Spare streams stand by beside another one: they carry no demand.
	Spare bool `json:"spare,omitempty"`
}

type Report struct {
	Desk     string             `json:"desk"`
	Inc      string             `json:"inc"`
	Addr     string             `json:"addr"`
	Zone     string             `json:"zone"`
	Number   uint64             `json:"number"`
	Revision uint64             `json:"revision"`
	SentUs   int64              `json:"sentUs"`
	View     uint64             `json:"view"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
	InFlight map[string]int     `json:"inFlight,omitempty"`
	Left     map[string]Left    `json:"left,omitempty"`
	Draining bool               `json:"draining,omitempty"`
	Silent   []string           `json:"silent,omitempty"`
	// Tokens of prompts a second, by model; Recent are arrivals of the last second or two; Paths are
	// arrivals a second by "route|model"; Runs are legs under way and Unread those without a first piece, by "replica|model".
	Tokens map[string]float64 `json:"tokens,omitempty"`
	Recent map[string]float64 `json:"recent,omitempty"`
	Paths  map[string]float64 `json:"paths,omitempty"`
	Runs   map[string]int     `json:"runs,omitempty"`
	Unread map[string]int     `json:"unread,omitempty"`
	// Legs ended since the last report, by service; Outcomes at replicas where one failed or that are on trial.
	Legs     map[string]int   `json:"legs,omitempty"`
	Outcomes []outlier.Counts `json:"outcomes,omitempty"`
}

type Left struct {
	Ticket uint64 `json:"ticket"`
	Left   uint64 `json:"left"`
}

type Lease struct {
	OK      bool         `json:"ok"`
	View    uint64       `json:"view"`
	SentUs  int64        `json:"sentUs"`
	LeaseUs int64        `json:"leaseUs"`
	Number  uint64       `json:"number"`
	Ring    []watch.Node `json:"ring,omitempty"`
}

type WhereAsk struct {
	From chain.Member `json:"from"`
}

type Where struct {
	View    chain.View     `json:"view"`
	Offices []chain.Member `json:"offices"`
}

type Result struct {
	Outcome    ledger.Outcome `json:"outcome"`
	Everywhere bool           `json:"everywhere"`
}

// Post is a batch of one-way messages from one office to another.
type Post struct {
	Letters []Letter `json:"letters"`
}

type Letter struct {
	Chain     *chain.Msg     `json:"chain,omitempty"`
	Result    *Result        `json:"result,omitempty"`
	Report    *Report        `json:"report,omitempty"`
	Silence   *watch.Silence `json:"silence,omitempty"`
	Heard     *Heard         `json:"heard,omitempty"`
	Confirmed *Confirmed     `json:"confirmed,omitempty"`
	Outlier   *outlier.Table `json:"outlier,omitempty"`
}

// Heard is what an office has heard of replicas and desks, told to the other offices. Wants asks for
// all rows again.
type Heard struct {
	By    string        `json:"by"`
	Inc   string        `json:"inc"`
	Notes []roster.Note `json:"notes,omitempty"`
	Wants bool          `json:"wants,omitempty"`
	Desks []string      `json:"desks,omitempty"`
	// Confirm names replicas that leave: whoever knows of it says so.
	Confirm []string `json:"confirm,omitempty"`
}

// Confirmed answers Confirm. Inc is the life of the office that asked.
type Confirmed struct {
	By      string         `json:"by"`
	Inc     string         `json:"inc"`
	Leaving []KnownLeaving `json:"leaving"`
}

// KnownLeaving is a replica that an office knows to be leaving, or to be gone.
type KnownLeaving struct {
	ID   string `json:"id"`
	Gone bool   `json:"gone,omitempty"`
}

type Receipt struct{}

// Replica and platform interfaces, outward.

type ReplicaState struct {
	ID     string           `json:"id"`
	Inc    string           `json:"inc"`
	Holds  []ledger.Holding `json:"holds"`
	Last   *OrderState      `json:"last,omitempty"`
	Active int              `json:"active"`

	// Of replicas that do not name their last order: whether one is under way, how many they took, and
	// which units they hold.
	Busy   bool     `json:"busy,omitempty"`
	Orders uint64   `json:"orders,omitempty"`
	Units  []string `json:"units,omitempty"`
}

type Order struct {
	Ticket ledger.Ticket `json:"ticket"`
	Epoch  uint64        `json:"epoch"`
	// Holder is who holds the duty; Expected is how many orders the replica has taken, where it is known.
	Holder   string  `json:"holder,omitempty"`
	Expected *uint64 `json:"expected,omitempty"`
}

const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderFailed  = "failed"
	// OrderInDoubt: no answer came; it may have been taken.
	OrderInDoubt = "in_doubt"
	// OrderBusy: another order is under way there, or this one was counted wrong.
	OrderBusy = "busy"
)

type OrderState struct {
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
	State  string `json:"state"`
	Why    string `json:"why,omitempty"`
}

type List struct {
	Version  uint64   `json:"version"`
	Replicas []Listed `json:"replicas"`
}

const (
	ListedReady    = "ready"
	ListedDraining = "draining"
)

type Listed struct {
	ID     string `json:"id"`
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	RoomMb int64  `json:"roomMb"`
	Slots  int    `json:"slots"`
	State  string `json:"state"`
	LeftMs int64  `json:"leftMs,omitempty"`
}

type Leg struct {
	Leg     string   `json:"leg"`
	Ticket  uint64   `json:"ticket"`
	Inc     string   `json:"inc"`
	Call    string   `json:"call"`
	Model   string   `json:"model"`
	Adapter string   `json:"adapter,omitempty"`
	Prefix  []string `json:"prefix,omitempty"`
	Prompt  string   `json:"prompt"`
	Had     []string `json:"had,omitempty"`
	First   int      `json:"first"`
	MostOut int      `json:"mostOut,omitempty"`
}

// Piece is one line of a replica's answer.
type Piece struct {
	Leg  string `json:"leg"`
	N    int    `json:"n,omitempty"`
	Text string `json:"text,omitempty"`
	End  bool   `json:"end,omitempty"`
	Err  string `json:"err,omitempty"`
}

type LegRefusal struct {
	Code    string `json:"code"`
	Started bool   `json:"started"`
	Detail  string `json:"detail,omitempty"`
}
