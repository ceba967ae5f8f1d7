package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/failuredetector"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
)

// Event is one thing that the controller hears of; without any of its fields it is a tick of the clock.
type Event struct {
	NowUs   int64
	Listed  *Listed
	Told    *Told
	Ordered *Ordered
	Report  *wire.Report
	Silence *failuredetector.SuspicionReport
	Policy  *PolicyDone
	Wrote   *statemachine.Outcome
}

// Listed is the platform's list of replicas, or why it could not be read.
type Listed struct {
	List *wire.ReplicaList
	Err  string
}

// Told is a replica's report, asked for at AskedUs; State is nil where none came.
type Told struct {
	AskedUs int64
	Replica string
	Addr    string
	State   *wire.ReplicaState
	Err     string
}

// Ordered is a replica's own answer to an order; only its word that it has it counts. Expected is the count that
// the order carried.
type Ordered struct {
	Replica     string
	Incarnation string
	Expected    *uint64
	State       wire.OrderState
}

// PolicyDone is what the live placement policy and its shadows proposed in one run.
type PolicyDone struct {
	Run      uint64
	Revision uint64
	Live     placement.Answer
	Shadows  []placement.Answer
}

// Effect is one thing that the controller wants done; one of its fields is set.
type Effect struct {
	PollList bool
	Ask      *Ask
	Order    *Order
	Write    *statemachine.Change
	Run      *Run
	Note     string
	// Outliers are the verdicts on replicas, where they have changed.
	Outliers *outlier.Table
}

// Ask asks one replica for its report.
type Ask struct {
	AskedUs int64
	Replica string
	Addr    string
}

// Order sends one order to a replica.
type Order struct {
	Addr  string
	Order wire.Order
}

// Run lets the placement policies propose for the fleet as it is.
type Run struct {
	Number   uint64
	Revision uint64
	Live     configuration.Policy
	Shadows  []configuration.Policy
	Fleet    placement.Fleet
}

// Seen is what the control node knows as an event is taken: the ledger, whether it leads and may write, and its replicas.
type Seen struct {
	NowUs  int64
	State  *statemachine.State
	Head   bool
	Fresh  bool
	Writes bool
	View   uint64
	Roster *registry.Registry
	// Outliers are the newest verdicts of whoever judged last.
	Outliers outlier.Table
}

// isRouted: replicas make themselves known, and what is in force sends by routes.
func (s Seen) isRouted() bool {
	return s.Roster != nil && s.State.Doc != nil && s.State.Doc.Routed()
}
