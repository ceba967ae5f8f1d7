package controller

import (
	"fmt"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// writeTimeoutUs is how long to wait for a change to the replicated state. After that the change counts as lost, and the
// next one is written without it. The epoch makes a change that arrives late harmless.
const writeTimeoutUs = 2 * clock.Sec

// changeWriter limits the leader to one change at a time, so that each change is based on the result of the previous one.
type changeWriter struct {
	// pendingID is the ID of the change in progress; empty without one.
	pendingID string
	// submittedUs is when that change was submitted.
	submittedUs int64
	// count is the number of submitted changes; it makes their IDs unique within an epoch.
	count uint64
}

// isBusy reports whether a change is in progress and has not timed out.
func (w *changeWriter) isBusy(nowUs int64) bool {
	return w.pendingID != "" && nowUs-w.submittedUs < writeTimeoutUs
}

// begin starts the next change and returns its ID.
func (w *changeWriter) begin(nowUs int64, leader leadership) (id string) {
	w.count++
	w.pendingID = fmt.Sprintf("duty-%s-%d-%d", leader.id, leader.epoch, w.count)
	w.submittedUs = nowUs
	return w.pendingID
}

// complete reports whether an outcome belongs to the change in progress, and if so marks the change as completed.
func (w *changeWriter) complete(id string) bool {
	if id != w.pendingID {
		return false
	}
	w.pendingID = ""
	return true
}

// writeUpdate collects everything that the replicated state should record now into one change, unless another change is in
// progress.
func (c *Controller) writeUpdate(snapshot Snapshot) {
	if !snapshot.CanWrite || c.writes.isBusy(snapshot.NowUs) {
		return
	}
	c.declared.budget.submittedMb = 0
	update := &statemachine.LeaderUpdate{}
	c.mode(snapshot).collect(snapshot, update)
	if update.IsEmpty() {
		return
	}
	if len(update.Results)+len(update.Replicas)+len(update.RemovedReplicas) > 0 {
		c.policies.inputChanged = true
	}
	id := c.writes.begin(snapshot.NowUs, c.leadership)
	c.emit(WriteChange{Change: &statemachine.Change{ID: id, Epoch: c.leadership.epoch, LeaderUpdate: update}})
}

// onWriteResult processes the outcome of the change in progress and continues planning at once.
func (c *Controller) onWriteResult(snapshot Snapshot, outcome statemachine.Outcome) {
	if !c.writes.complete(outcome.ID) {
		return
	}
	c.declared.budget.submittedMb = 0
	for _, rejected := range outcome.Faults {
		c.countFault(rejected.Code)
	}
	if c.IsLeader(snapshot.State) && snapshot.IsFresh {
		c.mode(snapshot).afterWrite(snapshot)
		c.planAndWrite(snapshot)
	}
}

// settleCommands records the outcome of each pending command that its replica's last order determines.
func (c *Controller) settleCommands(nowUs int64, s *statemachine.State, update *statemachine.LeaderUpdate) {
	for _, id := range sortedKeys(s.Pending) {
		command := s.Pending[id]
		tracked := c.replicas.stateFor(command)
		if tracked == nil || tracked.report.LastOrder == nil {
			continue
		}
		last := tracked.report.LastOrder
		switch {
		case last.Number == command.Number && last.State == wire.OrderDone:
			update.Results = append(update.Results, c.withResultingState(s, command, statemachine.CommandResult{Number: command.Number, Succeeded: true}))
		case last.Number == command.Number && last.State == wire.OrderFailed:
			c.countFault(fault.ReplicaFailed)
			update.Results = append(update.Results, c.withResultingState(s, command, statemachine.CommandResult{Number: command.Number, Reason: last.Reason}))
		case last.Number > command.Number:
			update.Results = append(update.Results, statemachine.CommandResult{Number: command.Number, Reason: "voided by a newer order"})
		default:
			continue
		}
		delete(c.declared.orders.sentUs, command.Number)
		tracked.settledUs = nowUs
		c.routed.residency.recordArrival(nowUs, command)
	}
}
