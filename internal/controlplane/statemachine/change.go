package statemachine

// Change is the payload of one log entry. At most one of its pointers is set; a change with none set advances only the
// state's index.
type Change struct {
	// ID identifies the change to the caller that waits for its outcome. A configuration or membership change that is
	// resent keeps its ID.
	ID string `json:"id"`
	// Digest is the digest of the request that carried the change, so that a different request with the same ID is refused.
	// It is empty where the ID itself is derived from the content.
	Digest string `json:"digest,omitempty"`
	// Origin is the address of the control node that accepted the change and answers its sender; empty where no sender waits.
	Origin string `json:"origin,omitempty"`
	// Epoch is the fencing token of a Claim or a LeaderUpdate; 0 in all other changes.
	Epoch uint64 `json:"epoch,omitempty"`

	Config       *ConfigChange     `json:"config,omitempty"`
	Claim        *Claim            `json:"claim,omitempty"`
	LeaderUpdate *LeaderUpdate     `json:"duty,omitempty"`
	Key          *KeyChange        `json:"key,omitempty"`
	Membership   *MembershipChange `json:"member,omitempty"`
	Departure    *Departure        `json:"departure,omitempty"`
}

// Apply applies the change in the log entry at index and returns its outcome. The caller applies every entry exactly
// once, in log order.
func (s *State) Apply(index uint64, c Change) Outcome {
	s.Index = index
	out := Outcome{ID: c.ID, Index: index, Digest: c.Digest}
	switch {
	case c.Config != nil:
		out = s.applyConfig(out, c)
	case c.Claim != nil:
		s.applyClaim(&out, c)
	case c.LeaderUpdate != nil:
		s.applyLeaderUpdate(&out, c)
	case c.Key != nil:
		s.applyKey(&out, c.Key)
	case c.Membership != nil:
		out = s.applyMembership(out, c)
	case c.Departure != nil:
		s.applyDeparture(*c.Departure)
	}
	if out.Fault != nil {
		s.RefusalCounts[out.Fault.Code]++
	}
	for _, f := range out.Faults {
		s.RefusalCounts[f.Code]++
	}
	return out
}
