package chain

import (
	"petreltide/internal/controlplane/statemachine"
)

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

func (n *Node) submit(c statemachine.Change) {
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
	if !ok || f.View != n.view.Number || m.From.ID != prev.ID || m.Incarnation != prev.Incarnation {
		return
	}
	news := n.passStamp(f.SentUs)
	if !n.openKnown {
		n.openKnown, n.openAt = true, f.Last
	}
	n.noteCaughtUp()
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
	if news {
		n.passBeatOn()
	}
	n.ackBack()
}

// passBeatOn sends the head's word on to the tail at once, if none went lately: members that came back together beat
// together, and a word that waited for the next beat of each would be too old to count once it is back at the head.
func (n *Node) passBeatOn() {
	if n.nowUs-n.beatSentUs >= n.opts.BeatUs/2 {
		n.beatSentUs = n.nowUs
		n.forward(true)
	}
}

// beatEveryUs is how long this member waits before it beats by itself. Those after the head beat with its words, and by
// themselves only where those do not come.
func (n *Node) beatEveryUs() int64 {
	if n.IsHead() {
		return n.opts.BeatUs
	}
	return n.opts.BeatUs + n.opts.BeatUs/2
}

// noteCaughtUp: this member now has all that was in its predecessor's log when the view began, and
// with it everything that was ever acknowledged. Until then it may not speak for the chain.
func (n *Node) noteCaughtUp() {
	if n.caughtUp || !n.serving() || !n.openKnown || n.synced < n.openAt {
		return
	}
	n.caughtUp = true
	n.save([]Record{{Whole: n.view.Number}}, 0, nil)
}

func (n *Node) gotAck(m Msg, a Ack) {
	next, ok := n.successor()
	if !ok || a.View != n.view.Number || m.From.ID != next.ID || m.Incarnation != next.Incarnation {
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
	n.takeEcho(a.EchoUs)
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
