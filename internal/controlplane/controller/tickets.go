package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// sendOrders sends what the ledger holds and the replica has not seen yet. The ticket keeps its
// number, so a replica that did see it answers with its state instead of doing it again.
func (c *Controller) sendOrders(snapshot Snapshot) {
	s := snapshot.State
	for _, id := range sortedKeys(s.Pending) {
		t := s.Pending[id]
		row := c.replicas[id]
		if row == nil || row.reportedUs == 0 || row.report.Incarnation != t.Incarnation {
			continue
		}
		if last := row.report.LastOrder; last != nil && last.Number >= t.Number {
			continue
		}
		sentUs, sent := c.orderUs[t.Number]
		if sent && snapshot.NowUs-sentUs < orderRetryUs {
			continue
		}
		c.orderUs[t.Number] = snapshot.NowUs
		c.emit(SendOrder{Addr: row.addr, Order: wire.Order{Command: t, Epoch: s.Epoch}})
	}
}

func (c *Controller) unconfirmedMb(s *statemachine.State) int64 {
	sumMb := c.issuingMb
	for _, t := range s.Pending {
		row := c.replicas[t.Replica]
		acknowledged := row != nil && row.reportedUs > 0 && row.report.Incarnation == t.Incarnation && row.report.LastOrder != nil && row.report.LastOrder.Number >= t.Number
		if t.Action == statemachine.Load && !acknowledged {
			sumMb += t.SizeMB
		}
	}
	return sumMb
}

// refillBudget brings the bucket up to now; what it may not hold any more must be gone before it is spent from.
func (c *Controller) refillBudget(snapshot Snapshot) {
	if snapshot.State.Doc != nil {
		c.bucket.Fill(snapshot.NowUs, snapshot.State.Doc.Store, c.unconfirmedMb(snapshot.State))
	}
}
