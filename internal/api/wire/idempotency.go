package wire

// KeyRecord records which call first used a caller's idempotency key, and how that call ended.
type KeyRecord struct {
	// Gateway and GatewayIncarnation identify the process that claimed the key.
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	// Call is the ID that the gateway gave to the call that claimed the key.
	Call string `json:"call"`
	// Ended is how far the call had run when it ended, as reported by the gateway; empty while it may still be running.
	Ended string `json:"ended,omitempty"`
	// Index is the log index of the claim. Keys are evicted in ascending order of it.
	Index uint64 `json:"index"`
}

// KeyChange claims an idempotency key for a call, ends the call that has it, or releases it. Ending and releasing
// count only for the call that claimed the key and has not ended.
type KeyChange struct {
	Key                string `json:"key"`
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Call               string `json:"call"`
	// End is how far the call had run; empty in a claim. It is ignored if Release is set.
	End string `json:"end,omitempty"`
	// Release frees the key, because the call did not run at all.
	Release bool `json:"free,omitempty"`
}
