package chain

// proposal is an attempt of this member to have the next view decided.
type proposal struct {
	viewNumber uint64
	ballot     Ballot
	desired    View
	chosen     View
	promises   map[string]*AcceptedProposal
	acceptedBy map[string]bool
	preparing  bool
	startedUs  int64
	// dropIfUnneeded: it is for what was wrong with members, and is dropped where that is over before anybody accepts it.
	dropIfUnneeded bool
}
