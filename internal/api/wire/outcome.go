package wire

import (
	"petreltide/internal/api/fault"
)

// Outcome is the result of a change: applied, or refused with a fault.
type Outcome struct {
	// ID is the ID of the change.
	ID string `json:"id"`
	// Index is the log index at which the change was first applied or refused.
	Index uint64 `json:"index"`
	// Revision is the one in force after a configuration or membership change: the operators' version if they number
	// their declarations, else the revision.
	Revision uint64 `json:"revision,omitempty"`
	// Fault is the reason why the change was refused as a whole; nil if it was applied.
	Fault *fault.Fault `json:"fault,omitempty"`
	// Key is the record of an idempotency key that was claimed, by this call or an earlier one.
	Key *KeyRecord `json:"key,omitempty"`
	// Repeated means that the change, or the claim of its key, had already been applied or refused.
	Repeated bool `json:"again,omitempty"`
	// IsMembership means that this is the outcome of a membership change.
	IsMembership bool `json:"member,omitempty"`
	// Digest is the digest of the request that carried the change; empty if the ID already identifies the content.
	Digest string `json:"digest,omitempty"`
	// Faults are the faults of those parts of a leader's update that were refused while the rest was applied.
	Faults []fault.Fault `json:"faults,omitempty"`
}

// ForContent returns the outcome to report for a change whose content has the given digest. An ID that is reused with other
// content denotes a different change, which is refused. If either digest is empty, the contents are taken to be equal.
func (o Outcome) ForContent(digest string) Outcome {
	if o.Digest == "" || digest == "" || o.Digest == digest {
		return o
	}
	refused := Outcome{ID: o.ID, Index: o.Index, Revision: o.Revision, Digest: digest}
	refused.Fault = fault.New(fault.ForeignChange, "change", "this change identifier was used before for another content")
	return refused
}

// RefusesOther reports whether this outcome is the refusal of other content under the same ID, so that it says nothing about
// the content with the given digest.
func (o Outcome) RefusesOther(digest string) bool {
	return o.Fault != nil && o.Fault.Code == fault.ForeignChange && o.Digest != digest
}
