package chain

// proposal is the state of a proposer that tries to have the next view decided.
type proposal struct {
	viewNumber uint64
	ballot     Ballot
	desired    View
	chosen     View
	promises   map[string]*AcceptedProposal
	acceptedBy map[string]bool
	preparing  bool
	startedUs  int64
	// dropIfUnneeded is set on a proposal that reacts to the condition of members. It is dropped if no change is needed any more
	// before a voter is asked to accept it.
	dropIfUnneeded bool
}
