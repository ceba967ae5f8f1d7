package chain

import "encoding/json"

const bulkKeyUs = 25

func (n *Node) keepEntry(e Entry) {
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

// copying: a peer's copy is on its way to the disk. Another would have to wait for it.
func (n *Node) copying() bool {
	for _, s := range n.saving {
		if s.copied > 0 {
			return true
		}
	}
	return false
}

// keeping: a copy is on its way to the disk, beside the log.
func (n *Node) keeping() bool {
	for _, s := range n.saving {
		if s.bulk {
			return true
		}
	}
	return false
}

// bulkUs is how long a copy of this size may be under way before it is sent again.
func (n *Node) bulkUs() int64 { return int64(len(n.state.Keys)) * bulkKeyUs }

func (n *Node) firstKept() uint64 {
	if len(n.entries) == 0 {
		return n.base.Index + 1
	}
	return n.entries[0].Index
}

func (n *Node) copyNow() *Copy {
	view, _ := n.viewAt(n.commit)
	return &Copy{Index: n.commit, View: view, State: n.state.Snapshot()}
}

func (n *Node) takeEntry(e Entry) {
	if have, ok := n.viewAt(e.Index); ok && have != e.View && e.Index > n.commit {
		n.cutTo(e.Index - 1)
	}
	if e.Index == n.lastIndex()+1 {
		n.entries = append(n.entries, e)
	}
}

func (n *Node) cutTo(index uint64) {
	for len(n.entries) > 0 && n.lastIndex() > index {
		n.entries = n.entries[:len(n.entries)-1]
	}
	n.synced, n.queued = min(n.synced, index), min(n.queued, index)
}

func (n *Node) takeCopy(c Copy) {
	if c.State == nil || n.copying() {
		return
	}
	n.base, n.entries, n.state, n.commit, n.caughtUp = Copy{Index: c.Index, View: c.View}, nil, c.State.Snapshot(), c.Index, false
	n.synced, n.queued = 0, c.Index
	n.saveSeq++
	n.saving[n.saveSeq] = &saving{startUs: n.nowUs, upto: c.Index, copied: c.Index, bulk: true}
	n.effects = append(n.effects, Effect{Save: &Save{Seq: n.saveSeq, Copy: &c}})
}

// manyEntries: there are enough entries, and enough of them committed, to let go of most.
func (n *Node) manyEntries() bool {
	return len(n.entries) >= 2*n.opts.KeepMost && n.commit >= n.firstKept()+uint64(n.opts.KeepMost)
}

// largeLog: the log takes much of the disk, and much more than when it was last begun anew.
func (n *Node) largeLog() bool {
	return n.logBytes >= n.opts.LogMost && n.logBytes >= 2*n.leastLog
}

// kept counts the newest committed entries that stay for members that are behind: not too many, and not
// too large.
func (n *Node) kept() uint64 {
	kept, bytes := uint64(0), int64(0)
	for at := n.commit; kept < uint64(n.opts.KeepMost)/2; at-- {
		e, ok := n.entryAt(at)
		if !ok {
			break
		}
		if bytes += e.bytes(); bytes > n.opts.LogMost/4 {
			break
		}
		kept++
	}
	return kept
}

const entryBytes = 1 << 10

// bytes is about what an entry takes in a log; only declarations are large.
func (e Entry) bytes() int64 {
	if e.Change.Config == nil {
		return entryBytes
	}
	raw, err := json.Marshal(e.Change.Config)
	if err != nil {
		panic(err)
	}
	return entryBytes + int64(len(raw))
}

// compact begins the log anew on a copy of the state.
func (n *Node) compact() {
	if n.keeping() || (!n.manyEntries() && !n.largeLog()) {
		return
	}
	c := *n.copyNow()
	keptFrom := n.commit + 1 - min(n.commit+1, n.firstKept()+n.kept())
	view, promised := n.view, n.promised
	records := []Record{{View: &view}, {Promised: &promised}}
	if n.accepted != nil {
		records = append(records, Record{Accepted: n.accepted})
	}
	if n.caughtUp {
		records = append(records, Record{Whole: n.view.Number})
	}
	for _, e := range n.entries {
		if e.Index > c.Index && e.Index <= n.queued {
			held := e
			records = append(records, Record{Entry: &held})
		}
	}
	prior := n.firstKept() + keptFrom - 1
	priorView, _ := n.viewAt(prior)
	n.entries = append([]Entry(nil), n.entries[keptFrom:]...)
	n.base = Copy{Index: prior, View: priorView}
	n.saveSeq++
	n.saving[n.saveSeq] = &saving{startUs: n.nowUs, bulk: true, fresh: true}
	n.effects = append(n.effects, Effect{Save: &Save{Seq: n.saveSeq, Records: records, Copy: &c, Fresh: true}})
}
