package controller

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// onPlatformListing takes the platform's list, unless it looks older or emptier than can be true.
func (c *Controller) onPlatformListing(nowUs int64, l PlatformListing) {
	switch {
	case l.List == nil:
		c.count(fault.PlatformInvalidAnswer)
	case c.list != nil && l.List.Version < c.list.Version && c.stales < maxBadListings:
		c.stales++
		c.count(fault.PlatformInvalidAnswer)
	case len(l.List.Replicas) == 0 && c.list != nil && len(c.list.Replicas) > 0 && c.empties < maxBadListings:
		c.empties++
		c.count(fault.PlatformInvalidAnswer)
	default:
		if !isValidListing(l.List) {
			c.count(fault.PlatformInvalidAnswer)
			return
		}
		c.empties, c.stales = 0, 0
		c.list, c.listAtUs = l.List, nowUs
	}
}

// isValidListing: a list in which anything is odd is not taken at all.
func isValidListing(list *wire.ReplicaList) bool {
	known := map[string]bool{}
	for _, r := range list.Replicas {
		if r.ID == "" || r.Addr == "" || r.CapacityMB <= 0 || r.Slots <= 0 || known[r.ID] {
			return false
		}
		known[r.ID] = true
	}
	return true
}

// areValidHoldings: what takes less than no room would make room for too much.
func areValidHoldings(holds []statemachine.ResidentUnit) bool {
	known := map[string]bool{}
	for _, h := range holds {
		if h.Unit == "" || h.SizeMB < 0 || known[h.Unit] {
			return false
		}
		known[h.Unit] = true
	}
	return true
}

// onDeclaredOrderResult takes a declared replica's answer to an order.
func (c *Controller) onDeclaredOrderResult(o OrderResult) {
	row := c.replicas[o.Replica]
	if o.State.State == wire.OrderInDoubt || o.State.State == wire.OrderBusy {
		return
	}
	if o.State.State == wire.OrderFailed {
		c.count(fault.CommandRejected)
		return
	}
	if row == nil || row.report.Incarnation != o.Incarnation {
		return
	}
	if last := row.report.LastOrder; last == nil || last.Number < o.State.Number {
		state := o.State
		row.report.LastOrder = &state
	}
}

// hasOutcome: the replica's word for its last order ends what the ledger holds as pending.
func (c *Controller) hasOutcome(s *statemachine.State, replica string) bool {
	t, pending := s.Pending[replica]
	row := c.replicas[replica]
	return pending && row != nil && row.report.LastOrder != nil && row.report.Incarnation == t.Incarnation && row.report.LastOrder.Number >= t.Number && row.report.LastOrder.State != wire.OrderRunning
}

// requestReports asks listed replicas for their reports, more often while an order is pending there.
func (c *Controller) requestReports(nowUs int64, s *statemachine.State) {
	if c.list == nil {
		return
	}
	for _, l := range c.list.Replicas {
		row := c.replicas[l.ID]
		if row == nil || row.addr != l.Addr {
			row = &replicaState{addr: l.Addr}
			c.replicas[l.ID] = row
		}
		spanUs := reportIntervalUs
		if _, pending := s.Pending[l.ID]; pending {
			spanUs = busyReportIntervalUs
		}
		if nowUs-row.requestedUs >= spanUs {
			row.requestedUs = nowUs
			c.emit(ReportRequest{RequestedUs: nowUs, Replica: l.ID, Addr: l.Addr})
		}
	}
}

// recordListing writes down what differs between the ledger and what the platform lists and replicas report.
func (c *Controller) recordListing(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	if c.list == nil {
		return
	}
	listed := map[string]bool{}
	for _, l := range c.list.Replicas {
		listed[l.ID] = true
		c.recordListedReplica(snapshot, l, update)
	}
	for _, id := range snapshot.State.ReplicaIDs() {
		if !listed[id] {
			update.RemovedReplicas = append(update.RemovedReplicas, id)
			delete(c.replicas, id)
		}
	}
}

// recordListedReplica compares one listed replica with the ledger, and writes down what differs. A replica whose incarnation was
// never heard is not written down yet.
func (c *Controller) recordListedReplica(snapshot Snapshot, l wire.ListedReplica, update *statemachine.LeaderUpdate) {
	row, have := c.replicas[l.ID], snapshot.State.Replicas[l.ID]
	leaving := l.State != wire.ListedReady
	n := statemachine.ReplicaUpdate{
		ID: l.ID, Addr: l.Addr, Zone: l.Zone, CapacityMB: l.CapacityMB, Slots: l.Slots, Draining: leaving, RemainingMs: leftMs(have, leaving, l.RemainingMs),
	}
	spoke := row != nil && row.reportedUs > 0
	n.Unreachable = spoke && snapshot.NowUs-row.reportedUs > unreachableAfterUs
	switch {
	case spoke && !n.Unreachable:
		n.Incarnation = row.report.Incarnation
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
		n.ResidentKnown, n.Resident = c.reportedHoldings(snapshot.State, have, row)
	}
	if differsFrom(have, n) || have.Incarnation != n.Incarnation {
		update.Replicas = append(update.Replicas, n)
	}
}

// reportedHoldings takes a replica's own word for its holdings, but only while no order is pending and
// its last order is the one the ledger settled, so that an old report undoes nothing.
func (c *Controller) reportedHoldings(s *statemachine.State, have *statemachine.Replica, row *replicaState) (bool, []statemachine.ResidentUnit) {
	if have == nil || have.Incarnation != row.report.Incarnation {
		return true, row.report.Loaded
	}
	if _, pending := s.Pending[have.ID]; pending || row.newestRequestUs <= row.settledUs {
		return false, nil
	}
	same := len(row.report.Loaded) == len(have.Resident)
	for _, h := range row.report.Loaded {
		if have.Resident[h.Unit] != h.SizeMB {
			same = false
		}
	}
	if same || (row.report.LastOrder != nil && row.report.LastOrder.State == wire.OrderRunning) {
		return false, nil
	}
	return true, row.report.Loaded
}

// settleTickets writes down the outcome of each pending ticket that its replica's last order tells.
func (c *Controller) settleTickets(nowUs int64, s *statemachine.State, update *statemachine.LeaderUpdate) {
	for _, id := range sortedKeys(s.Pending) {
		t := s.Pending[id]
		row := c.replicas[id]
		if row == nil || row.reportedUs == 0 || row.report.Incarnation != t.Incarnation || row.report.LastOrder == nil {
			continue
		}
		last := row.report.LastOrder
		switch {
		case last.Number == t.Number && last.State == wire.OrderDone:
			update.Results = append(update.Results, c.withResult(s, t, statemachine.CommandResult{Number: t.Number, Succeeded: true}))
		case last.Number == t.Number && last.State == wire.OrderFailed:
			c.count(fault.ReplicaFailed)
			update.Results = append(update.Results, c.withResult(s, t, statemachine.CommandResult{Number: t.Number, Reason: last.Reason}))
		case last.Number > t.Number:
			update.Results = append(update.Results, statemachine.CommandResult{Number: t.Number, Reason: "voided by a newer order"})
		default:
			continue
		}
		delete(c.orderUs, t.Number)
		row.settledUs = nowUs
		c.recordArrival(nowUs, t)
	}
}

// onDeclaredReplicaReport takes a declared replica's report.
func (c *Controller) onDeclaredReplicaReport(nowUs int64, t ReplicaReport) {
	row := c.replicas[t.Replica]
	if row == nil || row.addr != t.Addr {
		row = &replicaState{addr: t.Addr, requestedUs: nowUs}
		c.replicas[t.Replica] = row
	}
	if t.State == nil || t.State.ID != t.Replica || t.State.Incarnation == "" || !areValidHoldings(t.State.Loaded) {
		c.count(fault.ReplicaFailed)
		return
	}
	if t.RequestedUs < row.newestRequestUs {
		return
	}
	row.report, row.reportedUs, row.newestRequestUs = *t.State, nowUs, t.RequestedUs
}
