package controlnode

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/peering"
)

// Effect is an action for the host to execute, in the order in which Core.Step returns them. Its implementations are the types
// of this file.
type Effect interface{ isEffect() }

// SendMessage sends a message to the control node at an address.
type SendMessage struct {
	Addr    string
	Message peering.Message
}

// Persist writes a request of the chain to the disk, after all earlier requests.
type Persist struct{ Request *chain.Persist }

// PushUpdate sends a gateway in declared mode a configuration update.
type PushUpdate struct{ Push *distribution.UpdatePush }

// PushFrame sends a gateway in routed mode the next frame of its stream.
type PushFrame struct{ Push *distribution.FramePush }

// DeliverResult passes the result of a change to the callers that wait for it on this control node.
type DeliverResult struct{ Result *wire.Result }

// ReplyLease answers the GatewayReport with the same ReplyID.
type ReplyLease struct {
	ReplyID uint64
	Lease   wire.Lease
}

// ReplyQuota answers the QuotaRequested with the same ReplyID.
type ReplyQuota struct {
	ReplyID  uint64
	Response wire.QuotaResponse
}

// AcknowledgeReplica answers the ReplicaHeartbeat or ReplicaDeregistration with the same ReplyID. OK acknowledges it. Without
// OK the replica turns to another control node, although this one has recorded what it reported.
type AcknowledgeReplica struct {
	ReplyID uint64
	OK      bool
}

// RunController executes an effect of the controller.
type RunController struct{ Effect controller.Effect }

// ChangeApplied reports a change that was applied to the replicated state.
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
