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
	// requestTimeoutUs is how long a replica's report is waited for before it is asked again, recheckUs the pause after a
	// report that shows nothing yet, and busyCheckUs the one after an answer that does not say whether the order was taken.
	requestTimeoutUs = 1200 * clock.Ms
	recheckUs        = 90 * clock.Ms
	busyCheckUs      = 300 * clock.Ms
	// orderTimeoutUs is how long the answer to an order is waited for, orderVanishedUs how long after it an order that was
	// taken may show nothing, and maxOutdatedUs how long reports may show an older state before the order is given up.
	orderTimeoutUs  = 700 * clock.Ms
	orderVanishedUs = 1200 * clock.Ms
	maxOutdatedUs   = 10 * clock.Sec
	// maxUnansweredUs is how long a replica's report may be asked for in vain before its order is settled as unknown.
	maxUnansweredUs = 10 * clock.Sec
	// recountAfterUs is how long after its command a load is counted against the store's window once more when it is sent.
	recountAfterUs = 300 * clock.Ms
	// adapterLoadUs, warmLoadUs and unloadUs are how long those steps take at least; loadSlackUs is added to a model's
	// declared load time.
	adapterLoadUs = 25 * clock.Ms
	warmLoadUs    = 620 * clock.Ms
	unloadUs      = 215 * clock.Ms
	loadSlackUs   = 15 * clock.Ms
	// minUnloadDelayUs is how long gateways have to learn that a unit is to go, maxUnloadDelayUs how long calls there may delay it.
	minUnloadDelayUs = 40 * clock.Ms
	maxUnloadDelayUs = 700 * clock.Ms
	// unconfirmedLoadFactor is how many times its stated duration a load that was settled by time may take to show.
	unconfirmedLoadFactor = 3
)

// outstandingOrder is what this controller knows of one order that stands: when it was sent, what the replica
// said to it, and when to look again.
type outstandingOrder struct {
	firstSeenUs int64
	sentUs      int64
	answeredUs  int64
	answer      string
	checkUs     int64
	requestedUs int64
	requested   bool
	// countedUs is when this order was last counted against the store's window.
	countedUs int64
	// outdatedUs is since when reports have shown nothing but older states; 0 while they do not.
	outdatedUs int64
	// unansweredUs is since when the replica's report has been asked for and none came; 0 while it is not asked for.
	unansweredUs int64
	// basis is the state of the replica that the order is sent on; result is its state once the order is settled.
	expected, result *versionedState
}

// orderTracker is what this controller knows of the orders that stand, by number.
type orderTracker struct {
	byNumber map[uint64]*outstandingOrder
	// unreported are the replicas with an order that was settled as unknown, until their report comes.
	unreported map[string]*unreportedReplica
}

// unreportedReplica is a replica that may or may not have carried out its last order. It gets no other before its report
// has come: what it holds is not known, and all its capacity counts as reserved.
type unreportedReplica struct {
	sinceUs     int64
	requestedUs int64
}

// removeSettled drops what is known of orders whose tickets do not stand any more.
func (t *orderTracker) removeSettled(s *statemachine.State) {
	if len(t.byNumber) <= len(s.Pending) {
		return
	}
	stand := map[uint64]bool{}
	for _, command := range s.Pending {
		stand[command.Number] = true
	}
	maps.DeleteFunc(t.byNumber, func(number uint64, _ *outstandingOrder) bool { return !stand[number] })
}

// standing gives what is known of a command's order. One of another leader's commands is asked about first.
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

// reconcileOrders sends what the ledger holds, looks what became of what was sent, and sends again only what
// the replica does not have.
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

// requestMissingReports goes on asking replicas whose last order was settled as unknown.
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

// abandonOrder settles an order of which nothing can be learnt.
func (c *Controller) abandonOrder(nowUs int64, command statemachine.ReplicaCommand, o *outstandingOrder) {
	c.routed.orders.unreported[command.Replica] = &unreportedReplica{sinceUs: nowUs, requestedUs: nowUs}
	c.concludeOrder(command, o, wire.OrderFailed, "unknown: its report never came", nil)
}

// pursue takes the next step that is due for a standing order.
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

// requestOutcome asks a replica for its report once that is due, and again where none came.
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

// startOrder sends an order for the first time, or again on a new basis: an unload once its replica is quiet, and any
// once the replica's count is known.
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

// canUnload: every gateway has had time to hear that a unit is to go, and none has calls there that have not begun;
// a replica would turn them away.
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

// sendOrder sends an order on its basis. A load that is sent again, or long after its ticket, is counted
// against the store's window once more.
func (c *Controller) sendOrder(snapshot Snapshot, command statemachine.ReplicaCommand, e *registry.Entry, o *outstandingOrder) {
	if o.answeredUs > 0 || snapshot.NowUs-o.countedUs > recountAfterUs {
		c.routed.store.recordLoad(snapshot.NowUs, snapshot.State, command)
		o.countedUs = snapshot.NowUs
	}
	o.sentUs, o.answer = snapshot.NowUs, ""
	expected := o.expected.orders
	c.emit(SendOrder{Addr: e.Addr, Order: wire.Order{Command: command, Epoch: c.leadership.epoch, Leader: c.leadership.id, ExpectedOrders: &expected}})
}

// hasKnownDuration says whether an order that was taken ends after a time that the configuration states; what the replica says of
// itself soon after would show it if it had not.
func hasKnownDuration(s *statemachine.State, command statemachine.ReplicaCommand) bool {
	recorded := s.Replicas[command.Replica]
	return command.Action == statemachine.Load && (strings.Contains(command.Unit, "/") || recorded == nil || !recorded.EverLoaded[command.Unit])
}

// expectedDurationUs is how long after an order was taken its end may be seen.
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

// isAnsweredBy says whether an answer is to the order as it was last sent, and not to the same command on another basis.
func (o *outstandingOrder) isAnsweredBy(result OrderResult) bool {
	return result.Expected == nil || o.expected == nil || *result.Expected == o.expected.orders
}
