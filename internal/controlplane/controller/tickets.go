package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// orders sends what the ledger holds and the replica has not seen yet. The ticket keeps its
// number, so a replica that did see it answers with its state instead of doing it again.
func (f *Controller) orders(seen Seen) {
	s := seen.State
	for _, id := range sorted(s.Pending) {
		t := s.Pending[id]
		row := f.replicas[id]
		if row == nil || row.atUs == 0 || row.state.Incarnation != t.Incarnation {
			continue
		}
		if last := row.state.LastOrder; last != nil && last.Number >= t.Number {
			continue
		}
		sentUs, sent := f.orderUs[t.Number]
		if sent && seen.NowUs-sentUs < orderEveryUs {
			continue
		}
		f.orderUs[t.Number] = seen.NowUs
		f.do(Effect{Order: &Order{Addr: row.addr, Order: wire.Order{Command: t, Epoch: s.Epoch}}})
	}
}

func (f *Controller) unconfirmedMb(s *statemachine.State) int64 {
	sumMb := f.issuingMb
	for _, t := range s.Pending {
		row := f.replicas[t.Replica]
		seen := row != nil && row.atUs > 0 && row.state.Incarnation == t.Incarnation && row.state.LastOrder != nil && row.state.LastOrder.Number >= t.Number
		if t.Action == statemachine.Load && !seen {
			sumMb += t.SizeMb
		}
	}
	return sumMb
}

// fill brings the bucket up to now; what it may not hold any more must be gone before it is spent from.
func (f *Controller) fill(seen Seen) {
	if seen.State.Doc != nil {
		f.bucket.Fill(seen.NowUs, seen.State.Doc.Store, f.unconfirmedMb(seen.State))
	}
}
