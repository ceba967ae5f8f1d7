package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
)

// Effect is one thing that the controller wants done. It is sealed: the types of this file are all there are. The
// caller carries effects out in their order.
type Effect interface{ isEffect() }

// PollPlatform asks the platform for its list of replicas; the answer is a PlatformListing.
type PollPlatform struct{}

// ReportRequest asks one replica for its report; the answer is a ReplicaReport with the same three values.
type ReportRequest struct {
	// RequestedUs is the time of the request, in microseconds.
	RequestedUs int64
	Replica     string
	Addr        string
}

// SendOrder sends one order to a replica; the answer is an OrderResult.
type SendOrder struct {
	Addr  string
	Order wire.Order
}

// WriteChange submits a change to the replicated state; the answer is a WriteResult once it is applied.
type WriteChange struct {
	Change *statemachine.Change
}

// PolicyRun lets the placement policies propose for the fleet as it is; the answer is a PolicyResult.
type PolicyRun struct {
	// Number counts the runs of this controller, Revision is that of the declaration that the run reads.
	Number   uint64
	Revision uint64
	Live     configuration.Policy
	// Shadows run beside the live policy; their proposals are only compared with its.
	Shadows []configuration.Policy
	Fleet   placement.Fleet
}

// PublishVerdicts passes on the verdicts of the outlier detector, which have changed.
type PublishVerdicts struct {
	Table outlier.Table
}

// RolloutProgress tells, of the declaration in force, that all live gateways work by it, or which ones are late.
type RolloutProgress struct {
	Revision uint64
	// Done: all live gateways work by it.
	Done bool
	// ElapsedUs is the time since this controller first saw the declaration in force, in microseconds.
	ElapsedUs int64
	// Gateways is the number of live gateways, and Behind are those that reported an older revision last.
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
