package chain

// Ballot is a Paxos ballot number. Ballots order the attempts to decide the next view.
type Ballot struct {
	Round    uint64 `json:"round"`
	Proposer string `json:"by"`
}

// Less orders ballots by round, then by proposer.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// AcceptedProposal is the next view that a voter has accepted, with its ballot.
type AcceptedProposal struct {
	Ballot Ballot `json:"ballot"`
	View   View   `json:"view"`
}
