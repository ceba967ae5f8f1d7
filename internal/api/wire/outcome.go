package wire

import (
	"petreltide/internal/api/fault"
)

// Outcome is what became of a change.
type Outcome struct {
	// ID is the change's.
	ID string `json:"id"`
	// Index is the log index at which the change was first applied or refused.
	Index uint64 `json:"index"`
	// Revision is what was in force after a configuration or membership change: the operators' version where they number
	// theirs, else the revision.
	Revision uint64 `json:"revision,omitempty"`
	// Fault says why the change was refused as a whole; nil where it was applied.
	Fault *fault.Fault `json:"fault,omitempty"`
	// Key is the record of an idempotency key that was claimed, by this call or an earlier one.
	Key *KeyRecord `json:"key,omitempty"`
	// Repeated says that the change, or the key it claims, had been applied or refused before.
	Repeated bool `json:"again,omitempty"`
	// IsMembership says that this is the outcome of a membership change.
	IsMembership bool `json:"member,omitempty"`
	// Faults are the parts of a leader's update that were refused, while the rest of it was applied.
	Faults []fault.Fault `json:"faults,omitempty"`
}
