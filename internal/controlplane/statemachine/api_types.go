package statemachine

import "petreltide/internal/api/wire"

// The types that gateways and replicas receive are declared in package wire, so that gateways and replicas don't import
// this package. They are aliased here because log entries and snapshots encode them in the same form.
type (
	// Grant lets a gateway number its attempts at a replica.
	Grant = wire.Grant
	// GrantKey identifies the one grant that a gateway has for a model at a replica.
	GrantKey = wire.GrantKey
	// KeyRecord is the gateway and call that first claimed an idempotency key, and how that call ended.
	KeyRecord = wire.KeyRecord
	// KeyChange claims, ends or releases an idempotency key.
	KeyChange = wire.KeyChange
	// Outcome is the result of applying a change.
	Outcome = wire.Outcome
	// Action is what a command tells a replica to do.
	Action = wire.Action
	// ReplicaCommand tells one incarnation of a replica to load or unload one unit.
	ReplicaCommand = wire.ReplicaCommand
	// ResidentUnit is a model or an adapter that is loaded at a replica.
	ResidentUnit = wire.ResidentUnit
)

// The actions of a command.
const (
	Load   = wire.Load
	Unload = wire.Unload
)
