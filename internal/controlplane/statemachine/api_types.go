package statemachine

import "petreltide/internal/api/wire"

// What gateways and replicas are sent of the state stands in package wire, so that they need nothing of this package. The
// state's own names for it are aliases, as entries and snapshots hold these types in the same form.
type (
	// Grant lets a gateway number its attempts at a replica.
	Grant = wire.Grant
	// GrantKey identifies the one grant that a gateway has for a model at a replica.
	GrantKey = wire.GrantKey
	// KeyRecord is who first used a caller's idempotency key, and how that call ended.
	KeyRecord = wire.KeyRecord
	// KeyChange claims, ends or releases an idempotency key.
	KeyChange = wire.KeyChange
	// Outcome is what became of a change.
	Outcome = wire.Outcome
	// Action is what a command tells a replica to do.
	Action = wire.Action
	// ReplicaCommand tells one incarnation of a replica to load or unload one unit.
	ReplicaCommand = wire.ReplicaCommand
	// ResidentUnit is a model or an adapter at a replica.
	ResidentUnit = wire.ResidentUnit
)

// The actions of a command.
const (
	Load   = wire.Load
	Unload = wire.Unload
)
