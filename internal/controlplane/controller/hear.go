package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// listed takes the platform's list, unless it looks older or emptier than can be true.
func (f *Controller) listed(nowUs int64, l Listed) {
	switch {
	case l.List == nil:
		f.count(fault.PlatformInvalidAnswer)
	case f.list != nil && l.List.Version < f.list.Version && f.stales < emptyListMost:
		f.stales++
		f.count(fault.PlatformInvalidAnswer)
	case len(l.List.Replicas) == 0 && f.list != nil && len(f.list.Replicas) > 0 && f.empties < emptyListMost:
		f.empties++
		f.count(fault.PlatformInvalidAnswer)
	default:
		if !fitList(l.List) {
			f.count(fault.PlatformInvalidAnswer)
			return
		}
		f.empties, f.stales = 0, 0
		f.list, f.listAtUs = l.List, nowUs
	}
}

// fitList: a list in which anything is odd is not taken at all.
func fitList(list *wire.ReplicaList) bool {
	seen := map[string]bool{}
	for _, r := range list.Replicas {
		if r.ID == "" || r.Addr == "" || r.CapacityMB <= 0 || r.Slots <= 0 || seen[r.ID] {
			return false
		}
		seen[r.ID] = true
	}
	return true
}

// fitHoldings: what takes less than no room would make room for too much.
func fitHoldings(holds []statemachine.ResidentUnit) bool {
	seen := map[string]bool{}
	for _, h := range holds {
		if h.Unit == "" || h.SizeMb < 0 || seen[h.Unit] {
			return false
		}
		seen[h.Unit] = true
	}
	return true
}

// ordered takes a declared replica's answer to an order.
func (f *Controller) ordered(o Ordered) {
	row := f.replicas[o.Replica]
	if o.State.State == wire.OrderInDoubt || o.State.State == wire.OrderBusy {
		return
	}
	if o.State.State == wire.OrderFailed {
		f.count(fault.CommandRejected)
		return
	}
	if row == nil || row.state.Incarnation != o.Incarnation {
		return
	}
	if last := row.state.LastOrder; last == nil || last.Number < o.State.Number {
		state := o.State
		row.state.LastOrder = &state
	}
}

// settles: the replica's word for its last order ends what the ledger holds as pending.
func (f *Controller) settles(s *statemachine.State, replica string) bool {
	t, pending := s.Pending[replica]
	row := f.replicas[replica]
	return pending && row != nil && row.state.LastOrder != nil && row.state.Incarnation == t.Incarnation && row.state.LastOrder.Number >= t.Number && row.state.LastOrder.State != wire.OrderRunning
}

// askReplicas asks listed replicas for their reports, more often while an order is pending there.
func (f *Controller) askReplicas(nowUs int64, s *statemachine.State) {
	if f.list == nil {
		return
	}
	for _, l := range f.list.Replicas {
		row := f.replicas[l.ID]
		if row == nil || row.addr != l.Addr {
			row = &told{addr: l.Addr}
			f.replicas[l.ID] = row
		}
		spanUs := askEveryUs
		if _, pending := s.Pending[l.ID]; pending {
			spanUs = askBusyUs
		}
		if nowUs-row.askedUs >= spanUs {
			row.askedUs = nowUs
			f.do(Effect{Ask: &Ask{AskedUs: nowUs, Replica: l.ID, Addr: l.Addr}})
		}
	}
}

// noteFleet writes down what differs between the ledger and what the platform lists and replicas report.
func (f *Controller) noteFleet(seen Seen, update *statemachine.LeaderUpdate) {
	if f.list == nil {
		return
	}
	listed := map[string]bool{}
	for _, l := range f.list.Replicas {
		listed[l.ID] = true
		f.noteListed(seen, l, update)
	}
	for _, id := range seen.State.ReplicaIDs() {
		if !listed[id] {
			update.RemovedReplicas = append(update.RemovedReplicas, id)
			delete(f.replicas, id)
		}
	}
}

// noteListed compares one listed replica with the ledger, and writes down what differs. A replica whose incarnation was
// never heard is not written down yet.
func (f *Controller) noteListed(seen Seen, l wire.ListedReplica, update *statemachine.LeaderUpdate) {
	row, have := f.replicas[l.ID], seen.State.Replicas[l.ID]
	leaving := l.State != wire.ListedReady
	n := statemachine.ReplicaUpdate{
		ID: l.ID, Addr: l.Addr, Zone: l.Zone, CapacityMb: l.CapacityMB, Slots: l.Slots, Draining: leaving, RemainingMs: leftMs(have, leaving, l.RemainingMs),
	}
	spoke := row != nil && row.atUs > 0
	n.Unreachable = spoke && seen.NowUs-row.atUs > unreachableAfterUs
	switch {
	case spoke && !n.Unreachable:
		n.Incarnation = row.state.Incarnation
	case have != nil && have.Addr == l.Addr:
		n.Incarnation = have.Incarnation
	}
	if have == nil && n.Incarnation == "" {
		return
	}
	if have != nil && n.Incarnation == "" {
		n.Incarnation = have.Incarnation
		n.Unreachable = true
	}
	if have != nil && !spoke {
		n.Unreachable = have.Unreachable
	}
	if spoke && !n.Unreachable {
		n.ResidentKnown, n.Resident = f.retold(seen.State, have, row)
	}
	if rowDiffers(have, n) || have.Incarnation != n.Incarnation {
		update.Replicas = append(update.Replicas, n)
	}
}

// retold takes a replica's own word for its holdings, but only while no order is pending and
// its last order is the one the ledger settled, so that an old report undoes nothing.
func (f *Controller) retold(s *statemachine.State, have *statemachine.Replica, row *told) (bool, []statemachine.ResidentUnit) {
	if have == nil || have.Incarnation != row.state.Incarnation {
		return true, row.state.Loaded
	}
	if _, pending := s.Pending[have.ID]; pending || row.heardUs <= row.movedUs {
		return false, nil
	}
	same := len(row.state.Loaded) == len(have.Resident)
	for _, h := range row.state.Loaded {
		if have.Resident[h.Unit] != h.SizeMb {
			same = false
		}
	}
	if same || (row.state.LastOrder != nil && row.state.LastOrder.State == wire.OrderRunning) {
		return false, nil
	}
	return true, row.state.Loaded
}

// settle writes down the outcome of each pending ticket that its replica's last order tells.
func (f *Controller) settle(nowUs int64, s *statemachine.State, update *statemachine.LeaderUpdate) {
	for _, id := range sorted(s.Pending) {
		t := s.Pending[id]
		row := f.replicas[id]
		if row == nil || row.atUs == 0 || row.state.Incarnation != t.Incarnation || row.state.LastOrder == nil {
			continue
		}
		last := row.state.LastOrder
		switch {
		case last.Number == t.Number && last.State == wire.OrderDone:
			update.Results = append(update.Results, f.withResult(s, t, statemachine.CommandResult{Number: t.Number, Succeeded: true}))
		case last.Number == t.Number && last.State == wire.OrderFailed:
			f.count(fault.ReplicaFailed)
			update.Results = append(update.Results, f.withResult(s, t, statemachine.CommandResult{Number: t.Number, Reason: last.Reason}))
		case last.Number > t.Number:
			update.Results = append(update.Results, statemachine.CommandResult{Number: t.Number, Reason: "voided by a newer order"})
		default:
			continue
		}
		delete(f.orderUs, t.Number)
		row.movedUs = nowUs
		f.came(nowUs, t)
	}
}

// told takes a declared replica's report.
func (f *Controller) told(nowUs int64, t Told) {
	row := f.replicas[t.Replica]
	if row == nil || row.addr != t.Addr {
		row = &told{addr: t.Addr, askedUs: nowUs}
		f.replicas[t.Replica] = row
	}
	if t.State == nil || t.State.ID != t.Replica || t.State.Incarnation == "" || !fitHoldings(t.State.Loaded) {
		f.count(fault.ReplicaFailed)
		return
	}
	if t.AskedUs < row.heardUs {
		return
	}
	row.state, row.atUs, row.heardUs = *t.State, nowUs, t.AskedUs
}
