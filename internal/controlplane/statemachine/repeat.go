package statemachine

import (
	"slices"

	"petreltide/internal/api/fault"
)

// AheadMost bounds the refusals that are remembered because the version they build on may still come.
const AheadMost = 64

// RefusedAhead is an order that was refused because the version it builds on was not in force yet. A copy of it may
// still be under way, and must stay refused once that version is in force.
type RefusedAhead struct {
	Base    uint64  `json:"base"`
	Outcome Outcome `json:"outcome"`
}

// earlierOutcome is what an order with this id got before; false where it is not remembered.
func (s *State) earlierOutcome(id string) (Outcome, bool) {
	if out, seen := s.Changes[id]; seen {
		out.Again = true
		return out, true
	}
	for _, r := range s.Ahead {
		if r.Outcome.ID == id {
			out := r.Outcome
			out.Again = true
			return out, true
		}
	}
	return Outcome{}, false
}

// staleBase is the answer to an order that does not build on what is in force. number is what the order's version
// would be, had it been taken.
//
// The refusal must hold for good, though copies of the order may have come before or may come later. An order that
// builds on an older version can't be taken any more, as versions only rise. Whether it was taken once is known as
// long as the memory of taken orders reaches back to its number, and is left in doubt otherwise. An order that
// builds on a version that is still to come is remembered as refused.
func (s *State) staleBase(out Outcome, base, current, number uint64) Outcome {
	out.Fault = fault.New(fault.StaleBase, "base", "based on %d, current is %d", base, current)
	out.Fault.Revision = current
	switch {
	case number <= base:
		return out
	case base < current && number <= s.Forgotten:
		out.Fault = fault.New(fault.InDoubt, "", "version %d is older than the orders that are remembered; read what is in force", number)
	case base > current && len(s.Ahead) >= AheadMost:
		out.Fault = fault.New(fault.InDoubt, "", "based on %d, which is not in force yet", base)
	case base > current:
		s.Ahead = append(slices.Clone(s.Ahead), RefusedAhead{Base: base, Outcome: out})
	}
	return out
}

// dropPassed forgets the refusals whose base has been passed: they can't be taken any more.
func (s *State) dropPassed(current uint64) {
	if len(s.Ahead) == 0 {
		return
	}
	s.Ahead = slices.DeleteFunc(slices.Clone(s.Ahead), func(r RefusedAhead) bool { return r.Base < current })
}

// forgetOldest drops the oldest remembered outcome beyond the bound, and keeps the number of a change that was taken.
func (s *State) forgetOldest() {
	if len(s.ChangeIDs) <= ChangesMost {
		return
	}
	oldest := s.Changes[s.ChangeIDs[0]]
	if oldest.Fault == nil && !oldest.Member {
		s.Forgotten = max(s.Forgotten, oldest.Revision)
	}
	delete(s.Changes, s.ChangeIDs[0])
	s.ChangeIDs = s.ChangeIDs[1:]
}
