package chain

// vote is the answer of one voter to a proposal.
type vote struct {
	// accepted is the proposal that the voter had accepted before; nil if it had accepted none, and in an answer to an Accept.
	accepted *AcceptedProposal
	// heard are the other voters that it had heard recently.
	heard []string
}

// proposal is the state of a proposer that tries to have the next view decided.
type proposal struct {
	viewNumber  uint64
	ballot      Ballot
	desired     View
	chosen      View
	promises    map[string]vote
	acceptances map[string]vote
	preparing   bool
	evidence    lossEvidence
	startedUs   int64
	// dropIfUnneeded is set on a proposal that reacts to the condition of members. It is dropped if no change is needed any more
	// before a voter is asked to accept it.
	dropIfUnneeded bool
}
