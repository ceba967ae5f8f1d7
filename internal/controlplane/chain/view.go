package chain

// Member is a control node by the identity that its disk holds; a new disk is another member.
type Member struct {
	ID   string `json:"id"`
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
}

// Replica is a place in the order of a view, held by one process of a member: one that restarts has lost it.
type Replica struct {
	Member
	Incarnation string `json:"inc"`
}

// View says, under a number, who votes on the next view and which processes hold the log, head first.
type View struct {
	Number   uint64    `json:"number"`
	Voters   []Member  `json:"voters"`
	Replicas []Replica `json:"order"`
	// ExtraVoters counts the voters that control nodes took in by themselves beside those that were there: as many
	// votes of silent ones may be dropped.
	ExtraVoters int `json:"extra,omitempty"`
	// System names the chain: whoever founded another one is foreign. It is empty in chains founded before it was kept.
	System string `json:"system,omitempty"`
}

// Head is the seat that takes writes; a zero one where the view has no seats.
func (v View) Head() Replica {
	if len(v.Replicas) == 0 {
		return Replica{}
	}
	return v.Replicas[0]
}

// Tail is the seat that acknowledges and answers; a zero one where the view has no seats.
func (v View) Tail() Replica {
	if len(v.Replicas) == 0 {
		return Replica{}
	}
	return v.Replicas[len(v.Replicas)-1]
}

// Position is where in the order a process has its seat, -1 if it has none.
func (v View) Position(id, incarnation string) int {
	for i, s := range v.Replicas {
		if s.ID == id && s.Incarnation == incarnation {
			return i
		}
	}
	return -1
}

// HasReplica says that some process of this member has a seat.
func (v View) HasReplica(id string) bool {
	for _, s := range v.Replicas {
		if s.ID == id {
			return true
		}
	}
	return false
}

// IsVoter says that this member is a voter of the view.
func (v View) IsVoter(id string) bool {
	for _, m := range v.Voters {
		if m.ID == id {
			return true
		}
	}
	return false
}

// QuorumSize of view 0, the founding, is everybody.
func (v View) QuorumSize() int {
	if v.Number == 0 {
		return len(v.Voters)
	}
	return len(v.Voters)/2 + 1
}
