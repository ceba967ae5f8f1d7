package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// reportIntervalUs is how often a listed replica is asked for its report, busyReportIntervalUs while a command is
	// pending there.
	reportIntervalUs     = 250 * clock.Ms
	busyReportIntervalUs = 50 * clock.Ms
	// unreachableAfterUs is how long after its last report a listed replica counts as unreachable.
	unreachableAfterUs = 1500 * clock.Ms
)

// replicaState is what a replica reported of itself, or what was concluded of its last order.
type replicaState struct {
	// addr is where it was asked; a listing with another address begins anew.
	addr string
	// report is its newest report.
	report wire.ReplicaState
	// reportedUs is when the report came; 0 before the first one.
	reportedUs int64
	// requestedUs is when it was last asked, newestRequestUs the request that the report answers.
	requestedUs, newestRequestUs int64
	// settledUs is when a command there was last settled; reports that were requested before it show an older state.
	settledUs int64
}

// replicaTracker keeps the newest report of each replica.
type replicaTracker struct {
	byID map[string]*replicaState
}

// reportedAs gives the state of a command's replica where it has reported as the incarnation that the command is for; else nil.
func (t *replicaTracker) reportedAs(command statemachine.ReplicaCommand) *replicaState {
	row := t.byID[command.Replica]
	if row == nil || row.reportedUs == 0 || row.report.Incarnation != command.Incarnation {
		return nil
	}
	return row
}

// hasAcknowledged says whether a command's replica has taken it or a later one.
func (t *replicaTracker) hasAcknowledged(command statemachine.ReplicaCommand) bool {
	row := t.reportedAs(command)
	return row != nil && row.report.LastOrder != nil && row.report.LastOrder.Number >= command.Number
}

// requestsDue gives the requests for reports of listed replicas that are due now.
func (t *replicaTracker) requestsDue(nowUs int64, s *statemachine.State, list *wire.ReplicaList) []ReportRequest {
	requests := []ReportRequest{}
	if list == nil {
		return requests
	}
	for _, listed := range list.Replicas {
		row := t.byID[listed.ID]
		if row == nil || row.addr != listed.Addr {
			row = &replicaState{addr: listed.Addr}
			t.byID[listed.ID] = row
		}
		intervalUs := reportIntervalUs
		if _, pending := s.Pending[listed.ID]; pending {
			intervalUs = busyReportIntervalUs
		}
		if nowUs-row.requestedUs >= intervalUs {
			row.requestedUs = nowUs
			requests = append(requests, ReportRequest{RequestedUs: nowUs, Replica: listed.ID, Addr: listed.Addr})
		}
	}
	return requests
}

// onReport takes a replica's report, unless a newer one came before; false where there is none or it is not valid.
func (t *replicaTracker) onReport(nowUs int64, report ReplicaReport) bool {
	row := t.byID[report.Replica]
	if row == nil || row.addr != report.Addr {
		row = &replicaState{addr: report.Addr, requestedUs: nowUs}
		t.byID[report.Replica] = row
	}
	if report.State == nil || report.State.ID != report.Replica || report.State.Incarnation == "" || !areValidHoldings(report.State.Loaded) {
		return false
	}
	if report.RequestedUs < row.newestRequestUs {
		return true
	}
	row.report, row.reportedUs, row.newestRequestUs = *report.State, nowUs, report.RequestedUs
	return true
}

// onOrderResult takes a replica's answer to an order: that it runs or is done counts as its newest report of it.
func (t *replicaTracker) onOrderResult(result OrderResult) {
	row := t.byID[result.Replica]
	if row == nil || row.report.Incarnation != result.Incarnation {
		return
	}
	if last := row.report.LastOrder; last == nil || last.Number < result.State.Number {
		state := result.State
		row.report.LastOrder = &state
	}
}

// hasOutcome says whether a replica's last order ends the command that is pending there.
func (t *replicaTracker) hasOutcome(s *statemachine.State, replica string) bool {
	command, pending := s.Pending[replica]
	row := t.byID[replica]
	if !pending || row == nil || row.report.LastOrder == nil || row.report.Incarnation != command.Incarnation {
		return false
	}
	return row.report.LastOrder.Number >= command.Number && row.report.LastOrder.State != wire.OrderRunning
}

// setOutcome records what became of a command as if its replica had reported it; settleCommands reads it there.
func (t *replicaTracker) setOutcome(command statemachine.ReplicaCommand, state, reason string) {
	row := t.byID[command.Replica]
	if row == nil {
		row = &replicaState{}
		t.byID[command.Replica] = row
	}
	row.report.Incarnation, row.report.ID, row.reportedUs = command.Incarnation, command.Replica, 1
	row.report.LastOrder = &wire.OrderState{Number: command.Number, Epoch: command.Epoch, State: state, Reason: reason}
}

// areValidHoldings says whether units are named once each and take no less than nothing, which would make room for too much.
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
