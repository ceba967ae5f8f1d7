package statemachine

import "petreltide/internal/api/fault"

// MembershipAction is what a MembershipChange does to a control node.
type MembershipAction string

// The actions of a MembershipChange. MembershipDone is issued by the system itself once the chain's view reflects the
// change.
const (
	AddMember        MembershipAction = "add"
	ReplaceMember    MembershipAction = "replace"
	RemoveMember     MembershipAction = "remove"
	CancelMembership MembershipAction = "cancel"
	MembershipDone   MembershipAction = "done"
)

// MembershipChange is an operator's change of one control node. The state holds at most one, until the chain's view
// reflects it.
type MembershipChange struct {
	Action MembershipAction `json:"act"`
	// Name is the name of the control node; for MembershipDone, the ID of the change that is complete.
	Name string `json:"name"`
	// ID is the member ID to remove; empty where the change removes none.
	ID string `json:"id,omitempty"`
}

// applyMembership accepts a membership change while no other is in progress. It remembers every outcome, as for
// configuration changes, except that of MembershipDone.
func (s *State) applyMembership(out Outcome, c Change) Outcome {
	change := *c.Membership
	if change.Action == MembershipDone {
		if s.Membership != nil && change.Name == s.MembershipID {
			s.Membership, s.MembershipID = nil, ""
		}
		return out
	}
	if first, seen := s.rememberedOutcome(c); seen {
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
