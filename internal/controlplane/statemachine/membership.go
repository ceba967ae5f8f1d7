package statemachine

import "petreltide/internal/api/fault"

// MembershipAction is what is to happen to a member.
type MembershipAction string

// The acts of a MembershipChange.
const (
	AddMember        MembershipAction = "add"
	ReplaceMember    MembershipAction = "replace"
	RemoveMember     MembershipAction = "remove"
	CancelMembership MembershipAction = "cancel"
	MembershipDone   MembershipAction = "done"
)

// MembershipChange is an operator's order about one control node; ID is the identity that has to go. One at a
// time stands in the ledger until the view has carried it out.
type MembershipChange struct {
	Action MembershipAction `json:"act"`
	Name   string           `json:"name"`
	ID     string           `json:"id,omitempty"`
}

// applyMembership keeps one order about members at a time, and remembers each like a configuration.
func (s *State) applyMembership(out Outcome, c Change) Outcome {
	change := *c.Membership
	if change.Action == MembershipDone {
		if s.Membership != nil && change.Name == s.MembershipID {
			s.Membership, s.MembershipID = nil, ""
		}
		return out
	}
	if first, seen := s.Outcomes[c.ID]; seen {
		first.Repeated = true
		return first
	}
	switch {
	case change.Action == CancelMembership && s.Membership == nil:
		out.Fault = fault.New(fault.MembershipMismatch, "act", "no change of members is under way")
	case change.Action == CancelMembership:
		s.Membership, s.MembershipID = nil, ""
	case s.Membership != nil:
		out.Fault = fault.New(fault.MembershipMismatch, "act", "%s %s is under way; one change of members at a time", s.Membership.Action, s.Membership.Name)
	default:
		s.Membership, s.MembershipID = &change, c.ID
	}
	out.Revision, out.IsMembership = s.Revision, true
	s.remember(out)
	return out
}
