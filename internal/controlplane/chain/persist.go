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

// reply is a message that is sent to a member once a record is synced.
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

// handlePersistRefused records that the disk refuses a write. This member reports that at once, and the others remove it from
// the view.
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

// isDiskLagging reports whether the disk of this member refuses a write, or a sync has taken more than half of StallTimeoutUs.
func (n *Node) isDiskLagging() bool {
	for _, s := range n.pendingWrites {
		if s.refused || (!s.hasSnapshot && n.nowUs-s.startedUs > n.opts.StallTimeoutUs/2) {
			return true
		}
	}
	return false
}

// countsAsStalled reports whether a member is to be removed from the view because its disk is stalled. If the disk of this member
// was lagging recently, the cause may affect all disks, and the peer's may recover a little later. The peer then has twice
// SuspectTimeoutUs to recover.
func (n *Node) countsAsStalled(p *peer) bool {
	if !p.hello.Stalled {
		return false
	}
	laggedRecently := n.diskLaggedUs > 0 && n.nowUs-n.diskLaggedUs < n.opts.SuspectTimeoutUs
	return !laggedRecently || n.nowUs-p.stalledSinceUs >= 2*n.opts.SuspectTimeoutUs
}

// maxPendingWrites bounds the writes that wait for a hanging disk. At the bound this member stops voting.
const maxPendingWrites = 64

func (n *Node) isDiskRefusing() bool {
	for _, s := range n.pendingWrites {
		if s.refused {
			return true
		}
	}
	return false
}

// refusesToVote reports whether this member takes no part in decisions, as it could not persist its promises.
func (n *Node) refusesToVote() bool {
	return n.isDiskRefusing() || len(n.pendingWrites) >= maxPendingWrites
}
