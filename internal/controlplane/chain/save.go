package chain

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
	wasStalled := n.stalled()
	if n.behind() {
		n.behindUs = n.nowUs
	}
	delete(n.saving, seq)
	if wasStalled && !n.stalled() {
		n.sayHello()
	}
	n.logBytes = logBytes
	if s.fresh {
		n.leastLog = logBytes
	}
	if s.upto > n.synced {
		n.synced = min(s.upto, n.lastIndex())
		n.noteCaughtUp()
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
	n.releaseLease()
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

// behind: the own disk refuses, or a sync takes half as long as a stall or longer.
func (n *Node) behind() bool {
	for _, s := range n.saving {
		if s.refused || (!s.bulk && n.nowUs-s.startUs > n.opts.StallUs/2) {
			return true
		}
	}
	return false
}

// stallCounts says whether a member is to be put out of the view as its disk stalls. What holds up the own disk may hold
// up every member's, and each may come back a moment later than this one did: then it has a while for that.
func (n *Node) stallCounts(p *peer) bool {
	if !p.hello.Stalled {
		return false
	}
	behindLately := n.behindUs > 0 && n.nowUs-n.behindUs < n.opts.SuspectUs
	return !behindLately || n.nowUs-p.stalledUs >= 2*n.opts.SuspectUs
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

// refusesVotes: this member takes no part in a decision, as it could not keep its word.
func (n *Node) refusesVotes() bool { return n.refusing() || len(n.saving) >= savingMost }
