package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// proposalDelayUs is the delay of a member's proposal of a view for each healthy member before it in the chain, so that one
// member proposes the view and the others find it decided.
const proposalDelayUs = 250 * clock.Ms

// Node is the state of one control node in the chain and in the agreement on the view. It is not safe for concurrent use.
type Node struct {
	opts    Options
	phase   Phase
	effects []Effect

	// Time, in microseconds. It advances with the times of the events only.

	// nowUs is the time of the current event; startedUs is the time at which NewNode was called.
	nowUs, startedUs int64
	// awakeUs is how long this process has run. Of a gap between two events, such as a pause of the process, at most half of
	// SuspectTimeoutUs counts. The silence of other members is measured by it, as messages that arrived during a pause may be
	// processed only after the next tick.
	awakeUs int64

	// The view and the agreement on the next one, by single-decree Paxos among the voters.

	view View
	// promisedBallot and acceptedProposal are the acceptor's state; both are persisted before they are reported to a proposer.
	promisedBallot   Ballot
	acceptedProposal *AcceptedProposal
	// votesRecovered means that this voter has compared ballots and logs with a majority since its restart, and may vote.
	votesRecovered bool
	// proposal is the proposer's state while this node proposes a view; maxRound is the highest round seen.
	proposal *proposal
	maxRound uint64
	// pendingPrepare is the newest Prepare received before votesRecovered; pendingAccept is an Accept that waits for a lease to
	// expire.
	pendingPrepare, pendingAccept *Msg
	// undecidedSinceUs is since when a next view that was accepted here has had no proposer that completes it.
	undecidedSinceUs int64
	// viewInstalledUs is when the view was installed here, viewStableUs when it last needed no change.
	viewInstalledUs, viewStableUs int64

	// The log and the state machine.

	// base is the index and view that precede entries; its State is nil.
	base    Snapshot
	entries []Entry
	state   *statemachine.State
	// commitIndex, syncedIndex and stagedIndex are the indexes of the last entries that are committed, synced here, and handed to
	// the disk.
	commitIndex, syncedIndex, stagedIndex uint64
	// snapshotIndex is the index of the snapshot that this joining node has installed; 0 without one.
	snapshotIndex uint64
	// logBytes is the size of the log on disk, compactedLogBytes its size after the last compaction.
	logBytes, compactedLogBytes int64
	// caughtUp means that the log holds every entry of the predecessor's log as of the start of the view, and so every entry that
	// was ever acknowledged.
	caughtUp bool
	// viewStartIndex is the last index of the predecessor's log as of the start of the view; viewStartKnown is set once the
	// predecessor has reported it.
	viewStartIndex uint64
	viewStartKnown bool
	// successorProgress is the replication progress of the successor.
	successorProgress progress
	// tailCommitIndex is the highest commit index that the tail of this view has reported.
	tailCommitIndex uint64
	// initialIndex is the last index of the log when the view was installed; initialized is Initialized, once it was true.
	initialIndex uint64
	initialized  bool

	// The disk.

	// persistSeq is the Seq of the last Persist; pendingWrites are those that are not yet reported as synced, by Seq.
	persistSeq    uint64
	pendingWrites map[uint64]*pendingWrite
	// diskLaggedUs is when isDiskLagging was last observed to hold.
	diskLaggedUs int64

	// Leases and the confirmation of the head's time stamps.

	// leaseGrants are the request times of the newest lease that each voter has granted to this tail, by voter ID; leaseUntilUs
	// is when the lease of a majority expires.
	leaseGrants  map[string]int64
	leaseUntilUs int64
	// grantedLease is the newest lease that this voter granted.
	grantedLease leaseGrant
	// leaseGuardUs is until when leases may be valid that were granted before this view or by an earlier process of this member.
	leaseGuardUs int64
	// leaseReleasedUs is when this process, as the tail, last released its lease.
	leaseReleasedUs int64
	// headTimeUs is the newest time stamp of the head received from the predecessor, confirmedHeadTimeUs the newest one that the
	// tail has confirmed.
	headTimeUs, confirmedHeadTimeUs int64
	// headTimes are the head's time stamps that were recently forwarded here. confirmedUs is when the newest confirmed one was
	// forwarded: the tail held its lease after that.
	headTimes   []headTime
	confirmedUs int64

	// Other control nodes.

	peers      map[string]*peer
	knownAddrs map[string]bool
	// startNumber is the number of this process among those of its member. knownStarts are the newest processes of the other
	// members; startsChangedUs is when one of them last changed.
	startNumber     uint64
	knownStarts     map[string]knownStart
	startsChangedUs int64
	// diskIncarnations are the processes that have run on this disk since its newest view; incarnationSeq is the Persist that
	// adds this process, and incarnationSynced says that it is synced.
	diskIncarnations  []string
	incarnationSeq    uint64
	incarnationSynced bool
	// founders are the members that this node founds a chain with; bootstrapPersisted says that their addresses were handed to
	// the disk.
	founders           []Member
	bootstrapPersisted bool
	// helloSentUs, heartbeatSentUs and snapshotOfferedUs are when a hello, a heartbeat and a snapshot were last sent.
	helloSentUs, heartbeatSentUs, snapshotOfferedUs int64
	// shuttingDown is set once this process was asked to shut down.
	shuttingDown bool
}

// progress is the replication progress of the successor as known to this member.
type progress struct {
	// known is false until the successor has sent an Ack in this view.
	known bool
	// acked is the index of the last entry that the successor has synced, sent that of the last one sent to it.
	acked, sent uint64
	// snapshotIndex is the index of the snapshot that was sent in place of entries; 0 without one.
	snapshotIndex uint64
	// advancedUs is when acked last increased, or entries were sent with none outstanding.
	advancedUs int64
}

// NewNode returns a Node with the state of the records that the disk holds. It fails if a snapshot has no state.
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
				return nil, fault.New(fault.DamagedData, "copy", "the snapshot at index %d has no state", r.Snapshot.Index)
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

// Step processes one event and returns the effects to carry out, in order.
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

// forgetLeases drops the leases and confirmations of a process that was paused, as it cannot tell how long they are valid.
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

// emitSend emits a Send of a message of this process to an address.
func (n *Node) emitSend(addr, toID string, m Msg) {
	m.From, m.Incarnation, m.ToID = n.opts.Self, n.opts.Incarnation, toID
	n.effects = append(n.effects, Send{Addr: addr, Msg: m})
}

// addressOf returns the address in the last hello of a member in this incarnation, or else m.Addr. The addresses in a view are
// those that the members had when they joined it.
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
