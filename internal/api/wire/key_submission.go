package wire

// KeySubmission is what a gateway submits to a control node to claim, end or release an idempotency key. Its JSON is that of
// a change of the state machine which holds nothing else, and the control node reads it as one.
type KeySubmission struct {
	// ID names the change; one that is submitted again has the same ID.
	ID string `json:"id"`
	// Key is what is claimed, ended or released.
	Key *KeyChange `json:"key,omitempty"`
}
