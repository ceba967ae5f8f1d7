package controller

import (
	"maps"
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// requestTimeoutUs is the time after which a replica's report is requested again. recheckUs is the delay after a report
	// that is inconclusive. busyCheckUs is the delay after a response that does not say whether the order was accepted.
	requestTimeoutUs = 1200 * clock.Ms
	recheckUs        = 90 * clock.Ms
	busyCheckUs      = 300 * clock.Ms
	// orderTimeoutUs is how long to wait for the response to an order. orderVanishedUs is the time after the response for
	// which an accepted order may be missing from reports. maxOutdatedUs is how long reports may show an older state before
	// the order is abandoned.
	orderTimeoutUs  = 700 * clock.Ms
	orderVanishedUs = 1200 * clock.Ms
	maxOutdatedUs   = 10 * clock.Sec
	// maxUnansweredUs is how long a replica's report may be requested without a response before its order is settled as
	// unknown.
	maxUnansweredUs = 10 * clock.Sec
	// recountAfterUs is the time after its command at which a load counts against the store window once more when it is
	// sent.
	recountAfterUs = 300 * clock.Ms
	// adapterLoadUs, warmLoadUs and unloadUs are the minimum durations of these operations. loadSlackUs is added to a
	// model's declared load time.
	adapterLoadUs = 25 * clock.Ms
	warmLoadUs    = 620 * clock.Ms
	unloadUs      = 215 * clock.Ms
	loadSlackUs   = 15 * clock.Ms
	// minUnloadDelayUs is the time allowed for gateways to learn of a pending unload; maxUnloadDelayUs is how long calls to
	// the unit may delay it.
	minUnloadDelayUs = 40 * clock.Ms
	maxUnloadDelayUs = 700 * clock.Ms
	// unconfirmedLoadFactor is the number of declared load durations within which a load that was settled by its duration
	// has to appear in a report.
	unconfirmedLoadFactor = 3
)

// outstandingOrder tracks an order of a pending command: when it was sent, what the replica answered, and when to check
// again.
type outstandingOrder struct {
	firstSeenUs int64
	sentUs      int64
	answeredUs  int64
	answer      string
	checkUs     int64
	requestedUs int64
	requested   bool
	// countedUs is when this order was last counted against the store window.
	countedUs int64
	// outdatedUs is the time since which all reports have shown older states; 0 if the latest report does not.
	outdatedUs int64
	// unansweredUs is the time since which the replica's report has been requested without a response; 0 if no request is
	// open.
	unansweredUs int64
	// expected is the replica state that is the precondition of the order; result is the replica's state after the settled
	// order.
	expected, result *versionedState
}

// orderTracker tracks the outstanding orders by command number.
type orderTracker struct {
	byNumber map[uint64]*outstandingOrder
	// unreported are the replicas with an order that was settled as unknown and that have not reported since.
	unreported map[string]*unreportedReplica
}

// unreportedReplica is a replica that may or may not have carried out its last order. It gets no further order before it has
// reported: its resident units are not known, and all its capacity counts as reserved.
type unreportedReplica struct {
	sinceUs     int64
	requestedUs int64
}

// removeSettled drops the orders whose commands are not pending any more.
func (t *orderTracker) removeSettled(s *statemachine.State) {
	if len(t.byNumber) <= len(s.Pending) {
		return
	}
	pending := map[uint64]bool{}
	for _, command := range s.Pending {
		pending[command.Number] = true
	}
	maps.DeleteFunc(t.byNumber, func(number uint64, _ *outstandingOrder) bool { return !pending[number] })
}

// outstanding returns the tracked order of a command. For a command that another leader issued, tracking starts with a
// request for the replica's report.
func (t *orderTracker) outstanding(nowUs int64, command statemachine.ReplicaCommand, epoch uint64) *outstandingOrder {
	if o := t.byNumber[command.Number]; o != nil {
		return o
	}
	o := &outstandingOrder{countedUs: nowUs}
	if command.Epoch != epoch {
		o.checkUs, o.countedUs = nowUs, 0
	}
	t.byNumber[command.Number] = o
	return o
}

// reconcileOrders sends the orders of pending commands, checks the outcome of sent orders, and sends an order again only if
// the replica does not have it.
func (c *Controller) reconcileOrders(snapshot Snapshot) {
	c.routed.orders.removeSettled(snapshot.State)
	for _, id := range sortedKeys(snapshot.State.Pending) {
		command := snapshot.State.Pending[id]
		if e := snapshot.Registry.Entry(id); e != nil && !e.Removed {
			c.reconcileOrder(snapshot, command, e, c.routed.orders.outstanding(snapshot.NowUs, command, c.leadership.epoch))
		}
	}
	c.requestMissingReports(snapshot)
}

// requestMissingReports keeps requesting reports from replicas whose last order was settled as unknown.
func (c *Controller) requestMissingReports(snapshot Snapshot) {
	for _, id := range sortedKeys(c.routed.orders.unreported) {
		replica, e := c.routed.orders.unreported[id], snapshot.Registry.Entry(id)
		if e == nil || e.Removed {
			delete(c.routed.orders.unreported, id)
			continue
		}
		if snapshot.NowUs-replica.requestedUs > requestTimeoutUs {
			replica.requestedUs = snapshot.NowUs
			c.emit(ReportRequest{RequestedUs: snapshot.NowUs, Replica: id, Addr: e.Addr})
		}
	}
}

// abandonOrder settles an order whose outcome cannot be determined.
func (c *Controller) abandonOrder(nowUs int64, command statemachine.ReplicaCommand, o *outstandingOrder) {
	c.routed.orders.unreported[command.Replica] = &unreportedReplica{sinceUs: nowUs, requestedUs: nowUs}
	c.concludeOrder(command, o, wire.OrderFailed, "unknown: its report never came", nil)
}

// reconcileOrder takes the next due step for an outstanding order.
func (c *Controller) reconcileOrder(snapshot Snapshot, command statemachine.ReplicaCommand, e *registry.Entry, o *outstandingOrder) {
	nowUs := snapshot.NowUs
	switch {
	case o.answer == wire.OrderRunning && o.checkUs > 0 && nowUs >= o.checkUs && hasKnownDuration(snapshot.State, command):
		c.settleByDuration(snapshot, command, o)
	case o.checkUs > 0:
		c.requestOutcome(nowUs, command, e, o)
	case o.sentUs == 0 && c.routed.predecessor.canOrder(nowUs, command.Replica):
		c.startOrder(snapshot, command, e, o)
	case o.sentUs > 0 && o.answer == "" && nowUs-o.sentUs > orderTimeoutUs:
		o.checkUs = nowUs
	}
}

// requestOutcome requests a replica's report when it is due, and again after a timeout.
func (c *Controller) requestOutcome(nowUs int64, command statemachine.ReplicaCommand, e *registry.Entry, o *outstandingOrder) {
	if o.unansweredUs > 0 && nowUs-o.unansweredUs > maxUnansweredUs {
		c.abandonOrder(nowUs, command, o)
	} else if nowUs >= o.checkUs && !o.requested {
		o.requested, o.requestedUs = true, nowUs
		if o.unansweredUs == 0 {
			o.unansweredUs = nowUs
		}
		c.emit(ReportRequest{RequestedUs: nowUs, Replica: command.Replica, Addr: e.Addr})
	} else if o.requested && nowUs-o.requestedUs > requestTimeoutUs {
		o.requested, o.checkUs = false, nowUs
	}
}

// startOrder sends an order for the first time, or again with a new precondition. An unload waits until calls at the replica
// permit it, and any order waits until the replica's order count is known.
func (c *Controller) startOrder(snapshot Snapshot, command statemachine.ReplicaCommand, e *registry.Entry, o *outstandingOrder) {
	if o.firstSeenUs == 0 {
		o.firstSeenUs = snapshot.NowUs
	}
	if command.Action == statemachine.Unload && !c.canUnload(snapshot.NowUs, command, o.firstSeenUs) {
		return
	}
	if o.expected == nil {
		o.expected = recordedState(snapshot.State.Replicas[command.Replica])
	}
	if o.expected == nil {
		o.checkUs = snapshot.NowUs
		return
	}
	c.sendOrder(snapshot, command, e, o)
}

// canUnload reports whether an unload may be sent: every gateway has had time to learn of the unload, and no gateway has
// calls at the unit that have not started, because the replica would reject them. After maxUnloadDelayUs the unload may be
// sent in any case.
func (c *Controller) canUnload(nowUs int64, command statemachine.ReplicaCommand, sinceUs int64) bool {
	if nowUs-sinceUs < minUnloadDelayUs {
		return false
	}
	if nowUs-sinceUs > maxUnloadDelayUs {
		return true
	}
	model, _ := configuration.SplitUnit(command.Unit)
	for _, gateway := range c.gateways.byID {
		if nowUs-gateway.reportedUs < gatewayTimeoutUs && gateway.report.PendingPrefill[command.Replica+"|"+model] > 0 {
			return false
		}
	}
	return true
}

// sendOrder sends an order with its precondition. A load that is sent again, or long after its command was issued, counts
// against the store window once more.
func (c *Controller) sendOrder(snapshot Snapshot, command statemachine.ReplicaCommand, e *registry.Entry, o *outstandingOrder) {
	if o.answeredUs > 0 || snapshot.NowUs-o.countedUs > recountAfterUs {
		c.routed.store.recordLoad(snapshot.NowUs, snapshot.State, command)
		o.countedUs = snapshot.NowUs
	}
	o.sentUs, o.answer = snapshot.NowUs, ""
	expected := o.expected.orders
	c.emit(SendOrder{Addr: e.Addr, Order: wire.Order{Command: command, Epoch: c.leadership.epoch, Leader: c.leadership.id, ExpectedOrders: &expected}})
}

// hasKnownDuration reports whether an accepted order completes after a duration that the configuration states. If it has not
// completed by then, the replica's next reports show that.
func hasKnownDuration(s *statemachine.State, command statemachine.ReplicaCommand) bool {
	recorded := s.Replicas[command.Replica]
	return command.Action == statemachine.Load && (strings.Contains(command.Unit, "/") || recorded == nil || !recorded.EverLoaded[command.Unit])
}

// expectedDurationUs returns the time after acceptance of an order at which its completion can be expected.
func expectedDurationUs(s *statemachine.State, command statemachine.ReplicaCommand) int64 {
	recorded := s.Replicas[command.Replica]
	switch {
	case command.Action == statemachine.Unload:
		return unloadUs
	case strings.Contains(command.Unit, "/"):
		return adapterLoadUs
	case recorded != nil && recorded.EverLoaded[command.Unit]:
		return warmLoadUs
	}
	if _, loadMs, ok := s.Doc.EngineUnitSize(recorded.Service, command.Unit); ok {
		return loadMs*clock.Ms + loadSlackUs
	}
	return clock.Sec
}

// isAnsweredBy reports whether a response belongs to the order as last sent, rather than to the same command with another
// precondition.
func (o *outstandingOrder) isAnsweredBy(result OrderResult) bool {
	return result.Expected == nil || o.expected == nil || *result.Expected == o.expected.orders
}
