package membership

// MaxNumber is the exclusive upper bound of view numbers and ballot rounds in messages, so that any accepted number can be
// followed by a higher one. A chain that changes its view a thousand times a second needs more than a hundred million
// years to reach it.
const MaxNumber = 1 << 62

// View is a numbered configuration of the chain: the members that vote on the next view, and the processes that hold the
// log, head first.
type View struct {
	// Number increases with each view; 0 is the founding view of the chain.
	Number uint64 `json:"number"`
	// Voters decide on the next view.
	Voters []Member `json:"voters"`
	// Replicas are the processes that hold the log, from the head to the tail.
	Replicas []ChainReplica `json:"order"`
	// ExtraVoters is the number of voters that control nodes added by themselves to the existing ones. As many silent
	// voters may be removed.
	ExtraVoters int `json:"extra,omitempty"`
	// TieBreaker is the ID of the voter that makes half of the voters a quorum, where their number is even; "" if there is none. This is
	// the distinguished site of dynamic-linear voting (Jajodia and Mutchler, 1990).
	TieBreaker string `json:"tieBreaker,omitempty"`
	// System identifies the chain; a member that founded another chain is foreign. It is empty in chains that were founded
	// before this field was stored.
	System string `json:"system,omitempty"`
}

// Head returns the replica that accepts writes, or the zero value if the view has no replicas.
func (v View) Head() ChainReplica {
	if len(v.Replicas) == 0 {
		return ChainReplica{}
	}
	return v.Replicas[0]
}

// Tail returns the replica that acknowledges writes and answers queries, or the zero value if the view has no replicas.
func (v View) Tail() ChainReplica {
	if len(v.Replicas) == 0 {
		return ChainReplica{}
	}
	return v.Replicas[len(v.Replicas)-1]
}

// Position returns the index of a process in the order of replicas, or -1 if it is not among them.
func (v View) Position(id, incarnation string) int {
	for i, s := range v.Replicas {
		if s.ID == id && s.Incarnation == incarnation {
			return i
		}
	}
	return -1
}

// HasReplica reports whether a process of this member is among the replicas.
func (v View) HasReplica(id string) bool {
	for _, s := range v.Replicas {
		if s.ID == id {
			return true
		}
	}
	return false
}

// IsVoter reports whether this member is a voter of the view.
func (v View) IsVoter(id string) bool {
	for _, m := range v.Voters {
		if m.ID == id {
			return true
		}
	}
	return false
}

// IsQuorum reports whether the voters for which a predicate holds form a quorum for the decision on the next view: a majority, half
// of the voters with the TieBreaker among them, or all voters in view 0, the founding view. Any two quorums of a view have a voter
// in common.
func (v View) IsQuorum(holds func(id string) bool) bool {
	return v.IsMajority(holds) || (v.Number > 0 && v.IsHalf(holds) && v.IsVoter(v.TieBreaker) && holds(v.TieBreaker))
}

// IsMajority reports whether a predicate holds for more than half of the voters, or for all of them in view 0, the founding view.
func (v View) IsMajority(holds func(id string) bool) bool {
	count := v.countVoters(holds)
	if v.Number == 0 {
		return count > 0 && count == len(v.Voters)
	}
	return 2*count > len(v.Voters)
}

// IsHalf reports whether a predicate holds for exactly half of the voters.
func (v View) IsHalf(holds func(id string) bool) bool {
	count := v.countVoters(holds)
	return count > 0 && 2*count == len(v.Voters)
}

// countVoters returns for how many voters a predicate holds.
func (v View) countVoters(holds func(id string) bool) int {
	count := 0
	for _, m := range v.Voters {
		if holds(m.ID) {
			count++
		}
	}
	return count
}

// LeaseQuorumSize returns the number of voters that grant a lease of the tail: a majority, or all voters in view 0. The TieBreaker
// does not count here: a lease has to meet the quorums of the next view as well, from which a voter may be missing.
func (v View) LeaseQuorumSize() int {
	if v.Number == 0 {
		return len(v.Voters)
	}
	return len(v.Voters)/2 + 1
}

// IsValid reports whether a received view can be adopted: every member has an ID and is listed at most once among the
// voters and among the replicas, the tie-breaker is a voter, and the numbers are in range. A view may consist of its number alone.
func (v View) IsValid() bool {
	if v.Number >= MaxNumber || v.ExtraVoters < 0 {
		return false
	}
	votes, seats := map[string]bool{}, map[string]bool{}
	for _, m := range v.Voters {
		if m.ID == "" || votes[m.ID] {
			return false
		}
		votes[m.ID] = true
	}
	for _, s := range v.Replicas {
		if s.ID == "" || seats[s.ID] {
			return false
		}
		seats[s.ID] = true
	}
	return v.TieBreaker == "" || votes[v.TieBreaker]
}
