package placement

import (
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/standing"
)

// CheckRouted takes or refuses each proposal for services with engines, against a running account of
// room, places, pending orders and what the store still gives.
func CheckRouted(s *ledger.State, storeLeft int, proposals []Proposal) (tickets []ledger.Ticket, verdicts []Verdict) {
	taken := map[string]bool{}
	for _, p := range proposals {
		t, f := checkRouted(s, p, taken, &storeLeft)
		verdicts = append(verdicts, Verdict{Proposal: p, Fault: f})
		if f == nil {
			taken[p.Replica] = true
			tickets = append(tickets, t)
		}
	}
	return tickets, verdicts
}

func checkRouted(s *ledger.State, p Proposal, taken map[string]bool, storeLeft *int) (ledger.Ticket, *fault.Fault) {
	none := ledger.Ticket{}
	r := s.Replicas[p.Replica]
	if r == nil || r.Service == "" {
		return none, fault.New(fault.ReplicaUnknown, p.Replica, "no such replica of a service with an engine")
	}
	if _, pending := s.Pending[p.Replica]; pending || taken[p.Replica] {
		return none, fault.New(fault.ReplicaBusy, p.Replica, "an order is pending")
	}
	heldMb, held := r.Holds[p.Unit]
	t := ledger.Ticket{Revision: s.Revision, Replica: r.ID, Inc: r.Inc, Step: p.Step, Unit: p.Unit, Why: p.Why}
	switch p.Step {
	case ledger.Unload:
		if !held {
			return none, fault.New(fault.NotHeld, p.Replica, "%s is not held", p.Unit)
		}
		t.SizeMb = heldMb
		return t, nil
	case ledger.Load:
	default:
		return none, fault.New(fault.PolicyNonsense, p.Replica, "no such step %q", p.Step)
	}
	if r.Leaving || r.Dark {
		return none, fault.New(fault.ReplicaLeaving, p.Replica, "it is leaving or dark")
	}
	if held {
		return none, fault.New(fault.AlreadyHeld, p.Replica, "%s is already held", p.Unit)
	}
	sizeMb, _, known := s.Doc.EngineUnitMb(r.Service, p.Unit)
	if !known {
		return none, fault.New(fault.PolicyNonsense, p.Unit, "no such model or adapter")
	}
	if takenMb := s.TakenMb(r.ID); takenMb+sizeMb > r.RoomMb {
		return none, fault.New(fault.NoRoom, p.Replica, "%s takes %d MB, %d of %d MB are taken", p.Unit, sizeMb, takenMb, r.RoomMb)
	}
	if _, adapter := standing.Units(p.Unit); adapter == "" && !r.Had[p.Unit] {
		if *storeLeft <= 0 {
			return none, fault.New(fault.StoreRate, p.Replica, "the store gives nothing more now")
		}
		*storeLeft--
	}
	t.SizeMb = sizeMb
	return t, nil
}
