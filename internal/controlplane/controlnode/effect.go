package controlnode

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/peering"
)

// Effect is one thing that the host has to do, in the order in which effects are returned. The types of this file are
// all there are.
type Effect interface{ isEffect() }

// SendMessage sends a message to the control node at an address.
type SendMessage struct {
	Addr    string
	Message peering.Message
}

// Persist puts what the chain wants saved on the disk, after what was asked before.
type Persist struct{ Request *chain.Persist }

// PushUpdate sends a gateway of the declared world an update.
type PushUpdate struct{ Push *distribution.UpdatePush }

// PushFrame sends a gateway of the routed world a frame of its stream.
type PushFrame struct{ Push *distribution.FramePush }

// DeliverResult gives the outcome of a change to those that wait for it here.
type DeliverResult struct{ Result *wire.Result }

// ReplyLease answers the GatewayReport with the same number.
type ReplyLease struct {
	ReplyID uint64
	Lease   wire.Lease
}

// ReplyQuota answers the QuotaRequested with the same number.
type ReplyQuota struct {
	ReplyID  uint64
	Response wire.QuotaResponse
}

// AcknowledgeReplica answers what a replica said of itself, under the number of its event. OK acknowledges it; without,
// the replica goes on to another control node, though what it said is known here.
type AcknowledgeReplica struct {
	ReplyID uint64
	OK      bool
}

// RunController carries out an effect of the controller.
type RunController struct{ Effect controller.Effect }

// ChangeApplied reports a change that was applied to the state.
type ChangeApplied struct{ Applied *chain.Applied }

// LogMessage writes a line to the log.
type LogMessage struct {
	Message string
	Detail  string
}

func (SendMessage) isEffect()        {}
func (Persist) isEffect()            {}
func (PushUpdate) isEffect()         {}
func (PushFrame) isEffect()          {}
func (DeliverResult) isEffect()      {}
func (ReplyLease) isEffect()         {}
func (ReplyQuota) isEffect()         {}
func (AcknowledgeReplica) isEffect() {}
func (RunController) isEffect()      {}
func (ChangeApplied) isEffect()      {}
func (LogMessage) isEffect()         {}
