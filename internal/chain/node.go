package chain

import (
	"maps"
	"slices"
	"strconv"
	"strings"

	"petreltide/internal/fault"
	"petreltide/internal/ledger"
)

const bulkKeyUs = 25

type partner struct {
	hello   Hello
	heardUs int64
	sinceUs int64
	deafUs  int64
}

type proposal struct {
	number   uint64
	ballot   Ballot
	want     View
	chosen   View
	promises map[string]*Accepted
	accepts  map[string]bool
	asking   bool
	startUs  int64
}

// Node is one office's part of the chain and of the agreement on its view.
type Node struct {
	opts Options

	phase    Phase
	view     View
	promised Ballot
	accepted *Accepted
	compared bool
	whole    bool
	// leaving is set once this process has been told to end.
	leaving bool

	entries  []Entry
	base     Copy
	state    *ledger.State
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
	partners   map[string]*partner
	learned    map[string]bool
	founders   []Member
	proposal   *proposal
	round      uint64
	quietUs    int64
	held       *Msg
	guardUs    int64
	guardTail  Seat
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
	echoUs     int64
	tailEchoUs int64
	// tailCommit is what the tail of this view has told of its commit.
	tailCommit  uint64
	viewedUs    int64
	joinAtUs    int64
	settledOnce bool
	settleAt    uint64
	effects     []Effect
}

type saving struct {
	startUs int64
	upto    uint64
	then    *reply
	copied  uint64
	bulk    bool
	fresh   bool
	refused bool
}

// reply is what a member owes another once a record is synced.
type reply struct {
	to  Member
	msg Msg
}

func NewNode(opts Options, records []Record, nowUs int64) (*Node, error) {
	n := &Node{
		opts: opts.filled(), phase: Fresh, state: ledger.NewState(), nowUs: nowUs, bootUs: nowUs, lastUs: nowUs,
		saving: map[uint64]*saving{}, partners: map[string]*partner{}, learned: map[string]bool{}, leases: map[string]int64{},
	}
	n.guardUs = nowUs + n.opts.LeaseUs
	for _, r := range records {
		switch {
		case r.View != nil:
			if r.View.Number >= n.view.Number {
				n.view, n.promised, n.accepted, n.whole = *r.View, Ballot{}, nil, false
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
			n.state, n.commit, n.whole = r.Copy.State.Freeze(), r.Copy.Index, false
		case r.Whole != 0:
			n.whole = r.Whole == n.view.Number
		case r.Entry != nil:
			n.keepEntry(*r.Entry)
		}
	}
	if n.view.Number > 0 {
		n.phase = Waking
	}
	n.compared = n.view.Number == 0 && len(n.view.Voters) > 0
	n.whole = n.whole || (n.view.Number == 0 && n.lastIndex() == 0)
	n.synced, n.queued = n.lastIndex(), n.lastIndex()
	n.round = n.promised.Round
	n.saveSeq = OpeningSave
	if n.opts.Unsynced {
		n.saving[OpeningSave] = &saving{startUs: nowUs, upto: n.lastIndex(), refused: true}
		n.synced = 0
	}
	return n, nil
}

func (n *Node) lastIndex() uint64 {
	if len(n.entries) == 0 {
		return n.base.Index
	}
	return n.entries[len(n.entries)-1].Index
}

func (n *Node) lastView() uint64 {
	if len(n.entries) == 0 {
		return n.base.View
	}
	return n.entries[len(n.entries)-1].View
}

func (n *Node) entryAt(index uint64) (Entry, bool) {
	if len(n.entries) == 0 || index < n.entries[0].Index || index > n.lastIndex() {
		return Entry{}, false
	}
	return n.entries[index-n.entries[0].Index], true
}

func (n *Node) viewAt(index uint64) (uint64, bool) {
	if index == n.base.Index {
		return n.base.View, true
	}
	e, ok := n.entryAt(index)
	return e.View, ok
}

func (n *Node) place() int { return n.view.Place(n.opts.Me.ID, n.opts.Inc) }

func (n *Node) serving() bool { return n.phase == Serving && n.place() >= 0 }

func (n *Node) IsHead() bool { return n.serving() && n.place() == 0 }

func (n *Node) IsTail() bool { return n.serving() && n.place() == len(n.view.Order)-1 }

// Open says whether this office may answer as the tail at this moment.
func (n *Node) Open(nowUs int64) bool {
	return n.IsTail() && n.openKnown && n.commit >= n.openAt && nowUs < n.leaseUs
}

// Fresh heads only give orders while the chain answered them lately.
func (n *Node) HeadFresh(nowUs int64) bool {
	if !n.IsHead() {
		return false
	}
	if n.IsTail() {
		return n.Open(nowUs)
	}
	return n.tailEchoUs > 0 && nowUs < n.tailEchoUs+n.opts.LeaseUs-n.opts.LeaseCutUs
}

func (n *Node) State() *ledger.State { return n.state }
func (n *Node) View() View           { return n.view }
func (n *Node) Phase() Phase         { return n.phase }
func (n *Node) Commit() uint64       { return n.commit }
func (n *Node) Last() uint64         { return n.lastIndex() }
func (n *Node) Me() Member           { return n.opts.Me }
func (n *Node) Inc() string          { return n.opts.Inc }

// Settled says that the state of this office is the chain's: it has had a seat in this life and holds
// all that was committed before it.
func (n *Node) Settled() bool {
	if n.settledOnce {
		return true
	}
	return n.serving() && n.whole && (n.openKnown || n.IsHead()) && n.commit >= max(n.openAt, n.settleAt)
}

// WritesTaken is false in a view of too few: nothing is acknowledged on fewer copies than a loss may take.
func (n *Node) WritesTaken() bool { return n.takesWrites(n.view) }

func (n *Node) takesWrites(v View) bool {
	if len(v.Order) < n.copiesLeast() {
		return false
	}
	if n.opts.ZonesLeast < 2 {
		return true
	}
	seated, wanted := map[string]bool{}, map[string]bool{}
	for _, s := range v.Order {
		seated[s.Zone] = true
	}
	for _, v := range v.Voters {
		wanted[v.Zone] = true
	}
	return len(seated) >= min(n.opts.ZonesLeast, len(wanted))
}

func (n *Node) copiesLeast() int { return max(n.opts.CopiesLeast, min(2, len(n.view.Voters))) }

// Kept says that every member of a view that takes writes has synced all up to an index: what was committed in
// a view of too few is applied, and must not be acknowledged before.
func (n *Node) Kept(index uint64) bool { return index <= n.keptTo() }

func (n *Node) keptTo() uint64 {
	switch {
	case !n.serving() || !n.WritesTaken():
		return 0
	case n.IsTail():
		return min(n.commit, n.synced)
	}
	return n.tailCommit
}

func (n *Node) Hears(id string) bool {
	p := n.partners[id]
	return p != nil && n.nowUs-p.heardUs < n.opts.SuspectUs
}

type PartnerNote struct {
	Member Member `json:"member"`
	Phase  Phase  `json:"phase"`
	Inc    string `json:"inc"`
	Last   uint64 `json:"last"`
	AgoMs  int64  `json:"agoMs"`
	Sound  bool   `json:"sound"`
}

func (n *Node) Partners() []PartnerNote {
	notes := []PartnerNote{}
	for _, id := range n.partnerIDs() {
		p := n.partners[id]
		notes = append(notes, PartnerNote{
			Member: p.hello.Me, Phase: p.hello.Phase, Inc: p.hello.Inc, Last: p.hello.Last,
			AgoMs: (n.nowUs - p.heardUs) / 1000, Sound: n.Hears(id),
		})
	}
	return notes
}

func (n *Node) partnerIDs() []string {
	return slices.Sorted(maps.Keys(n.partners))
}

func (n *Node) Step(ev Event) []Effect {
	n.effects = nil
	gapUs := ev.NowUs - n.nowUs
	n.nowUs = ev.NowUs
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

func (n *Node) dropLeases() {
	n.leaseUs, n.tailEchoUs = 0, 0
	n.leases = map[string]int64{}
	for _, p := range n.partners {
		p.heardUs = max(p.heardUs, n.nowUs-n.opts.SuspectUs/2)
	}
}

func (n *Node) send(to Member, m Msg) {
	m.From, m.Inc, m.ToID = n.opts.Me, n.opts.Inc, to.ID
	if to.ID == n.opts.Me.ID {
		n.got(m)
		return
	}
	n.effects = append(n.effects, Effect{Send: &Send{Addr: to.Addr, Msg: m}})
}

func (n *Node) save(records []Record, upto uint64, then *reply) {
	n.saveSeq++
	n.saving[n.saveSeq] = &saving{startUs: n.nowUs, upto: upto, then: then}
	n.effects = append(n.effects, Effect{Save: &Save{Seq: n.saveSeq, Records: records}})
}

func (n *Node) saved(seq uint64, logBytes int64) {
	s := n.saving[seq]
	if s == nil {
		return
	}
	delete(n.saving, seq)
	n.logBytes = logBytes
	if s.fresh {
		n.leastLog = logBytes
	}
	if s.upto > n.synced {
		n.synced = min(s.upto, n.lastIndex())
		n.madeWhole()
		n.pushOn()
	}
	if s.copied > 0 {
		n.copyHeld = s.copied
		n.ackBack()
	}
	if s.then != nil {
		n.send(s.then.to, s.then.msg)
	}
	n.compact()
}

// refused: the disk does not take a save. This member says so at once, and is put out of the view.
func (n *Node) refused(seq uint64) {
	s := n.saving[seq]
	if s == nil || s.refused {
		return
	}
	s.refused = true
	n.sayHello()
}

func (n *Node) stalled() bool {
	for _, s := range n.saving {
		if s.refused || (!s.bulk && n.nowUs-s.startUs > n.opts.StallUs) {
			return true
		}
	}
	return false
}

// savingMost bounds what waits for a disk that hangs.
const savingMost = 64

func (n *Node) refusing() bool {
	for _, s := range n.saving {
		if s.refused {
			return true
		}
	}
	return false
}

// mute: this member takes no part in a decision, as it could not keep its word.
func (n *Node) mute() bool { return n.refusing() || len(n.saving) >= savingMost }

func (n *Node) flush() {
	if n.queued >= n.lastIndex() || n.entrySaving() {
		return
	}
	var records []Record
	for i := range n.entries {
		if n.entries[i].Index > n.queued {
			e := n.entries[i]
			records = append(records, Record{Entry: &e})
		}
	}
	n.queued = n.lastIndex()
	n.save(records, n.queued, nil)
}

func (n *Node) entrySaving() bool {
	for _, s := range n.saving {
		if s.upto > 0 {
			return true
		}
	}
	return false
}

func (n *Node) submit(c ledger.Change) {
	switch {
	case n.IsHead() && n.stalled():
		n.effects = append(n.effects, Effect{Refused: &Refused{ID: c.ID, Reason: "its own disk: a sync has not come back"}})
	case n.IsHead() && n.lastIndex()-n.commit >= uint64(n.opts.WaitMost):
		n.effects = append(n.effects, Effect{Refused: &Refused{ID: c.ID, Reason: "too many writes wait to be committed"}})
	case n.IsHead() && c.Config != nil && n.waits(c.ID):
	case n.IsHead() && n.WritesTaken() && (c.Epoch == 0 || c.Claim != nil || c.Epoch >= n.state.Epoch):
		n.entries = append(n.entries, Entry{Index: n.lastIndex() + 1, View: n.view.Number, Change: c})
	case n.IsHead():
		n.effects = append(n.effects, Effect{Refused: &Refused{ID: c.ID, Reason: "not taking this write"}})
	case n.view.Number > 0 && n.view.Head().ID != n.opts.Me.ID:
		n.send(n.view.Head().Member, Msg{Submit: &c})
	default:
		n.effects = append(n.effects, Effect{Refused: &Refused{ID: c.ID, Reason: "no chain yet"}})
	}
}

// waits: this order is in the log already and its outcome is still to come. Orders are large, and are sent
// again and again until then.
func (n *Node) waits(id string) bool {
	for at := n.lastIndex(); at > n.commit; at-- {
		if e, ok := n.entryAt(at); ok && e.Change.ID == id {
			return true
		}
	}
	return false
}

func (n *Node) successor() (Seat, bool) {
	at := n.place()
	if at < 0 || at+1 >= len(n.view.Order) {
		return Seat{}, false
	}
	return n.view.Order[at+1], true
}

func (n *Node) predecessor() (Seat, bool) {
	at := n.place()
	if at <= 0 {
		return Seat{}, false
	}
	return n.view.Order[at-1], true
}

func (n *Node) pushOn() {
	if !n.serving() {
		return
	}
	if n.IsTail() {
		n.commitTo(n.synced)
		n.ackBack()
		return
	}
	n.forward(false)
	n.ackBack()
}

func (n *Node) forward(beat bool) {
	next, ok := n.successor()
	if !ok {
		return
	}
	resendUs := n.opts.ResendUs
	if n.succCopied > n.succLast {
		resendUs += n.bulkUs()
	}
	if beat && n.succKnown && n.succSent > n.succLast && n.nowUs-n.succAtUs > resendUs {
		n.succSent = n.succLast
	}
	f := Forward{View: n.view.Number, Last: n.lastIndex(), SentUs: n.beatUs()}
	if n.succKnown {
		switch first := n.firstKept(); {
		case n.succSent+1 < first:
			f.Copy = n.copyNow()
			f.Prev, f.PrevView = f.Copy.Index, f.Copy.View
			n.succSent, n.succCopied = f.Copy.Index, f.Copy.Index
			n.succAtUs = n.nowUs
		case n.succSent < n.synced && n.succSent-n.succLast < uint64(4*n.opts.BatchMost):
			f.Prev = n.succSent
			f.PrevView, _ = n.viewAt(n.succSent)
			upto := min(n.synced, n.succSent+uint64(n.opts.BatchMost))
			for i := n.succSent + 1; i <= upto; i++ {
				e, _ := n.entryAt(i)
				f.Entries = append(f.Entries, e)
			}
			if n.succSent == n.succLast {
				n.succAtUs = n.nowUs
			}
			n.succSent = upto
		}
	}
	if beat || len(f.Entries) > 0 || f.Copy != nil {
		n.send(next.Member, Msg{Forward: &f})
	}
}

func (n *Node) beatUs() int64 {
	if n.IsHead() {
		return n.nowUs
	}
	return n.echoUs
}

func (n *Node) ackBack() {
	prev, ok := n.predecessor()
	if !ok {
		return
	}
	echoUs := n.tailEchoUs
	if n.IsTail() {
		echoUs = 0
		if n.nowUs < n.leaseUs {
			echoUs = n.echoUs
		}
	}
	n.send(prev.Member, Msg{Ack: &Ack{View: n.view.Number, Last: n.synced, Commit: n.commit, EchoUs: echoUs}})
}

func (n *Node) gotForward(m Msg, f Forward) {
	prev, ok := n.predecessor()
	if !ok || f.View != n.view.Number || m.From.ID != prev.ID || m.Inc != prev.Inc {
		return
	}
	n.echoUs = max(n.echoUs, f.SentUs)
	if !n.openKnown {
		n.openKnown, n.openAt = true, f.Last
	}
	n.madeWhole()
	if f.Copy != nil && f.Copy.Index > n.lastIndex() {
		n.takeCopy(*f.Copy)
		return
	}
	if len(f.Entries) > 0 {
		view, known := n.viewAt(f.Prev)
		switch {
		case f.Prev > n.lastIndex():
		case known && view != f.PrevView && f.Prev > n.commit:
			n.cutTo(n.commit)
		default:
			for _, e := range f.Entries {
				n.takeEntry(e)
			}
		}
	}
	n.ackBack()
}

// madeWhole: this member now has all that was in its predecessor's log when the view began, and
// with it everything that was ever acknowledged. Until then it may not speak for the chain.
func (n *Node) madeWhole() {
	if n.whole || !n.serving() || !n.openKnown || n.synced < n.openAt {
		return
	}
	n.whole = true
	n.save([]Record{{Whole: n.view.Number}}, 0, nil)
}

func (n *Node) gotAck(m Msg, a Ack) {
	next, ok := n.successor()
	if !ok || a.View != n.view.Number || m.From.ID != next.ID || m.Inc != next.Inc {
		return
	}
	if a.Last > n.succLast || !n.succKnown {
		n.succAtUs = n.nowUs
	}
	if !n.succKnown {
		n.succSent = a.Last
	}
	n.succKnown, n.succLast = true, a.Last
	n.succSent = max(n.succSent, a.Last)
	n.tailEchoUs = max(n.tailEchoUs, a.EchoUs)
	n.tailCommit = max(n.tailCommit, min(a.Commit, n.synced))
	if a.Commit > n.commit {
		n.commitTo(min(a.Commit, n.synced))
	}
	n.forward(false)
	n.ackBack()
}

func (n *Node) commitTo(index uint64) {
	for n.commit < index {
		e, ok := n.entryAt(n.commit + 1)
		if !ok {
			return
		}
		out := n.state.Apply(e.Index, e.Change)
		n.commit = e.Index
		n.effects = append(n.effects, Effect{Applied: &Applied{Entry: e, Outcome: out}})
	}
	n.compact()
}

func (n *Node) got(m Msg) {
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

// WaitsFor tells an operator, in words, what this office is waiting for.
func (n *Node) WaitsFor() string {
	switch {
	case n.leaving && !n.Left():
		return "other members to take its seat and vote over before it ends"
	case n.refusing():
		return "its own disk: it takes no bytes; the same write is tried again and again"
	case n.stalled():
		return "its own disk: a sync has not come back"
	case n.phase == Fresh && n.opts.Founding > 0:
		return "founders: it must meet " + strconv.Itoa(n.opts.Founding) + " fresh offices, itself included, and knows " + strconv.Itoa(len(n.founders))
	case n.phase == Fresh && n.mayFound():
		return "founders: it must meet the fresh offices at " + strings.Join(n.opts.Founders, ", ") + ", and knows " + strconv.Itoa(len(n.founders))
	case n.phase == Fresh:
		return "a chain to join through its seeds"
	case n.phase == Waking && !n.compared:
		return "the other voters, to compare promises and log"
	case n.phase == Waking:
		return "the other members of view " + strconv.FormatUint(n.view.Number, 10) + ", or a copy from its tail"
	case n.phase == Outside:
		return "a copy from the tail and a seat in the next view"
	case n.serving() && !n.whole:
		return "the rest of the log from its predecessor"
	case !n.WritesTaken():
		return "more members: an acknowledgement needs " + strconv.Itoa(n.copiesLeast()) + " copies"
	case n.IsTail() && !n.Open(n.nowUs):
		return "its lease from a majority of voters"
	}
	return ""
}

func (n *Node) NowUs() int64 { return n.nowUs }
