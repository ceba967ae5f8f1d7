package chain

// peer is the state kept about another control node: its last hello, when that was received, and when the peer last reported
// to hear this node.
type peer struct {
	hello       Hello
	lastHelloUs int64
	// lastHelloAwakeUs is this node's awakeUs when the last hello was received.
	lastHelloAwakeUs int64
	// stalledSinceUs is when its hellos began to report a stalled disk; 0 while they report none.
	stalledSinceUs int64
	lastMutualUs   int64
	// lastMutualAwakeUs is this node's awakeUs when the peer last reported to hear this node.
	lastMutualAwakeUs int64
	// refusedUs is when the address of the peer last refused a connection; 0 if it never did.
	refusedUs int64
}

// hasEnded reports whether the peer's address has refused a connection since its last hello.
func (p *peer) hasEnded() bool { return p.refusedUs > p.lastHelloUs }

// handleConnectionRefused records that the process at an address has ended. It is removed from the view without the suspect
// timeout that a silent member gets. A lease that it holds still has to expire, as a refusing port proves nothing about the
// process that held the lease.
func (n *Node) handleConnectionRefused(addr string) {
	for _, p := range n.peers {
		if p.hello.Member.Addr == addr {
			p.refusedUs = n.nowUs
		}
	}
}
