package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// reportIntervalUs is the interval at which a listed replica's report is requested, busyReportIntervalUs the interval
	// while a command is pending there.
	reportIntervalUs     = 250 * clock.Ms
	busyReportIntervalUs = 50 * clock.Ms
	// unreachableAfterUs is the time after its latest report at which a listed replica counts as unreachable.
	unreachableAfterUs = 1500 * clock.Ms
)

// replicaState is the latest report of a replica, with the outcome of its last order as reported or as concluded by the
// controller.
type replicaState struct {
	// addr is the address the replica was contacted at; a listing with another address starts a new replicaState.
	addr string
	// report is the replica's latest report.
	report wire.ReplicaState
	// reportedUs is when the report was received; 0 before the first report.
	reportedUs int64
	// requestedUs is the time of the latest request, newestRequestUs the time of the request that the report answers.
	requestedUs, newestRequestUs int64
	// settledUs is when a command at the replica was last settled; reports requested before that show an older state.
	settledUs int64
}

// replicaTracker holds the latest report of each replica.
type replicaTracker struct {
	byID map[string]*replicaState
}

// stateFor returns the state of a command's replica if the replica has reported with the command's incarnation, otherwise
// nil.
func (t *replicaTracker) stateFor(command statemachine.ReplicaCommand) *replicaState {
	tracked := t.byID[command.Replica]
	if tracked == nil || tracked.reportedUs == 0 || tracked.report.Incarnation != command.Incarnation {
		return nil
	}
	return tracked
}

// hasAcknowledged reports whether a command's replica has accepted the command or a later one.
func (t *replicaTracker) hasAcknowledged(command statemachine.ReplicaCommand) bool {
	tracked := t.stateFor(command)
	return tracked != nil && tracked.report.LastOrder != nil && tracked.report.LastOrder.Number >= command.Number
}

// requestsDue returns the requests for reports of listed replicas that are due now.
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

// onReport stores a replica's report unless a newer one is stored. It returns false if the report is missing or invalid.
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

// onOrderResult stores a replica's response to an order as its latest report of that order.
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

// hasOutcome reports whether a replica's last order settles the command that is pending there.
func (t *replicaTracker) hasOutcome(s *statemachine.State, replica string) bool {
	command, pending := s.Pending[replica]
	tracked := t.byID[replica]
	if !pending || tracked == nil || tracked.report.LastOrder == nil || tracked.report.Incarnation != command.Incarnation {
		return false
	}
	return tracked.report.LastOrder.Number >= command.Number && tracked.report.LastOrder.State != wire.OrderRunning
}

// setOutcome stores the outcome of a command as if its replica had reported it, for settleCommands to record.
func (t *replicaTracker) setOutcome(command statemachine.ReplicaCommand, state, reason string) {
	tracked := t.byID[command.Replica]
	if tracked == nil {
		tracked = &replicaState{}
		t.byID[command.Replica] = tracked
	}
	tracked.report.Incarnation, tracked.report.ID, tracked.reportedUs = command.Incarnation, command.Replica, 1
	tracked.report.LastOrder = &wire.OrderState{Number: command.Number, Epoch: command.Epoch, State: state, Reason: reason}
}

// areValidHoldings reports whether each unit is listed once and no size is negative. A negative size would make the free
// capacity too large.
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
