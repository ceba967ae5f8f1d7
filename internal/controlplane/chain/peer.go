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
	// firstHelloUs is when the first hello of this member was received, whichever of its processes sent it.
	firstHelloUs int64
	// voter is the state of the peer as a voter in the hello with the highest SentUs.
	voter voterState
	// echoUs is the newest time at which this process sent a hello that the peer has processed; 0 if the peer has not said so.
	echoUs int64
	// firstStalledHelloUs and lastStalledHelloUs are when this process first and last said, in a hello that may be later than echoUs, that its
	// disk is stalled; 0 if it has not.
	firstStalledHelloUs, lastStalledHelloUs int64
	// refusedUs is when the address of the peer last refused a connection; 0 if it never did.
	refusedUs int64
}

// voterState is what a voter has promised and accepted in a view, and whether its disk is stalled, as it said in a hello.
type voterState struct {
	sentUs     int64
	viewNumber uint64
	promised   Ballot
	accepted   *AcceptedProposal
	stalled    bool
}

// recordHello replaces the last hello of the peer. Hellos of one process may arrive in any order.
func (p *peer) recordHello(h Hello) {
	p.hello = h
	if h.SentUs >= p.voter.sentUs {
		p.voter = voterState{sentUs: h.SentUs, viewNumber: h.View.Number, promised: h.PromisedBallot, accepted: h.AcceptedProposal, stalled: h.Stalled}
	}
}

// recordEcho records that the peer has processed the hello that this process sent at a time.
func (p *peer) recordEcho(sentUs int64) {
	p.echoUs = max(p.echoUs, sentUs)
	if p.lastStalledHelloUs < p.echoUs {
		p.firstStalledHelloUs, p.lastStalledHelloUs = 0, 0
	}
}

// saidStalledBefore reports whether this process may have told the peer, after the peer's last echo and before goneUs, that its disk is
// stalled. The peer then does not count it as a voter that can vote.
func (p *peer) saidStalledBefore(goneUs int64) bool {
	return p.firstStalledHelloUs != 0 && p.firstStalledHelloUs < goneUs
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
