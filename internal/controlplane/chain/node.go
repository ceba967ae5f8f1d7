package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// proposalDelayUs is how long each healthy member before this one in the chain delays its proposal of a view, so that one
// proposes and the others find it done.
const proposalDelayUs = 250 * clock.Ms

// Node is one control node's part of the chain and of the agreement on its view. It is not safe for concurrent use.
type Node struct {
	opts    Options
	phase   Phase
	effects []Effect

	// Time. All of it is that of the events, in microseconds.

	// nowUs is the time of the event in hand, startedUs that of NewNode.
	nowUs, startedUs int64
	// awakeUs is for how long this process has run, but for times when it stood still: of each at most half of SuspectTimeoutUs
	// counts. Silence is measured by it, as what came meanwhile may be read only after the next tick.
	awakeUs int64

	// The view and the agreement on the next one, by single-decree Paxos among the voters.

	view View
	// promisedBallot and acceptedProposal are the acceptor's state; both are on disk before they are told of.
	promisedBallot   Ballot
	acceptedProposal *AcceptedProposal
	// votesRecovered: since its restart this voter has compared ballots and log with a majority, and may vote.
	votesRecovered bool
	// proposal is the proposer's state while this node proposes a view; maxRound is the highest round that was seen.
	proposal *proposal
	maxRound uint64
	// pendingPrepare is the newest Prepare that came before votesRecovered; pendingAccept is an Accept that waits for a
	// lease to end.
	pendingPrepare, pendingAccept *Msg
	// undecidedSinceUs is since when a next view that was accepted here waits for somebody to finish it.
	undecidedSinceUs int64
	// viewInstalledUs is when the view was installed here, viewStableUs when it was last found to need no change.
	viewInstalledUs, viewStableUs int64

	// The log and the state that its committed entries make.

	// base is the index and view that the log goes on from; entries follow it.
	base    Snapshot
	entries []Entry
	state   *statemachine.State
	// commitIndex, syncedIndex and stagedIndex are the last entries that are committed, synced here, and given to the disk.
	commitIndex, syncedIndex, stagedIndex uint64
	// snapshotIndex is that of a snapshot which this joiner has installed; 0 without one.
	snapshotIndex uint64
	// logBytes is the size of the log on disk, compactedLogBytes that after the last snapshot.
	logBytes, compactedLogBytes int64
	// caughtUp: the log holds all that the predecessor's held as the view began, and so all that was ever acknowledged.
	caughtUp bool
	// viewStartIndex is the last entry of the predecessor's log as the view began; it is known once the predecessor has told.
	viewStartIndex uint64
	viewStartKnown bool
	// successorProgress is how far the successor's log is.
	successorProgress progress
	// tailCommitIndex is what the tail of this view has told of its commit.
	tailCommitIndex uint64
	// initialIndex is the last entry of the log as the view was installed; initialized is Initialized, once it was true.
	initialIndex uint64
	initialized  bool

	// The disk.

	// persistSeq numbers the saves, pendingWrites are those that the disk has not reported.
	persistSeq    uint64
	pendingWrites map[uint64]*pendingWrite
	// diskLaggedUs is when the own disk was last behind with a sync.
	diskLaggedUs int64

	// Leases and the head's confirmation.

	// leaseGrants are until when each voter's lease to this tail holds; leaseUntilUs is until when a majority's do.
	leaseGrants  map[string]int64
	leaseUntilUs int64
	// grantedLease is the newest lease that this voter gave.
	grantedLease leaseGrant
	// leaseGuardUs is until when leases may last that were given before this view or by an earlier process of this member.
	leaseGuardUs int64
	// leaseReleasedUs is when this process last gave its lease up as the tail.
	leaseReleasedUs int64
	// headTimeUs is the newest time stamp of the head that came down the chain, confirmedHeadTimeUs the newest that came
	// back from the tail.
	headTimeUs, confirmedHeadTimeUs int64
	// headTimes are the head's time stamps that went by here of late, and confirmedUs is when the one whose echo is the
	// newest did: the tail had its lease after that.
	headTimes   []headTime
	confirmedUs int64

	// Other control nodes.

	peers      map[string]*peer
	knownAddrs map[string]bool
	// startNumber orders this process among those of its member. knownStarts are the newest processes of the others;
	// startsChangedUs is when one of them last changed.
	startNumber     uint64
	knownStarts     map[string]knownStart
	startsChangedUs int64
	// diskIncarnations are the processes that have run on this disk since its newest view; incarnationSeq is the save that
	// adds this one, incarnationSynced says that it is on the disk.
	diskIncarnations  []string
	incarnationSeq    uint64
	incarnationSynced bool
	// founders are the members that this node founds a chain with; bootstrapPersisted says that their addresses have been
	// given to the disk.
	founders           []Member
	bootstrapPersisted bool
	// helloSentUs, heartbeatSentUs and snapshotOfferedUs are when each was last sent.
	helloSentUs, heartbeatSentUs, snapshotOfferedUs int64
	// shuttingDown is set once this process has been told to end.
	shuttingDown bool
}

// progress is how far this member knows its successor's log to be.
type progress struct {
	// known is false until the successor has acknowledged something in this view.
	known bool
	// acked is the last entry that the successor has synced, sent the last one that was sent to it.
	acked, sent uint64
	// snapshotIndex is that of a snapshot which was sent in place of entries; 0 without one.
	snapshotIndex uint64
	// advancedUs is when acked last rose, or something was sent with nothing outstanding.
	advancedUs int64
}

// NewNode begins with what the disk holds.
func NewNode(opts Options, records []Record, nowUs int64) (*Node, error) {
	n := &Node{
		opts: opts.withDefaults(), phase: PhaseBootstrap, state: statemachine.NewState(), nowUs: nowUs, startedUs: nowUs,
		startNumber: 1, knownStarts: map[string]knownStart{}, startsChangedUs: nowUs,
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
				n.view, n.promisedBallot, n.acceptedProposal, n.caughtUp, n.diskIncarnations = *r.View, Ballot{}, nil, false, nil
			}
		case r.Incarnation != "":
			n.diskIncarnations = append(n.diskIncarnations, r.Incarnation)
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
	if n.opts.UnsyncedLog {
		n.pendingWrites[OpeningPersistSeq] = &pendingWrite{startedUs: nowUs, entryIndex: n.lastIndex(), refused: true}
		n.syncedIndex = 0
	}
	return n, nil
}

// Step takes one event and returns what is to be done about it, in order.
func (n *Node) Step(nowUs int64, ev Event) []Effect {
	n.effects = nil
	if n.phase == PhaseFenced {
		n.stepFenced(nowUs, ev)
		return nil
	}
	gapUs := nowUs - n.nowUs
	n.nowUs = nowUs
	n.awakeUs += min(gapUs, n.opts.SuspectTimeoutUs/2)
	if gapUs > n.opts.SuspectTimeoutUs {
		n.forgetLeases()
	}
	n.persistIncarnation()
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
	case ConnectionRefused:
		n.handleConnectionRefused(ev.Addr)
	case ShutdownRequested:
		n.becomeShuttingDown()
	}
	n.persistEntries()
	n.initialized = n.IsInitialized()
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
	if to.ID == n.opts.Self.ID {
		m.From, m.Incarnation, m.ToID = n.opts.Self, n.opts.Incarnation, to.ID
		n.handleMessage(m)
		return
	}
	n.emitSend(n.addressOf(to), to.ID, m)
}

// emitSend sends a message of this process to an address.
func (n *Node) emitSend(addr, toID string, m Msg) {
	m.From, m.Incarnation, m.ToID = n.opts.Self, n.opts.Incarnation, toID
	n.effects = append(n.effects, Send{Addr: addr, Msg: m})
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
	if n.isFromFencedProcess(m) {
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
