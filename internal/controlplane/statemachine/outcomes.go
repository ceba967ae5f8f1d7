package statemachine

import (
	"slices"

	"petreltide/internal/api/fault"
)

// MaxEarlyRefusals bounds the refusals that are remembered because the version they build on may still come.
const MaxEarlyRefusals = 64

// EarlyRefusal is an order that was refused because the version it builds on was not in force yet. A copy of it may
// still be under way, and must stay refused once that version is in force.
type EarlyRefusal struct {
	Base    uint64  `json:"base"`
	Outcome Outcome `json:"outcome"`
}

// rememberedOutcome is what an order with this id got before; false where it is not remembered.
func (s *State) rememberedOutcome(id string) (Outcome, bool) {
	if out, seen := s.Outcomes[id]; seen {
		out.Repeated = true
		return out, true
	}
	for _, r := range s.EarlyRefusals {
		if r.Outcome.ID == id {
			out := r.Outcome
			out.Repeated = true
			return out, true
		}
	}
	return Outcome{}, false
}

// refuseStaleBase is the answer to an order that does not build on what is in force. number is what the order's version
// would be, had it been taken.
//
// The refusal must hold for good, though copies of the order may have come before or may come later. An order that
// builds on an older version can't be taken any more, as versions only rise. Whether it was taken once is known as
// long as the memory of taken orders reaches back to its number, and is left in doubt otherwise. An order that
// builds on a version that is still to come is remembered as refused.
func (s *State) refuseStaleBase(out Outcome, base, current, number uint64) Outcome {
	out.Fault = fault.New(fault.StaleBase, "base", "based on %d, current is %d", base, current)
	out.Fault.Revision = current
	switch {
	case number <= base:
		return out
	case base < current && number <= s.ForgottenVersion:
		out.Fault = fault.New(fault.InDoubt, "", "version %d is older than the orders that are remembered; read what is in force", number)
	case base > current && len(s.EarlyRefusals) >= MaxEarlyRefusals:
		out.Fault = fault.New(fault.InDoubt, "", "based on %d, which is not in force yet", base)
	case base > current:
		s.EarlyRefusals = append(slices.Clone(s.EarlyRefusals), EarlyRefusal{Base: base, Outcome: out})
	}
	return out
}

// dropPassedRefusals forgets the refusals whose base has been passed: they can't be taken any more.
func (s *State) dropPassedRefusals(current uint64) {
	if len(s.EarlyRefusals) == 0 {
		return
	}
	s.EarlyRefusals = slices.DeleteFunc(slices.Clone(s.EarlyRefusals), func(r EarlyRefusal) bool { return r.Base < current })
}

// evictOldestOutcome drops the oldest remembered outcome beyond the bound, and keeps the number of a change that was taken.
func (s *State) evictOldestOutcome() {
	if len(s.OutcomeIDs) <= MaxOutcomes {
		return
	}
	oldest := s.Outcomes[s.OutcomeIDs[0]]
	if oldest.Fault == nil && !oldest.IsMembership {
		s.ForgottenVersion = max(s.ForgottenVersion, oldest.Revision)
	}
	delete(s.Outcomes, s.OutcomeIDs[0])
	s.OutcomeIDs = s.OutcomeIDs[1:]
}
