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
	Listed  *PlatformListing
	Told    *ReplicaReport
	Ordered *OrderResult
	Report  *wire.Report
	Silence *failuredetector.SuspicionReport
	Policy  *PolicyResult
	Wrote   *statemachine.Outcome
}

// PlatformListing is the platform's list of replicas, or why it could not be read.
type PlatformListing struct {
	List *wire.ReplicaList
	Err  string
}

// ReplicaReport is a replica's report, asked for at RequestedUs; State is nil where none came.
type ReplicaReport struct {
	RequestedUs int64
	Replica     string
	Addr        string
	State       *wire.ReplicaState
	Err         string
}

// OrderResult is a replica's own answer to an order; only its word that it has it counts. Expected is the count that
// the order carried.
type OrderResult struct {
	Replica     string
	Incarnation string
	Expected    *uint64
	State       wire.OrderState
}

// PolicyResult is what the live placement policy and its shadows proposed in one run.
type PolicyResult struct {
	Number   uint64
	Revision uint64
	Live     placement.RunResult
	Shadows  []placement.RunResult
}

// Effect is one thing that the controller wants done; one of its fields is set.
type Effect struct {
	PollList bool
	Ask      *ReportRequest
	Order    *Order
	Write    *statemachine.Change
	Run      *PolicyRun
	Note     string
	// Outliers are the verdicts on replicas, where they have changed.
	Outliers *outlier.Table
}

// ReportRequest asks one replica for its report.
type ReportRequest struct {
	RequestedUs int64
	Replica     string
	Addr        string
}

// Order sends one order to a replica.
type Order struct {
	Addr  string
	Order wire.Order
}

// PolicyRun lets the placement policies propose for the fleet as it is.
type PolicyRun struct {
	Number   uint64
	Revision uint64
	Live     configuration.Policy
	Shadows  []configuration.Policy
	Fleet    placement.Fleet
}

// Snapshot is what the control node knows as an event is taken: the ledger, whether it leads and may write, and its replicas.
type Snapshot struct {
	NowUs      int64
	State      *statemachine.State
	IsHead     bool
	IsFresh    bool
	CanWrite   bool
	ViewNumber uint64
	Registry   *registry.Registry
	// Outliers are the newest verdicts of whoever judged last.
	Outliers outlier.Table
}

// isRouted: replicas make themselves known, and what is in force sends by routes.
func (s Snapshot) isRouted() bool {
	return s.Registry != nil && s.State.Doc != nil && s.State.Doc.Routed()
}
