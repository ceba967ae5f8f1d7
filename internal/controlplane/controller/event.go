package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
)

// Event is an input of the controller. The interface is sealed: all implementations are in this file. The time of an event
// is that of the snapshot it is processed with.
type Event interface{ isEvent() }

// Tick signals the passage of time and triggers all work that is due by time.
type Tick struct{}

// GatewayReport is a gateway's periodic load report.
type GatewayReport struct {
	Report *wire.Report
}

// WatcherReport names the members suspected by one watcher of the failure detector.
type WatcherReport struct {
	Report failuredetector.SuspicionReport
}

// PlatformListing is the platform's list of replicas, or the reason why it could not be read.
type PlatformListing struct {
	// List is nil if no list could be read.
	List *wire.ReplicaList
	// Err is the reason for a missing list; empty if there is a list.
	Err string
}

// ReplicaReport is a replica's response to a ReportRequest.
type ReplicaReport struct {
	// RequestedUs is the time of the request, in microseconds. A report is ignored if one that was requested later has
	// already been processed.
	RequestedUs int64
	// Replica and Addr are copied from the request.
	Replica string
	Addr    string
	// State is nil if no report was received.
	State *wire.ReplicaState
	// Err is the reason for a missing report; empty if there is a report.
	Err string
}

// OrderResult is a replica's response to an order. After an error or a timeout the state is OrderInDoubt, because the
// replica may have accepted the order nevertheless.
type OrderResult struct {
	Replica     string
	Incarnation string
	// Expected is the order count that the order expected; nil if the order had no expected count.
	Expected *uint64
	State    wire.OrderState
}

// PolicyResult contains the proposals of the live placement policy and of its shadows from one PolicyRun.
type PolicyResult struct {
	// Number and Revision are copied from the run.
	Number   uint64
	Revision uint64
	Live     placement.RunResult
	// Shadows are the results of the shadow policies, in the order of the run.
	Shadows []placement.RunResult
}

// WriteResult is the outcome of a change that was applied to the replicated state.
type WriteResult struct {
	Outcome statemachine.Outcome
}

func (Tick) isEvent()            {}
func (GatewayReport) isEvent()   {}
func (WatcherReport) isEvent()   {}
func (PlatformListing) isEvent() {}
func (ReplicaReport) isEvent()   {}
func (OrderResult) isEvent()     {}
func (PolicyResult) isEvent()    {}
func (WriteResult) isEvent()     {}
