package chain

import "encoding/json"

// transferUsPerKey is the time to transfer a snapshot, for each idempotency key in its state.
const transferUsPerKey = 25

func (n *Node) replayEntry(e Entry) {
	if e.Index <= n.base.Index {
		return
	}
	for len(n.entries) > 0 && n.entries[len(n.entries)-1].Index >= e.Index {
		n.entries = n.entries[:len(n.entries)-1]
	}
	if e.Index == n.lastIndex()+1 {
		n.entries = append(n.entries, e)
	}
}

// isPersistingReceivedSnapshot reports whether a snapshot of a peer is being written to the disk. Another one would have to wait.
func (n *Node) isPersistingReceivedSnapshot() bool {
	for _, s := range n.pendingWrites {
		if s.snapshotIndex > 0 {
			return true
		}
	}
	return false
}

// isPersistingSnapshot reports whether a snapshot is being written to the disk, beside the log.
func (n *Node) isPersistingSnapshot() bool {
	for _, s := range n.pendingWrites {
		if s.hasSnapshot {
			return true
		}
	}
	return false
}

// snapshotTransferUs returns how long the transfer of a snapshot of the current state may take before it is sent again.
func (n *Node) snapshotTransferUs() int64 { return int64(len(n.state.Keys)) * transferUsPerKey }

func (n *Node) firstIndex() uint64 {
	if len(n.entries) == 0 {
		return n.base.Index + 1
	}
	return n.entries[0].Index
}

func (n *Node) currentSnapshot() *Snapshot {
	view, _ := n.viewAt(n.commitIndex)
	return &Snapshot{Index: n.commitIndex, View: view, State: n.state.Snapshot()}
}

func (n *Node) appendEntry(e Entry) {
	if existing, ok := n.viewAt(e.Index); ok && existing != e.View && e.Index > n.commitIndex {
		n.truncateTo(e.Index - 1)
	}
	if e.Index == n.lastIndex()+1 {
		n.entries = append(n.entries, e)
	}
}

func (n *Node) truncateTo(index uint64) {
	for len(n.entries) > 0 && n.lastIndex() > index {
		n.entries = n.entries[:len(n.entries)-1]
	}
	n.syncedIndex, n.stagedIndex = min(n.syncedIndex, index), min(n.stagedIndex, index)
}

func (n *Node) restoreSnapshot(c Snapshot) {
	if c.State == nil || n.isPersistingReceivedSnapshot() {
		return
	}
	n.base, n.entries, n.state, n.commitIndex, n.caughtUp = Snapshot{Index: c.Index, View: c.View}, nil, c.State.Snapshot(), c.Index, false
	n.syncedIndex, n.stagedIndex = 0, c.Index
	n.persistSeq++
	n.pendingWrites[n.persistSeq] = &pendingWrite{startedUs: n.nowUs, entryIndex: c.Index, snapshotIndex: c.Index, hasSnapshot: true}
	n.effects = append(n.effects, Persist{Seq: n.persistSeq, Snapshot: &c})
}

// hasTooManyEntries reports whether the log has enough entries, and enough committed ones, to be compacted.
func (n *Node) hasTooManyEntries() bool {
	return len(n.entries) >= 2*n.opts.MaxRetainedEntries && n.commitIndex >= n.firstIndex()+uint64(n.opts.MaxRetainedEntries)
}

// isLogTooLarge reports whether the log has reached MaxLogBytes and at least twice its size after the last compaction.
func (n *Node) isLogTooLarge() bool {
	return n.logBytes >= n.opts.MaxLogBytes && n.logBytes >= 2*n.compactedLogBytes
}

// retainedEntries returns how many of the newest committed entries a compaction retains for members that are behind: at most
// half of MaxRetainedEntries, and at most a quarter of MaxLogBytes.
func (n *Node) retainedEntries() uint64 {
	kept, bytes := uint64(0), int64(0)
	for at := n.commitIndex; kept < uint64(n.opts.MaxRetainedEntries)/2; at-- {
		e, ok := n.entryAt(at)
		if !ok {
			break
		}
		if bytes += e.sizeBytes(); bytes > n.opts.MaxLogBytes/4 {
			break
		}
		kept++
	}
	return kept
}

// entryOverheadBytes is the assumed size of a log entry without its configuration document.
const entryOverheadBytes = 1 << 10

// sizeBytes returns the approximate size of an entry in the log; only configuration documents are large.
func (e Entry) sizeBytes() int64 {
	if e.Change.Config == nil {
		return entryOverheadBytes
	}
	raw, err := json.Marshal(e.Change.Config)
	if err != nil {
		panic(err)
	}
	return entryOverheadBytes + int64(len(raw))
}

// compact replaces the log by a snapshot of the state and the records that are still needed, if the log is too large.
func (n *Node) compact() {
	if n.isPersistingSnapshot() || (!n.hasTooManyEntries() && !n.isLogTooLarge()) {
		return
	}
	c := *n.currentSnapshot()
	keptFrom := n.commitIndex + 1 - min(n.commitIndex+1, n.firstIndex()+n.retainedEntries())
	view, promised := n.view, n.promisedBallot
	records := []Record{{View: &view}, {PromisedBallot: &promised}}
	for _, incarnation := range n.diskIncarnations {
		records = append(records, Record{Incarnation: incarnation})
	}
	if n.acceptedProposal != nil {
		records = append(records, Record{AcceptedProposal: n.acceptedProposal})
	}
	if n.caughtUp {
		records = append(records, Record{CaughtUpView: n.view.Number})
	}
	for _, e := range n.entries {
		if e.Index > c.Index && e.Index <= n.stagedIndex {
			entry := e
			records = append(records, Record{Entry: &entry})
		}
	}
	prior := n.firstIndex() + keptFrom - 1
	priorView, _ := n.viewAt(prior)
	n.entries = append([]Entry(nil), n.entries[keptFrom:]...)
	n.base = Snapshot{Index: prior, View: priorView}
	n.persistSeq++
	n.pendingWrites[n.persistSeq] = &pendingWrite{startedUs: n.nowUs, hasSnapshot: true, compaction: true}
	n.effects = append(n.effects, Persist{Seq: n.persistSeq, Records: records, Snapshot: &c, Compact: true})
}
