package chain

// Ballot orders the attempts to decide the next view.
type Ballot struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"by"`
}

// Less orders ballots by round, then by who began them.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// AcceptedProposal is the next view that a voter has accepted, and the ballot under which it did.
type AcceptedProposal struct {
	Ballot Ballot `json:"ballot"`
	View   View   `json:"view"`
}
