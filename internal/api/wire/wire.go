package wire

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/membership"
	"petreltide/internal/outlier"
)

// GatewayUpdate is numbered by the ledger index that last touched what gateways act on.
type GatewayUpdate struct {
	Number      uint64                     `json:"number"`
	View        uint64                     `json:"view"`
	Epoch       uint64                     `json:"epoch"`
	Revision    uint64                     `json:"revision"`
	Declaration *configuration.Declaration `json:"doc,omitempty"`
	Replicas    []ReplicaUpdate            `json:"replicas"`
	Grants      []Grant                    `json:"grants"`
}

// ReplicaUpdate is one replica as a gateway needs it. Share is how many requests this gateway may have there at once;
// RemainingMs is how long a leaving replica stays; Stale says that the row comes from
// the ledger, from before the control nodes came back.
type ReplicaUpdate struct {
	ID          string   `json:"id"`
	Incarnation string   `json:"inc"`
	Addr        string   `json:"addr"`
	Zone        string   `json:"zone"`
	Draining    bool     `json:"leaving,omitempty"`
	RemainingMs int64    `json:"leftMs,omitempty"`
	Unreachable bool     `json:"dark,omitempty"`
	Loaded      []string `json:"holds"`
	Unloading   string   `json:"unloading,omitempty"`
	MaxInFlight int      `json:"share"`
	Service     string   `json:"service,omitempty"`
	Slots       int      `json:"slots,omitempty"`
	Stale       bool     `json:"stale,omitempty"`
	Loading     string   `json:"loading,omitempty"`
}

// SubscribeRequest asks a control node for a stream. Revision and Number are what the gateway knows already.
type SubscribeRequest struct {
	Gateway     string `json:"desk"`
	Incarnation string `json:"inc"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Revision    uint64 `json:"revision"`
	Number      uint64 `json:"number"`
	// Standby streams stand by beside another one: they carry no demand.
	Standby bool `json:"spare,omitempty"`
}

// Report is what a gateway tells a control node, and asks a lease with. Arrivals (a second) and Waiting are by unit, InFlight
// by replica and Left by "replica|unit"; SentUs is by the gateway's own clock.
type Report struct {
	Gateway      string                 `json:"desk"`
	Incarnation  string                 `json:"inc"`
	Addr         string                 `json:"addr"`
	Zone         string                 `json:"zone"`
	Number       uint64                 `json:"number"`
	Revision     uint64                 `json:"revision"`
	SentUs       int64                  `json:"sentUs"`
	View         uint64                 `json:"view"`
	Arrivals     map[string]float64     `json:"arrivals,omitempty"`
	Queued       map[string]int         `json:"waiting,omitempty"`
	InFlight     map[string]int         `json:"inFlight,omitempty"`
	UnusedGrants map[string]UnusedGrant `json:"left,omitempty"`
	Draining     bool                   `json:"draining,omitempty"`
	Suspects     []string               `json:"silent,omitempty"`
	// PromptTokens of prompts a second, by model; Recent are arrivals of the last second or two; Paths are
	// arrivals a second by "route|model"; Runs are attempts under way and Unread those without a first piece, by "replica|model".
	PromptTokens   map[string]float64 `json:"tokens,omitempty"`
	RecentArrivals map[string]float64 `json:"recent,omitempty"`
	RouteArrivals  map[string]float64 `json:"paths,omitempty"`
	ModelInFlight  map[string]int     `json:"runs,omitempty"`
	PendingPrefill map[string]int     `json:"unread,omitempty"`
	// Attempts ended since the last report, by service; Outcomes at replicas where one failed or that are on trial.
	Attempts map[string]int   `json:"legs,omitempty"`
	Outcomes []outlier.Counts `json:"outcomes,omitempty"`
}

// UnusedGrant is how much of a grant a gateway has not used.
type UnusedGrant struct {
	Ticket    uint64 `json:"ticket"`
	Remaining uint64 `json:"left"`
}

// Lease answers a report. SentUs is the report's own, so that the gateway counts LeaseUs from when it sent it.
type Lease struct {
	OK      bool                  `json:"ok"`
	View    uint64                `json:"view"`
	SentUs  int64                 `json:"sentUs"`
	LeaseUs int64                 `json:"leaseUs"`
	Number  uint64                `json:"number"`
	Ring    []membership.RingNode `json:"ring,omitempty"`
}

// MembershipRequest asks a control node for the members that it knows.
type MembershipRequest struct {
	From membership.Member `json:"from"`
}

// MembershipResponse answers MembershipRequest with the chain's view and all control nodes known.
type MembershipResponse struct {
	View         membership.View     `json:"view"`
	ControlNodes []membership.Member `json:"offices"`
}

// Result is what became of a change, told to the control node that took it. Everywhere says that all gateways have it.
type Result struct {
	Outcome       Outcome `json:"outcome"`
	OnAllGateways bool    `json:"everywhere"`
}

// Ack says no more than that a message has arrived.
type Ack struct{}

// Replica and platform interfaces, outward.

// ReplicaState is what a replica answers when it is asked what it holds and does.
type ReplicaState struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"inc"`
	Loaded      []ResidentUnit `json:"holds"`
	LastOrder   *OrderState    `json:"last,omitempty"`
	Active      int            `json:"active"`

	// Of replicas that do not name their last order: whether one is under way, how many they took, and
	// which units they hold.
	Busy   bool     `json:"busy,omitempty"`
	Orders uint64   `json:"orders,omitempty"`
	Units  []string `json:"units,omitempty"`
}

// Order is one order to a replica: a ticket of the ledger, under the epoch of the controller that sends it.
type Order struct {
	Command ReplicaCommand `json:"ticket"`
	Epoch   uint64         `json:"epoch"`
	// Leader is who leads; Expected is how many orders the replica has taken, where it is known.
	Leader         string  `json:"holder,omitempty"`
	ExpectedOrders *uint64 `json:"expected,omitempty"`
}

// What is known of an order. OrderRunning, OrderDone and OrderFailed are what a replica says of one that it has taken.
const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderFailed  = "failed"
	// OrderInDoubt means that no answer came; the order may have been taken.
	OrderInDoubt = "in_doubt"
	// OrderBusy means that another order is under way there, or that this one was counted wrong.
	OrderBusy = "busy"
)

// OrderState is what is known of an order; State is one of the constants above.
type OrderState struct {
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
	State  string `json:"state"`
	Reason string `json:"why,omitempty"`
}

// ReplicaList is the platform's list of replicas; a greater Version is newer.
type ReplicaList struct {
	Version  uint64          `json:"version"`
	Replicas []ListedReplica `json:"replicas"`
}

// ListedReady and ListedDraining are the states of a replica on the platform's list.
const (
	ListedReady    = "ready"
	ListedDraining = "draining"
)

// ListedReplica is a replica on the platform's list; RemainingMs is how long one that is draining stays.
type ListedReplica struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	CapacityMB  int64  `json:"roomMb"`
	Slots       int    `json:"slots"`
	State       string `json:"state"`
	RemainingMs int64  `json:"leftMs,omitempty"`
}

// Attempt is one attempt of a request at a replica. Had are the pieces that the caller has, and First the number of the next.
type Attempt struct {
	ID          string   `json:"leg"`
	Ticket      uint64   `json:"ticket"`
	Incarnation string   `json:"inc"`
	Call        string   `json:"call"`
	Model       string   `json:"model"`
	Adapter     string   `json:"adapter,omitempty"`
	Prefix      []string `json:"prefix,omitempty"`
	Prompt      string   `json:"prompt"`
	Received    []string `json:"had,omitempty"`
	NextChunk   int      `json:"first"`
	MaxOutput   int      `json:"mostOut,omitempty"`
}

// Chunk is one line of a replica's answer.
type Chunk struct {
	AttemptID string `json:"leg"`
	Number    int    `json:"n,omitempty"`
	Text      string `json:"text,omitempty"`
	End       bool   `json:"end,omitempty"`
	Error     string `json:"err,omitempty"`
}

// AttemptRefusal is why a replica did not give an answer; Started says whether the attempt may have run.
type AttemptRefusal struct {
	Code    string `json:"code"`
	Started bool   `json:"started"`
	Detail  string `json:"detail,omitempty"`
}
