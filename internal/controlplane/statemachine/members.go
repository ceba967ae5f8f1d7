package statemachine

import "petreltide/internal/api/fault"

// MemberAct is what is to happen to a member.
type MemberAct string

// The acts of a MemberChange.
const (
	AddMember     MemberAct = "add"
	ReplaceMember MemberAct = "replace"
	RemoveMember  MemberAct = "remove"
	CancelMember  MemberAct = "cancel"
	MemberDone    MemberAct = "done"
)

// MemberChange is an operator's order about one control node; ID is the identity that has to go. One at a
// time stands in the ledger until the view has carried it out.
type MemberChange struct {
	Act  MemberAct `json:"act"`
	Name string    `json:"name"`
	ID   string    `json:"id,omitempty"`
}

// applyMember keeps one order about members at a time, and remembers each like a configuration.
func (s *State) applyMember(out Outcome, c Change) Outcome {
	m := *c.Member
	if m.Act == MemberDone {
		if s.Member != nil && m.Name == s.MemberID {
			s.Member, s.MemberID = nil, ""
		}
		return out
	}
	if first, seen := s.Changes[c.ID]; seen {
		first.Again = true
		return first
	}
	switch {
	case m.Act == CancelMember && s.Member == nil:
		out.Fault = fault.New(fault.MembershipUnfit, "act", "no change of members is under way")
	case m.Act == CancelMember:
		s.Member, s.MemberID = nil, ""
	case s.Member != nil:
		out.Fault = fault.New(fault.MembershipUnfit, "act", "%s %s is under way; one change of members at a time", s.Member.Act, s.Member.Name)
	default:
		s.Member, s.MemberID = &m, c.ID
	}
	out.Revision, out.Member = s.Revision, true
	s.remember(out)
	return out
}
