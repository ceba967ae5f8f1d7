package controller

import (
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// settleByDuration settles an accepted load as done once its declared duration has passed. Later reports of the replica can
// still contradict that.
func (c *Controller) settleByDuration(snapshot Snapshot, command statemachine.ReplicaCommand, o *outstandingOrder) {
	c.routed.residency.unconfirmedUntilUs[replicaUnit{command.Replica, command.Unit}] = snapshot.NowUs + unconfirmedLoadFactor*expectedDurationUs(snapshot.State, command) + reportDelayUs
	o.result = o.expected.afterCommand(command)
	c.recordOutcome(command, wire.OrderDone, "")
	o.checkUs, o.answer = 0, wire.OrderDone
}

// evaluateOrder determines the outcome of an order from a report of the replica's state. Reports lag slightly behind. A
// report therefore settles an order only by what it shows, or once an accepted order has failed to show for long enough.
func (c *Controller) evaluateOrder(snapshot Snapshot, command statemachine.ReplicaCommand, o *outstandingOrder, report *wire.ReplicaState) {
	nowUs, recorded := snapshot.NowUs, snapshot.State.Replicas[command.Replica]
	if recorded == nil {
		return
	}
	if o.isOutdatedReport(recorded, report) {
		c.awaitNewerReport(nowUs, command, o)
		return
	}
	o.outdatedUs = 0
	reported := reportedState(report)
	accepted := o.answer == wire.OrderRunning
	switch {
	case showsCompletion(command, report, accepted):
		c.concludeOrder(command, o, wire.OrderDone, "", reported)
	case accepted && (report.Busy || nowUs-o.answeredUs < orderVanishedUs):
		o.checkUs = nowUs + recheckUs
	case accepted:
		c.concludeOrder(command, o, wire.OrderFailed, "it was taken and is not there", reported)
	case report.Busy:
		o.checkUs = nowUs + recheckUs
	case !reported.canCarryOut(snapshot.State.Doc, recorded, command):
		c.concludeOrder(command, o, wire.OrderFailed, "what the replica holds leaves no room", reported)
	default:
		o.sendAgain(nowUs, reported)
	}
}

// showsCompletion reports whether a replica's report shows that a command was carried out. If a busy replica has not
// confirmed an unload, the unit may be missing for a different reason, so that this does not count as completion.
func showsCompletion(command statemachine.ReplicaCommand, report *wire.ReplicaState, accepted bool) bool {
	_, holds := slices.BinarySearch(report.Units, command.Unit)
	if command.Action == statemachine.Load {
		return holds
	}
	return command.Action == statemachine.Unload && !holds && (!report.Busy || accepted)
}

// sendAgain schedules an order that the replica does not have for sending with the reported state as its precondition. If
// the replica has answered the order only recently, its report is requested once more first.
func (o *outstandingOrder) sendAgain(nowUs int64, reported *versionedState) {
	o.checkUs, o.sentUs, o.expected = 0, 0, reported
	if o.answer != "" && nowUs-o.answeredUs < orderTimeoutUs {
		o.checkUs = nowUs + recheckUs
	}
}

// awaitNewerReport waits for a report that is recent enough. If none arrives in time, the order is settled as failed and the
// replica's order count is requested before its next order.
func (c *Controller) awaitNewerReport(nowUs int64, command statemachine.ReplicaCommand, o *outstandingOrder) {
	if o.outdatedUs == 0 {
		o.outdatedUs = nowUs
	}
	if nowUs-o.outdatedUs > maxOutdatedUs {
		c.concludeOrder(command, o, wire.OrderFailed, "its reports are older than its orders", nil)
		return
	}
	o.checkUs = nowUs + recheckUs
}

// concludeOrder settles an order, with the replica's state after it if that is known.
func (c *Controller) concludeOrder(command statemachine.ReplicaCommand, o *outstandingOrder, state, reason string, result *versionedState) {
	o.checkUs, o.answer, o.result = 0, state, result
	c.recordOutcome(command, state, reason)
}

// recordOutcome records the outcome of a command for the next change to the replicated state.
func (c *Controller) recordOutcome(command statemachine.ReplicaCommand, state, reason string) {
	c.replicas.setOutcome(command, state, reason)
	c.policies.inputChanged = true
}
