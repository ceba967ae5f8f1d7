package wire

// KeySubmission is the message with which a gateway asks a control node to claim, end or release an idempotency key. Its
// JSON is that of a state machine change with no other content, and the control node decodes it as such a change.
type KeySubmission struct {
	// ID identifies the change; a resubmitted change has the same ID.
	ID string `json:"id"`
	// Key is the claim, end or release.
	Key *KeyChange `json:"key,omitempty"`
}
