package membership

// RingNode is one gateway on the ring on which gateways watch each other.
type RingNode struct {
	// ID tells processes apart that followed each other at one address.
	ID   string `json:"id"`
	Addr string `json:"addr"`
}

// Heartbeat is what a gateway sends to its watchers on the ring.
type Heartbeat struct {
	ID string `json:"id"`
	// Final says that no more will come, since the sender shuts down in order.
	Final bool `json:"last,omitempty"`
}
