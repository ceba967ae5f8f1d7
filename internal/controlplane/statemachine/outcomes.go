package statemachine

import (
	"slices"

	"petreltide/internal/api/fault"
)

const (
	// MaxOutcomes bounds the remembered outcomes of configuration and membership changes. Operators resend a change within
	// minutes, and there are hundreds of changes a day.
	MaxOutcomes = 2_048
	// MaxEarlyRefusals bounds the refusals that are remembered because their base version may still come into force.
	MaxEarlyRefusals = 64
	// maxRememberedFaults bounds the individual faults listed in a remembered refusal.
	maxRememberedFaults = 16
)

// EarlyRefusal is the refusal of a change whose base version was not in force yet. A copy of the change may still be in
// flight, and must also be refused once the base version is in force.
type EarlyRefusal struct {
	// Base is the version that the change builds on.
	Base uint64 `json:"base"`
	// Outcome is the outcome that was returned for the change.
	Outcome Outcome `json:"outcome"`
}

// rememberedOutcome returns the remembered outcome of a change with the ID of c, or a refusal where that change had
// different content. It returns false where no outcome is remembered.
func (s *State) rememberedOutcome(c Change) (Outcome, bool) {
	out, seen := s.Outcomes[c.ID]
	for _, r := range s.EarlyRefusals {
		if !seen && r.Outcome.ID == c.ID {
			out, seen = r.Outcome, true
		}
	}
	out.Repeated = seen
	return out.ForContent(c.Digest), seen
}

// remember stores an outcome, with at most maxRememberedFaults faults, so that a resent change gets the same answer.
func (s *State) remember(out Outcome) {
	if f := out.Fault; f != nil && len(f.Faults) > maxRememberedFaults {
		short := *f
		short.Faults = slices.Clone(f.Faults[:maxRememberedFaults])
		out.Fault = &short
	}
	s.Outcomes[out.ID] = out
	s.OutcomeIDs = append(s.OutcomeIDs, out.ID)
	s.evictOldestOutcome()
}

// evictOldestOutcome drops the oldest outcome where more than MaxOutcomes are remembered. If that outcome is of an
// applied configuration change, ForgottenVersion is raised to the change's version or revision.
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

// refuseStaleBase returns the outcome of a change whose base is not the version or revision in force. number is the
// version or revision that the change would have produced.
//
// The refusal must be final, although copies of the change may have arrived before or may arrive later:
//   - A change with an older base can't be applied any more, as versions only increase. Whether it was applied before is
//     known as long as the remembered outcomes reach back to number; beyond that the outcome is in doubt.
//   - A change whose base is not in force yet is remembered as refused. Where MaxEarlyRefusals are remembered already,
//     the outcome is in doubt.
//   - A change whose number is not above its base can never be applied, so its refusal needs no record.
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

// dropPassedRefusals drops the early refusals whose base is below the current version or revision: their changes can't
// be applied any more.
func (s *State) dropPassedRefusals(current uint64) {
	if len(s.EarlyRefusals) == 0 {
		return
	}
	s.EarlyRefusals = slices.DeleteFunc(slices.Clone(s.EarlyRefusals), func(r EarlyRefusal) bool { return r.Base < current })
}
