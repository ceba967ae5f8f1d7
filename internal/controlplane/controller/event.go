package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
)

// Event is one input of the controller. It is sealed: the types of this file are all there are. An event happens at
// the time of the snapshot that it is taken with.
type Event interface{ isEvent() }

// Tick is the passing of time; everything that is due by time is done on it.
type Tick struct{}

// GatewayReport is a gateway's periodic report of its load.
type GatewayReport struct {
	Report *wire.Report
}

// WatcherReport names the members that one watcher of the failure detector suspects.
type WatcherReport struct {
	Report failuredetector.SuspicionReport
}

// PlatformListing is the platform's list of replicas, or why it could not be read.
type PlatformListing struct {
	// List is nil where none could be read.
	List *wire.ReplicaList
	// Err says why there is no list; "" where there is one.
	Err string
}

// ReplicaReport is a replica's answer to a ReportRequest.
type ReplicaReport struct {
	// RequestedUs is the time of the request, in microseconds; a report of an earlier request is not taken after a later one.
	RequestedUs int64
	// Replica and Addr are those of the request.
	Replica string
	Addr    string
	// State is nil where no report came.
	State *wire.ReplicaState
	// Err says why no report came; "" where one did.
	Err string
}

// OrderResult is a replica's own answer to an order. An error or a time-out is OrderInDoubt: the replica may have taken
// the order all the same.
type OrderResult struct {
	Replica     string
	Incarnation string
	// Expected is the order count that the order carried; nil where it carried none.
	Expected *uint64
	State    wire.OrderState
}

// PolicyResult is what the live placement policy and its shadows proposed in one PolicyRun.
type PolicyResult struct {
	// Number and Revision are those of the run.
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
