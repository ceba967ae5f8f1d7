package controlnode

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/failuredetector"
)

// Event is one thing that happens to a control node. The types of this file are all there are.
type Event interface{ isEvent() }

// Tick is the passing of time; everything that is due by time is done on it.
type Tick struct{}

// PeerMessage is a message from another control node.
type PeerMessage struct{ Message *peering.Message }

// Persisted says that the save with this number, and all before it, are on the disk. LogBytes is the size of the log
// there.
type Persisted struct {
	Seq      uint64
	LogBytes int64
}

// PersistFailed says that the disk refused the save with this number; the host tries it again by itself.
type PersistFailed struct{ Seq uint64 }

// SubmitChange asks for a change of the replicated state.
type SubmitChange struct{ Change *statemachine.Change }

// LearnPeers names addresses of other control nodes.
type LearnPeers struct{ Addrs []string }

// PeerConnectionRefused says that nobody listens at another control node's address.
type PeerConnectionRefused struct{ Addr string }

// LeaveChain begins the graceful shutdown: the others take over this control node's place.
type LeaveChain struct{}

// ControllerInput is an event of the controller: the answer to one of its effects.
type ControllerInput struct{ Event controller.Event }

// PeerHeartbeat is a heartbeat of a process that the failure detector watches.
type PeerHeartbeat struct{ Heartbeat *failuredetector.Heartbeat }

// SubscribeUpdates subscribes a gateway of the declared world to updates of the configuration.
type SubscribeUpdates struct{ Request *wire.SubscribeRequest }

// GatewayReport is a gateway's report in the declared world, and the number under which its lease is awaited.
type GatewayReport struct {
	Report  wire.Report
	ReplyID uint64
}

// ReplicaHeartbeat is what a replica says of itself. Reply is the number of the caller that waits for the
// acknowledgement; 0 where nobody waits.
type ReplicaHeartbeat struct {
	Status  *registry.ReplicaStatus
	ReplyID uint64
}

// ReplicaDeregistration says that a replica's incarnation has ended. Reply is as in ReplicaHeartbeat.
type ReplicaDeregistration struct {
	ID      string
	ReplyID uint64
}

// SubscribeFrames subscribes a gateway of the routed world to its stream of frames.
type SubscribeFrames struct{ Request *wire.SubscribeRequest }

// UnsubscribeFrames ends a gateway's stream of frames.
type UnsubscribeFrames struct {
	Gateway     string
	Incarnation string
}

// RoutedGatewayReport is a gateway's report in the routed world; nobody waits for an answer.
type RoutedGatewayReport struct{ Report *wire.Report }

// QuotaRequested is a gateway's wish to run requests of tenants with a limit, and the number under which the answer is awaited.
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
