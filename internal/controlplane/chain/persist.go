package chain

type pendingWrite struct {
	startedUs     int64
	entryIndex    uint64
	reply         *reply
	snapshotIndex uint64
	hasSnapshot   bool
	compaction    bool
	refused       bool
}

// reply is what a member owes another once a record is synced.
type reply struct {
	to  Member
	msg Msg
}

func (n *Node) persist(records []Record, entryIndex uint64, onSynced *reply) {
	n.persistSeq++
	n.pendingWrites[n.persistSeq] = &pendingWrite{startedUs: n.nowUs, entryIndex: entryIndex, reply: onSynced}
	n.effects = append(n.effects, Persist{Seq: n.persistSeq, Records: records})
}

func (n *Node) handlePersisted(seq uint64, logBytes int64) {
	s := n.pendingWrites[seq]
	if s == nil {
		return
	}
	if seq == n.incarnationSeq {
		n.incarnationSynced = true
		n.broadcastHello()
	}
	wasStalled := n.isDiskStalled()
	if n.isDiskLagging() {
		n.diskLaggedUs = n.nowUs
	}
	delete(n.pendingWrites, seq)
	if wasStalled && !n.isDiskStalled() {
		n.broadcastHello()
	}
	n.logBytes = logBytes
	if s.compaction {
		n.compactedLogBytes = logBytes
	}
	if s.entryIndex > n.syncedIndex {
		n.syncedIndex = min(s.entryIndex, n.lastIndex())
		n.maybeBecomeCaughtUp()
		n.propagate()
	}
	if s.snapshotIndex > 0 {
		n.snapshotIndex = s.snapshotIndex
		n.sendAck()
	}
	if s.reply != nil {
		n.send(s.reply.to, s.reply.msg)
	}
	n.compact()
}

// handlePersistRefused: the disk does not take a save. This member says so at once, and is put out of the view.
func (n *Node) handlePersistRefused(seq uint64) {
	s := n.pendingWrites[seq]
	if s == nil || s.refused {
		return
	}
	s.refused = true
	n.releaseLease()
	n.broadcastHello()
}

func (n *Node) isDiskStalled() bool {
	for _, s := range n.pendingWrites {
		if s.refused || (!s.hasSnapshot && n.nowUs-s.startedUs > n.opts.StallTimeoutUs) {
			return true
		}
	}
	return false
}

// isDiskLagging: the own disk refuses, or a sync takes half as long as a stall or longer.
func (n *Node) isDiskLagging() bool {
	for _, s := range n.pendingWrites {
		if s.refused || (!s.hasSnapshot && n.nowUs-s.startedUs > n.opts.StallTimeoutUs/2) {
			return true
		}
	}
	return false
}

// countsAsStalled says whether a member is to be put out of the view as its disk stalls. What holds up the own disk may hold
// up every member's, and each may come back a moment later than this one did: then it has a while for that.
func (n *Node) countsAsStalled(p *peer) bool {
	if !p.hello.Stalled {
		return false
	}
	laggedRecently := n.diskLaggedUs > 0 && n.nowUs-n.diskLaggedUs < n.opts.SuspectTimeoutUs
	return !laggedRecently || n.nowUs-p.stalledSinceUs >= 2*n.opts.SuspectTimeoutUs
}

// maxPendingWrites bounds what waits for a disk that hangs.
const maxPendingWrites = 64

func (n *Node) isDiskRefusing() bool {
	for _, s := range n.pendingWrites {
		if s.refused {
			return true
		}
	}
	return false
}

// refusesToVote: this member takes no part in a decision, as it could not keep its word.
func (n *Node) refusesToVote() bool {
	return n.isDiskRefusing() || len(n.pendingWrites) >= maxPendingWrites
}
