package membership

// RingNode is a gateway on the ring on which gateways monitor each other.
type RingNode struct {
	// ID distinguishes successive processes at the same address.
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Heartbeat is the message that a gateway sends to its monitors on the ring.
type Heartbeat struct {
	ID string `json:"id"`
	// Final means that this is the last heartbeat, as the sender shuts down in an orderly way.
	Final bool `json:"last,omitempty"`
}
