package wire

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/membership"
	"petreltide/internal/outlier"
)

// GatewayUpdate is the state that a gateway acts on. Number is the log index of the entry that last changed this state.
type GatewayUpdate struct {
	Number      uint64                     `json:"number"`
	View        uint64                     `json:"view"`
	Epoch       uint64                     `json:"epoch"`
	Revision    uint64                     `json:"revision"`
	Declaration *configuration.Declaration `json:"doc,omitempty"`
	Replicas    []ReplicaUpdate            `json:"replicas"`
	Grants      []Grant                    `json:"grants"`
}

// ReplicaUpdate is the state of a replica that a gateway needs. MaxInFlight is the number of requests that this gateway may
// have in flight there; RemainingMs is how long a draining replica stays; Stale means that the row comes from the replicated
// log, from before the control nodes restarted.
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

// SubscribeRequest asks a control node for a stream. Revision and Number are those that the gateway already has.
type SubscribeRequest struct {
	Gateway     string `json:"desk"`
	Incarnation string `json:"inc"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	Revision    uint64 `json:"revision"`
	Number      uint64 `json:"number"`
	// Standby means that the stream is a backup for another one; it carries no demand.
	Standby bool `json:"spare,omitempty"`
}

// Report is the message with which a gateway reports its load to a control node and requests a lease. Arrivals (per second)
// and Queued are keyed by unit, InFlight by replica and UnusedGrants by "replica|unit". SentUs is the time in microseconds
// on the gateway's own clock.
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
	// PromptTokens is the number of prompt tokens per second, by model. RecentArrivals are the arrivals of the last second
	// or two. RouteArrivals are the arrivals per second, by "route|model". ModelInFlight is the number of attempts in flight
	// and PendingPrefill the number of those without a first chunk, by "replica|model".
	PromptTokens   map[string]float64 `json:"tokens,omitempty"`
	RecentArrivals map[string]float64 `json:"recent,omitempty"`
	RouteArrivals  map[string]float64 `json:"paths,omitempty"`
	ModelInFlight  map[string]int     `json:"runs,omitempty"`
	PendingPrefill map[string]int     `json:"unread,omitempty"`
	// Attempts is the number of attempts that ended since the last report, by service. Outcomes are the outcome counts at
	// replicas where an attempt failed or that are on probation.
	Attempts map[string]int   `json:"legs,omitempty"`
	Outcomes []outlier.Counts `json:"outcomes,omitempty"`
}

// UnusedGrant is the number of attempt numbers of a grant that a gateway has not used.
type UnusedGrant struct {
	Ticket    uint64 `json:"ticket"`
	Remaining uint64 `json:"left"`
}

// Lease answers a report. SentUs is copied from the report, so that the gateway measures LeaseUs from the time at which it
// sent the report.
type Lease struct {
	OK      bool                  `json:"ok"`
	View    uint64                `json:"view"`
	SentUs  int64                 `json:"sentUs"`
	LeaseUs int64                 `json:"leaseUs"`
	Number  uint64                `json:"number"`
	Ring    []membership.RingNode `json:"ring,omitempty"`
}

// MembershipRequest asks a control node for its view and the control nodes that it knows.
type MembershipRequest struct {
	From membership.Member `json:"from"`
}

// MembershipResponse answers a MembershipRequest with the chain's view and all known control nodes.
type MembershipResponse struct {
	View         membership.View     `json:"view"`
	ControlNodes []membership.Member `json:"offices"`
}

// Result reports the outcome of a change to the control node that accepted it. OnAllGateways means that all gateways have
// received the change.
type Result struct {
	Outcome       Outcome `json:"outcome"`
	OnAllGateways bool    `json:"everywhere"`
}

// Ack is the empty answer that confirms the receipt of a message.
type Ack struct{}

// The types below are the messages of the interfaces to replicas and to the platform.

// ReplicaState is a replica's answer to a query for its loaded units and current work.
type ReplicaState struct {
	ID          string         `json:"id"`
	Incarnation string         `json:"inc"`
	Loaded      []ResidentUnit `json:"holds"`
	LastOrder   *OrderState    `json:"last,omitempty"`
	Active      int            `json:"active"`

	// Busy, Orders and Units are reported by replicas that do not report LastOrder: whether an order is in progress, the
	// number of orders accepted, and the loaded units.
	Busy   bool     `json:"busy,omitempty"`
	Orders uint64   `json:"orders,omitempty"`
	Units  []string `json:"units,omitempty"`
}

// Order is an order to a replica: a command from the replicated log, with the epoch of the controller that sends it.
type Order struct {
	Command ReplicaCommand `json:"ticket"`
	Epoch   uint64         `json:"epoch"`
	// Leader is the current leader; ExpectedOrders is the number of orders that the replica has accepted, if known.
	Leader         string  `json:"holder,omitempty"`
	ExpectedOrders *uint64 `json:"expected,omitempty"`
}

// States of an order. OrderRunning, OrderDone and OrderFailed are reported by a replica for an order that it has accepted.
const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderFailed  = "failed"
	// OrderInDoubt means that no answer was received; the order may have been accepted.
	OrderInDoubt = "in_doubt"
	// OrderBusy means that another order is in progress at the replica, or that ExpectedOrders did not match.
	OrderBusy = "busy"
)

// OrderState is the known state of an order; State is one of the constants above.
type OrderState struct {
	Number uint64 `json:"number"`
	Epoch  uint64 `json:"epoch"`
	State  string `json:"state"`
	Reason string `json:"why,omitempty"`
}

// ReplicaList is the platform's list of replicas; a higher Version is newer.
type ReplicaList struct {
	Version  uint64          `json:"version"`
	Replicas []ListedReplica `json:"replicas"`
}

// ListedReady and ListedDraining are the states of a replica in the platform's list.
const (
	ListedReady    = "ready"
	ListedDraining = "draining"
)

// ListedReplica is a replica in the platform's list; RemainingMs is how long a draining replica stays.
type ListedReplica struct {
	ID          string `json:"id"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	CapacityMB  int64  `json:"roomMb"`
	Slots       int    `json:"slots"`
	State       string `json:"state"`
	RemainingMs int64  `json:"leftMs,omitempty"`
}

// Attempt is one attempt of a request at a replica. Received are the chunks that the caller already has, and NextChunk is
// the number of the next one.
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

// Chunk is one line of a replica's response.
type Chunk struct {
	AttemptID string `json:"leg"`
	Number    int    `json:"n,omitempty"`
	Text      string `json:"text,omitempty"`
	End       bool   `json:"end,omitempty"`
	Error     string `json:"err,omitempty"`
}

// AttemptRefusal is the reason why a replica did not answer an attempt; Started reports whether the attempt may have run.
type AttemptRefusal struct {
	Code    string `json:"code"`
	Started bool   `json:"started"`
	Detail  string `json:"detail,omitempty"`
}
