package wire

// KeyRecord is who first used a caller's idempotency key, and how that call ended.
type KeyRecord struct {
	// Gateway and GatewayIncarnation are the process that claimed the key.
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	// Call is the gateway's ID of the call that claimed it.
	Call string `json:"call"`
	// Ended is how far the call had run when it ended, as the gateway put it; empty while it may still run.
	Ended string `json:"ended,omitempty"`
	// Index is the log index of the claim. Keys are forgotten from the lowest on.
	Index uint64 `json:"index"`
}

// KeyChange claims an idempotency key for a call, ends the call that has it, or releases it. Ending and releasing
// count only for the call that claimed the key and has not ended.
type KeyChange struct {
	Key                string `json:"key"`
	Gateway            string `json:"desk"`
	GatewayIncarnation string `json:"deskInc"`
	Call               string `json:"call"`
	// End is how far the call had run; empty in a claim. It has no effect beside Release.
	End string `json:"end,omitempty"`
	// Release frees the key, as the call did not run at all.
	Release bool `json:"free,omitempty"`
}
