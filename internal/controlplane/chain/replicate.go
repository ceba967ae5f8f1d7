package chain

import (
	"petreltide/internal/controlplane/statemachine"
)

func (n *Node) persistEntries() {
	if n.stagedIndex >= n.lastIndex() || n.isPersistingEntries() {
		return
	}
	var records []Record
	for i := range n.entries {
		if n.entries[i].Index > n.stagedIndex {
			e := n.entries[i]
			records = append(records, Record{Entry: &e})
		}
	}
	n.stagedIndex = n.lastIndex()
	n.persist(records, n.stagedIndex, nil)
}

func (n *Node) isPersistingEntries() bool {
	for _, s := range n.pendingWrites {
		if s.entryIndex > 0 {
			return true
		}
	}
	return false
}

func (n *Node) handleSubmit(c statemachine.Change) {
	switch {
	case n.IsHead() && n.isDiskStalled():
		n.effects = append(n.effects, ChangeRejected{ID: c.ID, Reason: "the disk of the head is stalled: a sync is outstanding"})
	case n.IsHead() && n.lastIndex()-n.commitIndex >= uint64(n.opts.MaxUncommittedEntries):
		n.effects = append(n.effects, ChangeRejected{ID: c.ID, Reason: "too many uncommitted writes"})
	case n.IsHead() && c.Config != nil && n.isUncommitted(c.ID):
	case n.IsHead() && n.AcceptsWrites() && (c.Epoch == 0 || c.Claim != nil || c.Epoch >= n.state.Epoch):
		n.entries = append(n.entries, Entry{Index: n.lastIndex() + 1, View: n.view.Number, Change: c})
	case n.IsHead():
		n.effects = append(n.effects, ChangeRejected{ID: c.ID, Reason: "this write is not accepted now"})
	case n.view.Number > 0 && n.view.Head().ID != n.opts.Self.ID:
		n.send(n.view.Head().Member, Msg{Submit: &c})
	default:
		n.effects = append(n.effects, ChangeRejected{ID: c.ID, Reason: "the chain does not exist yet"})
	}
}

// isUncommitted reports whether the change with this ID is in the log and not committed yet. Configuration changes are large and
// are resubmitted until their outcome is known; they are logged only once.
func (n *Node) isUncommitted(id string) bool {
	for at := n.lastIndex(); at > n.commitIndex; at-- {
		if e, ok := n.entryAt(at); ok && e.Change.ID == id {
			return true
		}
	}
	return false
}

func (n *Node) successor() (Replica, bool) {
	at := n.position()
	if at < 0 || at+1 >= len(n.view.Replicas) {
		return Replica{}, false
	}
	return n.view.Replicas[at+1], true
}

func (n *Node) predecessor() (Replica, bool) {
	at := n.position()
	if at <= 0 {
		return Replica{}, false
	}
	return n.view.Replicas[at-1], true
}

func (n *Node) propagate() {
	if !n.isServing() {
		return
	}
	if n.IsTail() {
		n.commitTo(n.syncedIndex)
		n.sendAck()
		return
	}
	n.forward(false)
	n.sendAck()
}

func (n *Node) forward(heartbeat bool) {
	successor := &n.successorProgress
	next, ok := n.successor()
	if !ok {
		return
	}
	resendUs := n.opts.ResendTimeoutUs
	if successor.snapshotIndex > successor.acked {
		resendUs += n.snapshotTransferUs()
	}
	if heartbeat && successor.known && successor.sent > successor.acked && n.nowUs-successor.advancedUs > resendUs {
		successor.sent = successor.acked
	}
	f := Forward{View: n.view.Number, LastIndex: n.lastIndex(), HeadTimeUs: n.outgoingHeadTimeUs()}
	if successor.known {
		switch first := n.firstIndex(); {
		case successor.sent+1 < first:
			f.Snapshot = n.currentSnapshot()
			f.PrevIndex, f.PrevView = f.Snapshot.Index, f.Snapshot.View
			successor.sent, successor.snapshotIndex = f.Snapshot.Index, f.Snapshot.Index
			successor.advancedUs = n.nowUs
		case successor.sent < n.syncedIndex && successor.sent-successor.acked < uint64(4*n.opts.MaxBatchEntries):
			f.PrevIndex = successor.sent
			f.PrevView, _ = n.viewAt(successor.sent)
			lastSent := min(n.syncedIndex, successor.sent+uint64(n.opts.MaxBatchEntries))
			for i := successor.sent + 1; i <= lastSent; i++ {
				e, _ := n.entryAt(i)
				f.Entries = append(f.Entries, e)
			}
			if successor.sent == successor.acked {
				successor.advancedUs = n.nowUs
			}
			successor.sent = lastSent
		}
	}
	if heartbeat || len(f.Entries) > 0 || f.Snapshot != nil {
		n.send(next.Member, Msg{Forward: &f})
	}
}

func (n *Node) outgoingHeadTimeUs() int64 {
	if n.IsHead() {
		return n.nowUs
	}
	return n.headTimeUs
}

func (n *Node) sendAck() {
	prev, ok := n.predecessor()
	if !ok {
		return
	}
	echoUs := n.confirmedHeadTimeUs
	if n.IsTail() {
		echoUs = 0
		if n.nowUs < n.leaseUntilUs {
			echoUs = n.headTimeUs
		}
	}
	n.send(prev.Member, Msg{Ack: &Ack{View: n.view.Number, SyncedIndex: n.syncedIndex, CommitIndex: n.commitIndex, ConfirmedHeadTimeUs: echoUs}})
}

func (n *Node) handleForward(m Msg, f Forward) {
	prev, ok := n.predecessor()
	if !ok || f.View != n.view.Number || m.From.ID != prev.ID || m.Incarnation != prev.Incarnation {
		return
	}
	isNewer := n.recordHeadTime(f.HeadTimeUs)
	if !n.viewStartKnown {
		n.viewStartKnown, n.viewStartIndex = true, f.LastIndex
	}
	n.maybeBecomeCaughtUp()
	if f.Snapshot != nil && f.Snapshot.Index > n.lastIndex() {
		n.restoreSnapshot(*f.Snapshot)
		return
	}
	if len(f.Entries) > 0 {
		view, known := n.viewAt(f.PrevIndex)
		switch {
		case f.PrevIndex > n.lastIndex():
		case known && view != f.PrevView && f.PrevIndex > n.commitIndex:
			n.truncateTo(n.commitIndex)
		default:
			for _, e := range f.Entries {
				n.appendEntry(e)
			}
		}
	}
	if isNewer {
		n.relayHeartbeat()
	}
	n.sendAck()
}

// relayHeartbeat forwards the head's time stamp at once, unless a heartbeat was sent recently. Members that restart together send
// their heartbeats at the same time; a time stamp that waited for the next heartbeat of each member would be too old to count
// when its confirmation reaches the head.
func (n *Node) relayHeartbeat() {
	if n.nowUs-n.heartbeatSentUs >= n.opts.HeartbeatIntervalUs/2 {
		n.heartbeatSentUs = n.nowUs
		n.forward(true)
	}
}

// heartbeatIntervalUs returns after how long this member sends a heartbeat by itself. The members after the head relay its
// heartbeats, and send their own only when those do not arrive.
func (n *Node) heartbeatIntervalUs() int64 {
	if n.IsHead() {
		return n.opts.HeartbeatIntervalUs
	}
	return n.opts.HeartbeatIntervalUs + n.opts.HeartbeatIntervalUs/2
}

// maybeBecomeCaughtUp marks this member as caught up once it has synced its predecessor's log as of the start of the view, and
// with that every entry that was ever acknowledged. Until then it must not propose views or count as a complete replica.
func (n *Node) maybeBecomeCaughtUp() {
	if n.caughtUp || !n.isServing() || !n.viewStartKnown || n.syncedIndex < n.viewStartIndex {
		return
	}
	n.caughtUp = true
	n.persist([]Record{{CaughtUpView: n.view.Number}}, 0, nil)
}

func (n *Node) handleAck(m Msg, a Ack) {
	next, ok := n.successor()
	if !ok || a.View != n.view.Number || m.From.ID != next.ID || m.Incarnation != next.Incarnation {
		return
	}
	successor := &n.successorProgress
	if a.SyncedIndex > successor.acked || !successor.known {
		successor.advancedUs = n.nowUs
	}
	if !successor.known {
		successor.sent = a.SyncedIndex
	}
	successor.known, successor.acked = true, a.SyncedIndex
	successor.sent = max(successor.sent, a.SyncedIndex)
	n.confirmHeadTime(a.ConfirmedHeadTimeUs)
	n.tailCommitIndex = max(n.tailCommitIndex, min(a.CommitIndex, n.syncedIndex))
	if a.CommitIndex > n.commitIndex {
		n.commitTo(min(a.CommitIndex, n.syncedIndex))
	}
	n.forward(false)
	n.sendAck()
}

func (n *Node) commitTo(index uint64) {
	for n.commitIndex < index {
		e, ok := n.entryAt(n.commitIndex + 1)
		if !ok {
			return
		}
		outcome := n.state.Apply(e.Index, e.Change)
		n.commitIndex = e.Index
		n.effects = append(n.effects, Applied{Entry: e, Outcome: outcome})
	}
	n.compact()
}
