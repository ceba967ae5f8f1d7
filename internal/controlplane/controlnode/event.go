package controlnode

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
)

// Event is an input of Core.Step. Its implementations are the types of this file.
type Event interface{ isEvent() }

// Tick lets time pass; every timer of a Core is checked in it.
type Tick struct{}

// PeerMessage is a message from another control node.
type PeerMessage struct{ Message *peering.Message }

// Persisted reports that the Persist with this sequence number and all before it are synced to the disk. LogBytes is the size
// of the log on the disk, in bytes.
type Persisted struct {
	Seq      uint64
	LogBytes int64
}

// PersistFailed reports that writing or syncing the Persist with this sequence number failed. The host retries it on its own.
type PersistFailed struct{ Seq uint64 }

// SubmitChange submits a change to the replicated state.
type SubmitChange struct{ Change *statemachine.Change }

// LearnPeers supplies addresses of other control nodes.
type LearnPeers struct{ Addrs []string }

// PeerConnectionRefused reports that no process listens at the address of another control node.
type PeerConnectionRefused struct{ Addr string }

// LeaveChain starts the graceful shutdown, in which the other control nodes take over this one's position in the chain.
type LeaveChain struct{}

// ControllerInput carries an event for the controller, the result of one of its effects.
type ControllerInput struct{ Event controller.Event }

// PeerHeartbeat is a heartbeat of a process that the failure detector monitors.
type PeerHeartbeat struct{ Heartbeat *failuredetector.Heartbeat }

// SubscribeUpdates subscribes a gateway in declared mode to configuration updates. Package controller describes the modes.
type SubscribeUpdates struct{ Request *wire.SubscribeRequest }

// GatewayReport is a gateway's report in declared mode. The gateway waits for a ReplyLease with the same ReplyID.
type GatewayReport struct {
	Report  wire.Report
	ReplyID uint64
}

// ReplicaHeartbeat is a replica's heartbeat with its status. The sender waits for an AcknowledgeReplica with the same ReplyID;
// 0 means that nobody waits.
type ReplicaHeartbeat struct {
	Status  *registry.ReplicaStatus
	ReplyID uint64
}

// ReplicaDeregistration reports that a replica's incarnation has ended. ReplyID is as in ReplicaHeartbeat.
type ReplicaDeregistration struct {
	ID      string
	ReplyID uint64
}

// SubscribeFrames subscribes a gateway in routed mode to its stream of frames.
type SubscribeFrames struct{ Request *wire.SubscribeRequest }

// UnsubscribeFrames ends the stream of frames of a gateway's incarnation.
type UnsubscribeFrames struct {
	Gateway     string
	Incarnation string
}

// RoutedGatewayReport is a gateway's report in routed mode; it has no reply.
type RoutedGatewayReport struct{ Report *wire.Report }

// QuotaRequested is a gateway's request for permission to run requests of rate-limited tenants. The gateway waits for a
// ReplyQuota with the same ReplyID.
type QuotaRequested struct {
	Request *wire.QuotaRequest
	ReplyID uint64
}

func (Tick) isEvent()                  {}
func (PeerMessage) isEvent()           {}
func (Persisted) isEvent()             {}
func (PersistFailed) isEvent()         {}
func (SubmitChange) isEvent()          {}
func (LearnPeers) isEvent()            {}
func (PeerConnectionRefused) isEvent() {}
func (LeaveChain) isEvent()            {}
func (ControllerInput) isEvent()       {}
func (PeerHeartbeat) isEvent()         {}
func (SubscribeUpdates) isEvent()      {}
func (GatewayReport) isEvent()         {}
func (ReplicaHeartbeat) isEvent()      {}
func (ReplicaDeregistration) isEvent() {}
func (SubscribeFrames) isEvent()       {}
func (UnsubscribeFrames) isEvent()     {}
func (RoutedGatewayReport) isEvent()   {}
func (QuotaRequested) isEvent()        {}
