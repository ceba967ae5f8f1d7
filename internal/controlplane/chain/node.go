package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// Node is one control node's part of the chain and of the agreement on its view.
type Node struct {
	opts Options

	phase            Phase
	view             View
	promisedBallot   Ballot
	acceptedProposal *AcceptedProposal
	votesRecovered   bool
	caughtUp         bool
	// shuttingDown is set once this process has been told to end.
	shuttingDown bool

	entries           []Entry
	base              Snapshot
	state             *statemachine.State
	commitIndex       uint64
	syncedIndex       uint64
	stagedIndex       uint64
	snapshotIndex     uint64
	logBytes          int64
	compactedLogBytes int64

	nowUs           int64
	startedUs       int64
	lastUs          int64
	helloSentUs     int64
	heartbeatSentUs int64
	persistSeq      uint64
	pendingWrites   map[uint64]*pendingWrite
	peers           map[string]*peer
	knownAddrs      map[string]bool
	founders        []Member
	// bootstrapPersisted says that the addresses of the founders have been handed to the disk.
	bootstrapPersisted bool
	proposal           *proposal
	maxRound           uint64
	viewStableUs       int64
	// awakeUs is for how long this process has run, but for times when it stood still: of each at most half of SuspectTimeoutUs
	// counts. Silence is measured by it, as what came meanwhile may be read only after the next tick.
	awakeUs int64
	// diskLaggedUs is when the own disk was last behind with a sync.
	diskLaggedUs  int64
	pendingAccept *Msg
	// pendingPrepare is the newest request for a vote that came before this member had compared notes.
	pendingPrepare *Msg
	// leaseGuardUs is until when leases may last that were given before this view or by an earlier process of this member.
	leaseGuardUs int64
	grantedLease leaseGrant
	// undecidedSinceUs is since when a next view that was accepted here waits for somebody to finish it.
	undecidedSinceUs int64

	succLast       uint64
	succSent       uint64
	succCopied     uint64
	succAtUs       int64
	succKnown      bool
	viewStartIndex uint64
	viewStartKnown bool
	leaseGrants    map[string]int64
	leaseUntilUs   int64
	// leaseReleasedUs is when this process last gave its lease up as the tail.
	leaseReleasedUs     int64
	headTimeUs          int64
	confirmedHeadTimeUs int64
	// headTimes are the head's time stamps that went by here of late, and confirmedUs is when the one whose echo is the
	// newest did: the tail had its lease after that.
	headTimes   []headTime
	confirmedUs int64
	// tailCommitIndex is what the tail of this view has told of its commit.
	tailCommitIndex   uint64
	viewInstalledUs   int64
	snapshotOfferedUs int64
	initialized       bool
	initialIndex      uint64
	effects           []Effect
}

// NewNode begins with what the disk holds.
func NewNode(opts Options, records []Record, nowUs int64) (*Node, error) {
	n := &Node{
		opts: opts.withDefaults(), phase: PhaseBootstrap, state: statemachine.NewState(), nowUs: nowUs, startedUs: nowUs, lastUs: nowUs,
		pendingWrites: map[uint64]*pendingWrite{}, peers: map[string]*peer{}, knownAddrs: map[string]bool{}, leaseGrants: map[string]int64{},
	}
	n.leaseGuardUs = nowUs + n.opts.LeaseDurationUs
	for _, r := range records {
		switch {
		case r.Bootstrap != nil:
			n.opts.BootstrapAddrs, n.bootstrapPersisted = r.Bootstrap.Addrs, true
		case r.View != nil && r.View.Number == 0:
			n.restoreFounders(*r.View)
		case r.View != nil:
			if r.View.Number >= n.view.Number {
				n.view, n.promisedBallot, n.acceptedProposal, n.caughtUp = *r.View, Ballot{}, nil, false
			}
		case r.PromisedBallot != nil:
			n.promisedBallot = *r.PromisedBallot
		case r.AcceptedProposal != nil:
			n.acceptedProposal = r.AcceptedProposal
			if n.promisedBallot.Less(r.AcceptedProposal.Ballot) {
				n.promisedBallot = r.AcceptedProposal.Ballot
			}
		case r.Snapshot != nil:
			if r.Snapshot.State == nil {
				return nil, fault.New(fault.DamagedData, "copy", "the copy at %d holds no state", r.Snapshot.Index)
			}
			n.base = Snapshot{Index: r.Snapshot.Index, View: r.Snapshot.View}
			n.entries = nil
			n.state, n.commitIndex, n.caughtUp = r.Snapshot.State.Snapshot(), r.Snapshot.Index, false
		case r.CaughtUpView != 0:
			n.caughtUp = r.CaughtUpView == n.view.Number
		case r.Entry != nil:
			n.replayEntry(*r.Entry)
		}
	}
	if n.view.Number > 0 {
		n.phase = PhaseRestarted
	} else if n.bootstrapPersisted {
		n.opts.FirstStart = true
	}
	n.votesRecovered = n.view.Number == 0 && len(n.view.Voters) > 0
	n.caughtUp = n.caughtUp || (n.view.Number == 0 && n.lastIndex() == 0)
	n.syncedIndex, n.stagedIndex = n.lastIndex(), n.lastIndex()
	n.maxRound = n.promisedBallot.Round
	n.persistSeq = OpeningPersistSeq
	if n.opts.Unsynced {
		n.pendingWrites[OpeningPersistSeq] = &pendingWrite{startedUs: nowUs, entryIndex: n.lastIndex(), refused: true}
		n.syncedIndex = 0
	}
	return n, nil
}

// Step takes one event and returns what is to be done about it, in order.
func (n *Node) Step(nowUs int64, ev Event) []Effect {
	n.effects = nil
	gapUs := nowUs - n.nowUs
	n.nowUs = nowUs
	n.awakeUs += min(gapUs, n.opts.SuspectTimeoutUs/2)
	if gapUs > n.opts.SuspectTimeoutUs {
		n.forgetLeases()
	}
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case MessageReceived:
		n.handleMessage(*ev.Msg)
	case Persisted:
		n.handlePersisted(ev.Seq, ev.LogBytes)
	case PersistRefused:
		n.handlePersistRefused(ev.Seq)
	case ChangeSubmitted:
		n.handleSubmit(*ev.Change)
	case AddrsLearned:
		for _, addr := range ev.Addrs {
			n.knownAddrs[addr] = true
		}
	case ShutdownRequested:
		n.becomeShuttingDown()
	}
	n.persistEntries()
	n.initialized = n.Initialized()
	return n.effects
}

// forgetLeases is for a process that has stood still: it cannot tell how long its leases last.
func (n *Node) forgetLeases() {
	n.leaseUntilUs, n.confirmedHeadTimeUs, n.confirmedUs, n.headTimes = 0, 0, 0, nil
	n.leaseGrants = map[string]int64{}
	for _, p := range n.peers {
		p.lastHelloUs = max(p.lastHelloUs, n.nowUs-n.opts.SuspectTimeoutUs/2)
	}
}

func (n *Node) send(to Member, m Msg) {
	m.From, m.Incarnation, m.ToID = n.opts.Self, n.opts.Incarnation, to.ID
	if to.ID == n.opts.Self.ID {
		n.handleMessage(m)
		return
	}
	n.effects = append(n.effects, Send{Addr: n.addressOf(to), Msg: m})
}

// addressOf is where a member was heard from last in this incarnation, or else the address that is known of it: a view
// names the address that a member had when it got its seat.
func (n *Node) addressOf(m Member) string {
	if p := n.peers[m.ID]; p != nil && m.ID != "" && p.hello.Member.Addr != "" {
		return p.hello.Member.Addr
	}
	return m.Addr
}

func (n *Node) handleMessage(m Msg) {
	if bad := n.checkMessage(m); bad != nil {
		n.effects = append(n.effects, MessageRejected{Fault: bad})
		return
	}
	switch {
	case m.Hello != nil:
		n.handleHello(m, *m.Hello)
	case m.Prepare != nil:
		n.handlePrepare(m, *m.Prepare)
	case m.Promise != nil:
		n.handlePromise(m, *m.Promise)
	case m.Accept != nil:
		n.handleAccept(m, *m.Accept)
	case m.Accepted != nil:
		n.handleAccepted(m, *m.Accepted)
	case m.Forward != nil:
		n.handleForward(m, *m.Forward)
	case m.Ack != nil:
		n.handleAck(m, *m.Ack)
	case m.Lease != nil:
		n.handleLease(m, *m.Lease)
	case m.InstallSnapshot != nil:
		n.handleInstallSnapshot(m, *m.InstallSnapshot)
	case m.Submit != nil:
		if n.IsHead() {
			n.handleSubmit(*m.Submit)
		}
	}
}
