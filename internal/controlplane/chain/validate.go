package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/membership"
)

// validate returns the fault of a malformed message, which no control node sends. Adopting its content would leave no successor
// (a view number or ballot that nothing can exceed), or would persist content that cannot be read back.
func (m Msg) validate() *fault.Fault {
	bad := func(field string) *fault.Fault {
		return fault.New(fault.BadField, field, "a malformed message from %s at %s", m.From.ID, m.From.Addr)
	}
	for _, v := range m.carriedViews() {
		if !v.IsValid() {
			return bad("view")
		}
	}
	for _, b := range m.carriedBallots() {
		if b.Round >= membership.MaxNumber {
			return bad("ballot")
		}
	}
	for _, c := range m.carriedSnapshots() {
		if c.State == nil || !c.State.WellFormed() {
			return bad("copy")
		}
	}
	if a := m.Accept; a != nil && (a.View.Number != a.Number || len(a.View.Voters) == 0 || len(a.View.Replicas) == 0) {
		return bad("view")
	}
	return nil
}

// carriedBallots returns all ballots in a message that its receiver may adopt.
func (m Msg) carriedBallots() (all []Ballot) {
	switch {
	case m.Hello != nil:
		all = append(all, m.Hello.PromisedBallot)
		if m.Hello.AcceptedProposal != nil {
			all = append(all, m.Hello.AcceptedProposal.Ballot)
		}
	case m.Prepare != nil:
		all = append(all, m.Prepare.Ballot)
	case m.Promise != nil:
		all = append(all, m.Promise.PromisedBallot)
		if m.Promise.AcceptedProposal != nil {
			all = append(all, m.Promise.AcceptedProposal.Ballot)
		}
	case m.Accept != nil:
		all = append(all, m.Accept.Ballot)
	}
	return all
}

func (m Msg) carriedSnapshots() (all []Snapshot) {
	if m.InstallSnapshot != nil {
		all = append(all, m.InstallSnapshot.Snapshot)
	}
	if m.Forward != nil && m.Forward.Snapshot != nil {
		all = append(all, *m.Forward.Snapshot)
	}
	return all
}
