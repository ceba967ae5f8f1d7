package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
)

// Effect is an action requested by the controller. The interface is sealed: all implementations are in this file. The caller
// carries out effects in the order in which they were returned.
type Effect interface{ isEffect() }

// PollPlatform requests the platform's list of replicas; the response is a PlatformListing.
type PollPlatform struct{}

// ReportRequest requests a report from one replica; the response is a ReplicaReport with the same RequestedUs, Replica and
// Addr.
type ReportRequest struct {
	// RequestedUs is the time of the request, in microseconds.
	RequestedUs int64
	Replica     string
	Addr        string
}

// SendOrder sends one order to a replica; the response is an OrderResult.
type SendOrder struct {
	Addr  string
	Order wire.Order
}

// WriteChange submits a change to the replicated state; the response is a WriteResult once the change is applied.
type WriteChange struct {
	Change *statemachine.Change
}

// PolicyRun runs the placement policies on the current fleet; the response is a PolicyResult.
type PolicyRun struct {
	// Number is the sequence number of the run within this controller. Revision is the revision of the declaration that the
	// run uses.
	Number   uint64
	Revision uint64
	Live     configuration.Policy
	// Shadows are run beside the live policy; their proposals are only compared with those of the live policy.
	Shadows []configuration.Policy
	Fleet   placement.Fleet
}

// PublishVerdicts publishes the outlier detector's verdicts after a change.
type PublishVerdicts struct {
	Table outlier.Table
}

// RolloutProgress reports that all live gateways use the declaration in force, or which of them are late.
type RolloutProgress struct {
	Revision uint64
	// Done is true if all live gateways use the declaration.
	Done bool
	// ElapsedUs is the time since this controller first saw the declaration in force, in microseconds.
	ElapsedUs int64
	// Gateways is the number of live gateways. Behind names those whose latest report has an older revision.
	Gateways int
	Behind   []string
}

func (PollPlatform) isEffect()    {}
func (ReportRequest) isEffect()   {}
func (SendOrder) isEffect()       {}
func (WriteChange) isEffect()     {}
func (PolicyRun) isEffect()       {}
func (PublishVerdicts) isEffect() {}
func (RolloutProgress) isEffect() {}
