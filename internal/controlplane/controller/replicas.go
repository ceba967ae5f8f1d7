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

// stateFor gives the state of a command's replica where it has reported as the incarnation that the command is for; else nil.
func (t *replicaTracker) stateFor(command statemachine.ReplicaCommand) *replicaState {
	tracked := t.byID[command.Replica]
	if tracked == nil || tracked.reportedUs == 0 || tracked.report.Incarnation != command.Incarnation {
		return nil
	}
	return tracked
}

// hasAcknowledged says whether a command's replica has taken it or a later one.
func (t *replicaTracker) hasAcknowledged(command statemachine.ReplicaCommand) bool {
	tracked := t.stateFor(command)
	return tracked != nil && tracked.report.LastOrder != nil && tracked.report.LastOrder.Number >= command.Number
}

// requestsDue gives the requests for reports of listed replicas that are due now.
func (t *replicaTracker) requestsDue(nowUs int64, s *statemachine.State, list *wire.ReplicaList) []ReportRequest {
	requests := []ReportRequest{}
	if list == nil {
		return requests
	}
	for _, listed := range list.Replicas {
		tracked := t.byID[listed.ID]
		if tracked == nil || tracked.addr != listed.Addr {
			tracked = &replicaState{addr: listed.Addr}
			t.byID[listed.ID] = tracked
		}
		intervalUs := reportIntervalUs
		if _, pending := s.Pending[listed.ID]; pending {
			intervalUs = busyReportIntervalUs
		}
		if nowUs-tracked.requestedUs >= intervalUs {
			tracked.requestedUs = nowUs
			requests = append(requests, ReportRequest{RequestedUs: nowUs, Replica: listed.ID, Addr: listed.Addr})
		}
	}
	return requests
}

// onReport takes a replica's report, unless a newer one came before; false where there is none or it is not valid.
func (t *replicaTracker) onReport(nowUs int64, report ReplicaReport) bool {
	tracked := t.byID[report.Replica]
	if tracked == nil || tracked.addr != report.Addr {
		tracked = &replicaState{addr: report.Addr, requestedUs: nowUs}
		t.byID[report.Replica] = tracked
	}
	if report.State == nil || report.State.ID != report.Replica || report.State.Incarnation == "" || !areValidHoldings(report.State.Loaded) {
		return false
	}
	if report.RequestedUs < tracked.newestRequestUs {
		return true
	}
	tracked.report, tracked.reportedUs, tracked.newestRequestUs = *report.State, nowUs, report.RequestedUs
	return true
}

// onOrderResult takes a replica's answer to an order: that it runs or is done counts as its newest report of it.
func (t *replicaTracker) onOrderResult(result OrderResult) {
	tracked := t.byID[result.Replica]
	if tracked == nil || tracked.report.Incarnation != result.Incarnation {
		return
	}
	if last := tracked.report.LastOrder; last == nil || last.Number < result.State.Number {
		state := result.State
		tracked.report.LastOrder = &state
	}
}

// hasOutcome says whether a replica's last order ends the command that is pending there.
func (t *replicaTracker) hasOutcome(s *statemachine.State, replica string) bool {
	command, pending := s.Pending[replica]
	tracked := t.byID[replica]
	if !pending || tracked == nil || tracked.report.LastOrder == nil || tracked.report.Incarnation != command.Incarnation {
		return false
	}
	return tracked.report.LastOrder.Number >= command.Number && tracked.report.LastOrder.State != wire.OrderRunning
}

// setOutcome records what became of a command as if its replica had reported it; settleCommands reads it there.
func (t *replicaTracker) setOutcome(command statemachine.ReplicaCommand, state, reason string) {
	tracked := t.byID[command.Replica]
	if tracked == nil {
		tracked = &replicaState{}
		t.byID[command.Replica] = tracked
	}
	tracked.report.Incarnation, tracked.report.ID, tracked.reportedUs = command.Incarnation, command.Replica, 1
	tracked.report.LastOrder = &wire.OrderState{Number: command.Number, Epoch: command.Epoch, State: state, Reason: reason}
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
