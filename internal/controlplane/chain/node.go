package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// peer is what is known of another control node: its last hello, when it came, since when it is heard, and when it last heard
// this one.
type peer struct {
	hello   Hello
	heardUs int64
	// heardAwakeUs is the node's awakeUs when it was heard last.
	heardAwakeUs int64
	sinceUs      int64
	// stalledUs is since when its disk stalls, by its hellos.
	stalledUs int64
	deafUs    int64
	// deafAwakeUs is the node's awakeUs when it last heard this one.
	deafAwakeUs int64
}

// proposal is an attempt of this member to have the next view decided.
type proposal struct {
	number   uint64
	ballot   Ballot
	want     View
	chosen   View
	promises map[string]*Accepted
	accepts  map[string]bool
	asking   bool
	startUs  int64
	// judged: it is for what was wrong with members, and is dropped where that is over before anybody accepts it.
	judged bool
}

// Node is one control node's part of the chain and of the agreement on its view.
type Node struct {
	opts Options

	phase    Phase
	view     View
	promised Ballot
	accepted *Accepted
	compared bool
	caughtUp bool
	// leaving is set once this process has been told to end.
	leaving bool

	entries  []Entry
	base     Copy
	state    *statemachine.State
	commit   uint64
	synced   uint64
	queued   uint64
	copyHeld uint64
	logBytes int64
	leastLog int64

	nowUs      int64
	bootUs     int64
	lastUs     int64
	helloUs    int64
	beatSentUs int64
	saveSeq    uint64
	saving     map[uint64]*saving
	peers      map[string]*peer
	learned    map[string]bool
	founders   []Member
	// foundersKept says that the addresses of the founders have been handed to the disk.
	foundersKept bool
	proposal     *proposal
	round        uint64
	quietUs      int64
	// awakeUs is for how long this process has run, but for times when it stood still: of each at most half of SuspectUs
	// counts. Silence is measured by it, as what came meanwhile may be read only after the next tick.
	awakeUs int64
	// behindUs is when the own disk was last behind with a sync.
	behindUs int64
	held     *Msg
	// asked is the newest request for a vote that came before this member had compared notes.
	asked *Msg
	// guardUs is until when leases may last that were given before this view or by an earlier process of this member.
	guardUs int64
	granted grant
	// openSinceUs is since when a next view that was accepted here waits for somebody to finish it.
	openSinceUs int64

	succLast   uint64
	succSent   uint64
	succCopied uint64
	succAtUs   int64
	succKnown  bool
	openAt     uint64
	openKnown  bool
	leases     map[string]int64
	leaseUs    int64
	// releasedUs is when this process last gave its lease up as the tail.
	releasedUs int64
	echoUs     int64
	tailEchoUs int64
	// passed are the head's time stamps that went by here of late, and echoedUs is when the one whose echo is the
	// newest did: the tail had its lease after that.
	passed   []passedStamp
	echoedUs int64
	// tailCommit is what the tail of this view has told of its commit.
	tailCommit  uint64
	viewedUs    int64
	joinAtUs    int64
	settledOnce bool
	settleAt    uint64
	effects     []Effect
}

// NewNode begins with what the disk holds.
func NewNode(opts Options, records []Record, nowUs int64) (*Node, error) {
	n := &Node{
		opts: opts.filled(), phase: Fresh, state: statemachine.NewState(), nowUs: nowUs, bootUs: nowUs, lastUs: nowUs,
		saving: map[uint64]*saving{}, peers: map[string]*peer{}, learned: map[string]bool{}, leases: map[string]int64{},
	}
	n.guardUs = nowUs + n.opts.LeaseUs
	for _, r := range records {
		switch {
		case r.Founding != nil:
			n.opts.Founders, n.foundersKept = r.Founding.Addrs, true
		case r.View != nil && r.View.Number == 0:
			n.keepFounders(*r.View)
		case r.View != nil:
			if r.View.Number >= n.view.Number {
				n.view, n.promised, n.accepted, n.caughtUp = *r.View, Ballot{}, nil, false
			}
		case r.Promised != nil:
			n.promised = *r.Promised
		case r.Accepted != nil:
			n.accepted = r.Accepted
			if n.promised.Less(r.Accepted.Ballot) {
				n.promised = r.Accepted.Ballot
			}
		case r.Copy != nil:
			if r.Copy.State == nil {
				return nil, fault.New(fault.DamagedData, "copy", "the copy at %d holds no state", r.Copy.Index)
			}
			n.base = Copy{Index: r.Copy.Index, View: r.Copy.View}
			n.entries = nil
			n.state, n.commit, n.caughtUp = r.Copy.State.Snapshot(), r.Copy.Index, false
		case r.Whole != 0:
			n.caughtUp = r.Whole == n.view.Number
		case r.Entry != nil:
			n.keepEntry(*r.Entry)
		}
	}
	if n.view.Number > 0 {
		n.phase = Waking
	} else if n.foundersKept {
		n.opts.First = true
	}
	n.compared = n.view.Number == 0 && len(n.view.Voters) > 0
	n.caughtUp = n.caughtUp || (n.view.Number == 0 && n.lastIndex() == 0)
	n.synced, n.queued = n.lastIndex(), n.lastIndex()
	n.round = n.promised.Round
	n.saveSeq = OpeningSave
	if n.opts.Unsynced {
		n.saving[OpeningSave] = &saving{startUs: nowUs, upto: n.lastIndex(), refused: true}
		n.synced = 0
	}
	return n, nil
}

// Step takes one event and returns what is to be done about it, in order.
func (n *Node) Step(ev Event) []Effect {
	n.effects = nil
	gapUs := ev.NowUs - n.nowUs
	n.nowUs = ev.NowUs
	n.awakeUs += min(gapUs, n.opts.SuspectUs/2)
	if gapUs > n.opts.SuspectUs {
		n.dropLeases()
	}
	switch {
	case ev.Got != nil:
		n.got(*ev.Got)
	case ev.Saved != 0:
		n.saved(ev.Saved, ev.LogBytes)
	case ev.Refused != 0:
		n.refused(ev.Refused)
	case ev.Submit != nil:
		n.submit(*ev.Submit)
	case ev.Learn != nil:
		for _, addr := range ev.Learn {
			n.learned[addr] = true
		}
	case ev.Leave:
		n.leave()
	default:
		n.tick()
	}
	n.flush()
	n.settledOnce = n.Settled()
	return n.effects
}

// dropLeases is for a process that has stood still: it cannot tell how long its leases last.
func (n *Node) dropLeases() {
	n.leaseUs, n.tailEchoUs, n.echoedUs, n.passed = 0, 0, 0, nil
	n.leases = map[string]int64{}
	for _, p := range n.peers {
		p.heardUs = max(p.heardUs, n.nowUs-n.opts.SuspectUs/2)
	}
}

func (n *Node) send(to Member, m Msg) {
	m.From, m.Incarnation, m.ToID = n.opts.Me, n.opts.Incarnation, to.ID
	if to.ID == n.opts.Me.ID {
		n.got(m)
		return
	}
	n.effects = append(n.effects, Effect{Send: &Send{Addr: n.addressOf(to), Msg: m}})
}

// addressOf is where a member was heard from last in this incarnation, or else the address that is known of it: a view
// names the address that a member had when it got its seat.
func (n *Node) addressOf(m Member) string {
	if p := n.peers[m.ID]; p != nil && m.ID != "" && p.hello.Me.Addr != "" {
		return p.hello.Me.Addr
	}
	return m.Addr
}

func (n *Node) got(m Msg) {
	if bad := n.unreadable(m); bad != nil {
		n.effects = append(n.effects, Effect{Rejected: bad})
		return
	}
	switch {
	case m.Hello != nil:
		n.gotHello(m, *m.Hello)
	case m.Prepare != nil:
		n.gotPrepare(m, *m.Prepare)
	case m.Promise != nil:
		n.gotPromise(m, *m.Promise)
	case m.Accept != nil:
		n.gotAccept(m, *m.Accept)
	case m.Accepting != nil:
		n.gotAccepting(m, *m.Accepting)
	case m.Forward != nil:
		n.gotForward(m, *m.Forward)
	case m.Ack != nil:
		n.gotAck(m, *m.Ack)
	case m.Lease != nil:
		n.gotLease(m, *m.Lease)
	case m.Joining != nil:
		n.gotJoining(m, *m.Joining)
	case m.Submit != nil:
		if n.IsHead() {
			n.submit(*m.Submit)
		}
	}
}
