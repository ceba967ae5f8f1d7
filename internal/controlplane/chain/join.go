package chain

// nextJoiner returns a control node that can join the chain now as the new tail. The current tail must be caught up, as a member
// counts as caught up with what its predecessor held at the start of the view.
func (n *Node) nextJoiner() (Replica, bool) {
	if !n.isCaughtUp(n.view.Tail()) {
		return Replica{}, false
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if n.view.HasReplica(id) || !n.IsAlive(id) || p.hello.Stalled || p.hello.ShuttingDown || p.hello.View.Number != n.view.Number {
			continue
		}
		if p.hello.Phase != PhaseStandby && p.hello.Phase != PhaseRestarted {
			continue
		}
		if p.hello.SnapshotIndex == 0 || p.hello.SnapshotIndex+uint64(n.opts.MaxRetainedEntries) < n.commitIndex || !n.reachesChain(p.hello) {
			continue
		}
		if !n.canJoin(p.hello.Member) {
			continue
		}
		return Replica{Member: p.hello.Member, Incarnation: p.hello.Incarnation}, true
	}
	return Replica{}, false
}

func (n *Node) canJoin(m Member) bool {
	if n.isBeingRemoved(m.ID) {
		return false
	}
	return n.view.IsVoter(m.ID) || n.canReplaceVoter(m) || n.isBeingAdded(m) || n.opts.AutoMembership
}

func (n *Node) reachesChain(h Hello) bool {
	heard := map[string]bool{}
	for _, id := range h.AlivePeers {
		heard[id] = true
	}
	for _, s := range n.view.Replicas {
		if !heard[s.ID] {
			return false
		}
	}
	return true
}

// canReplaceVoter reports whether a control node with a new ID may replace a voter of the same name, which is silent or which an
// operator replaced.
func (n *Node) canReplaceVoter(m Member) bool {
	for _, v := range n.view.Voters {
		if n.replacedVoter(m) == v.ID && v.ID != m.ID {
			return true
		}
		if v.Name == m.Name && v.ID != m.ID && !n.view.HasReplica(v.ID) && !n.aliveWithin(v.ID, 3*n.opts.SuspectTimeoutUs) && n.nowUs-n.viewInstalledUs > n.opts.SuspectTimeoutUs {
			return true
		}
	}
	return false
}

func (n *Node) aliveWithin(id string, spanUs int64) bool {
	p := n.peers[id]
	return p != nil && n.nowUs-p.lastHelloUs < spanUs
}

// nextVoters returns the voters of the next view for an order of replicas; it changes at most one. A control node that replaces
// a lost one becomes a voter in the same view as it becomes a replica: between two separate views no second loss could be
// tolerated.
func (n *Node) nextVoters(order []Replica) (voters []Member, extra int, changed bool) {
	for _, s := range order {
		if n.view.IsVoter(s.ID) {
			for i, v := range n.view.Voters {
				if v.ID == s.ID && v.Addr != s.Addr {
					voters := append([]Member(nil), n.view.Voters...)
					voters[i] = s.Member
					return voters, 0, true
				}
			}
			continue
		}
		for i, v := range n.view.Voters {
			if v.Name == s.Name && (!n.view.HasReplica(v.ID) || n.replacedVoter(s.Member) == v.ID) {
				voters := append([]Member(nil), n.view.Voters...)
				voters[i] = s.Member
				return voters, 0, true
			}
		}
		if n.isBeingAdded(s.Member) {
			return append(append([]Member(nil), n.view.Voters...), s.Member), 0, true
		}
		if n.opts.AutoMembership {
			return n.autoVoters(s.Member)
		}
	}
	return nil, 0, false
}

// autoVoters makes a new replica a voter in place of a voter that is permanently silent, or in addition to the others. It changes
// nothing while a voter has been silent only for a short time.
func (n *Node) autoVoters(m Member) (voters []Member, extra int, changed bool) {
	if n.nowUs-n.startedUs < 3*n.opts.SuspectTimeoutUs {
		return nil, 0, false
	}
	p := n.peers[m.ID]
	isFirstStart := (p != nil && p.hello.FirstStart) || (m.ID == n.opts.Self.ID && n.opts.FirstStart)
	mustWait := false
	for i, v := range n.view.Voters {
		if isFirstStart || (n.view.HasReplica(v.ID) && !n.isMemberShuttingDown(v.ID)) {
			continue
		}
		if !n.isMemberShuttingDown(v.ID) && n.aliveWithin(v.ID, 3*n.opts.SuspectTimeoutUs) {
			mustWait = mustWait || !n.IsAlive(v.ID)
			continue
		}
		voters := append([]Member(nil), n.view.Voters...)
		voters[i] = m
		return voters, 0, true
	}
	if mustWait {
		return nil, 0, false
	}
	extra = 1
	if isFirstStart {
		extra = 0
	}
	return append(append([]Member(nil), n.view.Voters...), m), extra, true
}

// unreachableExtraVoter returns a silent voter that can be removed, as an extra voter was added beside it; "" if there is none.
func (n *Node) unreachableExtraVoter() string {
	if !n.opts.AutoMembership || n.nowUs-n.startedUs < 3*n.opts.SuspectTimeoutUs || n.view.ExtraVoters <= 0 || len(n.view.Voters) <= minVoters {
		return ""
	}
	for _, v := range n.view.Voters {
		if !n.view.HasReplica(v.ID) && !n.aliveWithin(v.ID, 3*n.opts.SuspectTimeoutUs) && n.nowUs-n.viewInstalledUs > n.opts.SuspectTimeoutUs {
			return v.ID
		}
	}
	return ""
}

// offerSnapshot sends a snapshot to a control node that wants to join. The tail does this, as it has applied every entry that
// was ever acknowledged.
func (n *Node) offerSnapshot() {
	if !n.IsTailReady(n.nowUs) || n.nowUs-n.snapshotOfferedUs < 2*n.opts.HelloIntervalUs+n.snapshotTransferUs() {
		return
	}
	for _, id := range n.peerIDs() {
		p := n.peers[id]
		if n.view.HasReplica(id) || !n.IsAlive(id) || p.hello.Phase == PhaseServing || p.hello.Stalled || p.hello.ShuttingDown {
			continue
		}
		eligible := n.canJoin(p.hello.Member)
		stale := p.hello.SnapshotIndex == 0 || p.hello.SnapshotIndex+uint64(n.opts.MaxRetainedEntries)/2 < n.commitIndex
		if !eligible || !stale || p.hello.View.Number != n.view.Number {
			continue
		}
		n.snapshotOfferedUs = n.nowUs
		n.send(p.hello.Member, Msg{InstallSnapshot: &InstallSnapshot{View: n.view.Number, Incarnation: p.hello.Incarnation, Snapshot: *n.currentSnapshot()}})
	}
}

func (n *Node) handleInstallSnapshot(m Msg, j InstallSnapshot) {
	tail := n.view.Tail()
	if n.isServing() || j.View != n.view.Number || j.Incarnation != n.opts.Incarnation || m.From.ID != tail.ID || m.Incarnation != tail.Incarnation {
		return
	}
	if n.phase == PhaseRestarted {
		n.phase = PhaseStandby
	}
	n.restoreSnapshot(j.Snapshot)
}
