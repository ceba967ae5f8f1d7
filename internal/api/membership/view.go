package membership

// MaxNumber bounds the numbers of views and the rounds of ballots in messages: whatever is taken up can be followed by
// a higher one. A chain that changes its view a thousand times a second takes longer than a hundred million years.
const MaxNumber = 1 << 62

// View says, under a number, who votes on the next view and which processes hold the log, head first.
type View struct {
	// Number rises with each view; 0 is the founding of the chain.
	Number uint64 `json:"number"`
	// Voters decide the next view.
	Voters []Member `json:"voters"`
	// Replicas are the processes that hold the log, from the head to the tail.
	Replicas []ChainReplica `json:"order"`
	// ExtraVoters counts the voters that control nodes took in by themselves beside those that were there: as many
	// votes of silent ones may be dropped.
	ExtraVoters int `json:"extra,omitempty"`
	// System names the chain: whoever founded another one is foreign. It is empty in chains founded before it was kept.
	System string `json:"system,omitempty"`
}

// Head is the seat that takes writes; a zero one where the view has no seats.
func (v View) Head() ChainReplica {
	if len(v.Replicas) == 0 {
		return ChainReplica{}
	}
	return v.Replicas[0]
}

// Tail is the seat that acknowledges and answers; a zero one where the view has no seats.
func (v View) Tail() ChainReplica {
	if len(v.Replicas) == 0 {
		return ChainReplica{}
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

// IsValid says whether a view that was received can be taken up: every member has an identity and is named once. A view may be named by its number alone.
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
	return true
}
