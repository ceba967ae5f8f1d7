package controller

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// standingOrder is what this controller knows of one order that stands: when it was sent, what the replica
// said to it, and when to look again.
type standingOrder struct {
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
	// basis is the state of the replica that the order is sent on; result is its state once the order is settled.
	basis, result *basis
}

// pursueOrders sends what the ledger holds, looks what became of what was sent, and sends again only what
// the replica does not have.
func (c *Controller) pursueOrders(snapshot Snapshot) {
	c.forgetOrders(snapshot.State)
	for _, id := range sortedKeys(snapshot.State.Pending) {
		t := snapshot.State.Pending[id]
		if e := snapshot.Registry.Entry(id); e != nil && !e.Removed {
			c.pursue(snapshot, t, e, c.standingOrder(snapshot.NowUs, t))
		}
	}
}

// forgetOrders drops what is known of orders whose tickets do not stand any more.
func (c *Controller) forgetOrders(s *statemachine.State) {
	if len(c.routed.orders) <= len(s.Pending) {
		return
	}
	stand := map[uint64]bool{}
	for _, t := range s.Pending {
		stand[t.Number] = true
	}
	maps.DeleteFunc(c.routed.orders, func(number uint64, _ *standingOrder) bool { return !stand[number] })
}

// standingOrder gives what is known of a ticket's order. One of another holder's tickets is asked about first.
func (c *Controller) standingOrder(nowUs int64, t statemachine.ReplicaCommand) *standingOrder {
	if o := c.routed.orders[t.Number]; o != nil {
		return o
	}
	o := &standingOrder{countedUs: nowUs}
	if t.Epoch != c.claimed {
		o.checkUs, o.countedUs = nowUs, 0
	}
	c.routed.orders[t.Number] = o
	return o
}

// pursue takes the next step that is due for a standing order.
func (c *Controller) pursue(snapshot Snapshot, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	nowUs := snapshot.NowUs
	switch {
	case o.answer == wire.OrderRunning && o.checkUs > 0 && nowUs >= o.checkUs && c.hasKnownDuration(snapshot.State, t):
		c.settleByTime(snapshot, t, o)
	case o.checkUs > 0:
		c.requestOutcome(nowUs, t, e, o)
	case o.sentUs == 0 && c.canOrder(nowUs, t.Replica):
		c.startOrder(snapshot, t, e, o)
	case o.sentUs > 0 && o.answer == "" && nowUs-o.sentUs > orderTimeoutUs:
		o.checkUs = nowUs
	}
}

// settleByTime settles a load that was taken by its stated time; what the replica shows later is held against it.
func (c *Controller) settleByTime(snapshot Snapshot, t statemachine.ReplicaCommand, o *standingOrder) {
	c.routed.trustedUs[replicaUnit{t.Replica, t.Unit}] = snapshot.NowUs + trustFactor*c.checkDelayUs(snapshot.State, t) + reportDelayUs
	o.result = o.basis.after(t)
	c.recordOutcome(t.Replica, t, wire.OrderDone, "")
	o.checkUs, o.answer = 0, wire.OrderDone
}

// requestOutcome asks a replica for its report once that is due, and again where none came.
func (c *Controller) requestOutcome(nowUs int64, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	if nowUs >= o.checkUs && !o.requested {
		o.requested, o.requestedUs = true, nowUs
		c.emit(ReportRequest{RequestedUs: nowUs, Replica: t.Replica, Addr: e.Addr})
	} else if o.requested && nowUs-o.requestedUs > requestTimeoutUs {
		o.requested, o.checkUs = false, nowUs
	}
}

// startOrder sends an order for the first time, or again on a new basis: an unload once its replica is quiet, and any
// once the replica's count is known.
func (c *Controller) startOrder(snapshot Snapshot, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	if o.firstSeenUs == 0 {
		o.firstSeenUs = snapshot.NowUs
	}
	if t.Action == statemachine.Unload && !c.isQuiet(snapshot.NowUs, t, o.firstSeenUs) {
		return
	}
	if o.basis == nil {
		o.basis = recordedBasis(snapshot.State.Replicas[t.Replica])
	}
	if o.basis == nil {
		o.checkUs = snapshot.NowUs
		return
	}
	c.sendOrder(snapshot, t, e, o)
}

// isQuiet: every gateway has had time to hear that a unit is to go, and none has calls there that have not begun;
// a replica would turn them away.
func (c *Controller) isQuiet(nowUs int64, t statemachine.ReplicaCommand, sinceUs int64) bool {
	if nowUs-sinceUs < minQuietUs {
		return false
	}
	if nowUs-sinceUs > maxQuietUs {
		return true
	}
	model, _ := configuration.SplitUnit(t.Unit)
	for _, d := range c.gateways {
		if nowUs-d.reportedUs < gatewayLiveUs && d.report.PendingPrefill[t.Replica+"|"+model] > 0 {
			return false
		}
	}
	return true
}

// sendOrder sends an order on its basis. A load that is sent again, or long after its ticket, is counted
// against the store's window once more.
func (c *Controller) sendOrder(snapshot Snapshot, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	if o.answeredUs > 0 || snapshot.NowUs-o.countedUs > recountAfterUs {
		c.routed.recordLoad(snapshot.NowUs, snapshot.State, t)
		o.countedUs = snapshot.NowUs
	}
	o.sentUs, o.answer = snapshot.NowUs, ""
	expected := o.basis.orders
	c.emit(SendOrder{Addr: e.Addr, Order: wire.Order{Command: t, Epoch: c.claimed, Leader: c.me, ExpectedOrders: &expected}})
}

// onRoutedOrderResult takes a replica's answer to an order; what it means in the end is seen by what it holds.
func (c *Controller) onRoutedOrderResult(snapshot Snapshot, a OrderResult) {
	t, pending := snapshot.State.Pending[a.Replica]
	o := c.routed.orders[a.State.Number]
	if !pending || t.Number != a.State.Number || o == nil {
		return
	}
	if a.Expected != nil && o.basis != nil && *a.Expected != o.basis.orders {
		return
	}
	nowUs := snapshot.NowUs
	o.answeredUs, o.answer = nowUs, a.State.State
	switch a.State.State {
	case wire.OrderRunning:
		o.checkUs = nowUs + c.checkDelayUs(snapshot.State, t)
	case wire.OrderDone:
		c.recordOutcome(a.Replica, t, wire.OrderDone, "")
	case wire.OrderFailed:
		c.recordOutcome(a.Replica, t, wire.OrderFailed, a.State.Reason)
	default:
		o.checkUs = nowUs + busyCheckUs
	}
}

// hasKnownDuration: an order that was taken ends after a time that the configuration states; what the replica says of
// itself soon after would show it if it had not.
func (c *Controller) hasKnownDuration(s *statemachine.State, t statemachine.ReplicaCommand) bool {
	have := s.Replicas[t.Replica]
	return t.Action == statemachine.Load && (strings.Contains(t.Unit, "/") || have == nil || !have.EverLoaded[t.Unit])
}

// checkDelayUs is how long after an order was taken its end may be seen.
func (c *Controller) checkDelayUs(s *statemachine.State, t statemachine.ReplicaCommand) int64 {
	have := s.Replicas[t.Replica]
	switch {
	case t.Action == statemachine.Unload:
		return unloadUs
	case strings.Contains(t.Unit, "/"):
		return adapterLoadUs
	case have != nil && have.EverLoaded[t.Unit]:
		return warmLoadUs
	}
	if _, loadMs, ok := s.Doc.EngineUnitSize(have.Service, t.Unit); ok {
		return loadMs*clock.Ms + loadSlackUs
	}
	return clock.Sec
}

// recordOutcome gives the ledger's way of settling what it needs: the replica's last order.
func (c *Controller) recordOutcome(replica string, t statemachine.ReplicaCommand, state, why string) {
	row := c.replicas[replica]
	if row == nil {
		row = &replicaState{}
		c.replicas[replica] = row
	}
	row.report.Incarnation, row.report.ID, row.reportedUs = t.Incarnation, replica, 1
	row.report.LastOrder = &wire.OrderState{Number: t.Number, Epoch: t.Epoch, State: state, Reason: why}
	c.moved = true
}

// onRoutedReplicaReport takes a replica's report while an order stands there.
func (c *Controller) onRoutedReplicaReport(snapshot Snapshot, a ReplicaReport) {
	t, pending := snapshot.State.Pending[a.Replica]
	if !pending {
		return
	}
	o := c.routed.orders[t.Number]
	if o == nil {
		return
	}
	o.requested = false
	if a.State == nil {
		o.checkUs = snapshot.NowUs + recheckUs
		return
	}
	c.judgeOrder(snapshot, t, o, a.State)
}

// judgeOrder judges an order by what the replica holds. A report lags a little, so that it ends an order only
// by what it shows, or by showing nothing for long enough.
func (c *Controller) judgeOrder(snapshot Snapshot, t statemachine.ReplicaCommand, o *standingOrder, told *wire.ReplicaState) {
	nowUs, have := snapshot.NowUs, snapshot.State.Replicas[t.Replica]
	if have == nil {
		return
	}
	if o.isOutdatedReport(have, told) {
		c.awaitNewerReport(nowUs, t, o)
		return
	}
	o.outdatedUs = 0
	reported := reportedBasis(told)
	taken := o.answer == wire.OrderRunning
	switch {
	case showsCompletion(t, told, taken):
		c.concludeOrder(t, o, wire.OrderDone, "", reported)
	case taken && (told.Busy || nowUs-o.answeredUs < orderVanishedUs):
		o.checkUs = nowUs + recheckUs
	case taken:
		c.concludeOrder(t, o, wire.OrderFailed, "it was taken and is not there", reported)
	case told.Busy:
		o.checkUs = nowUs + recheckUs
	case !reported.admits(snapshot.State.Doc, have, t):
		c.concludeOrder(t, o, wire.OrderFailed, "what the replica holds leaves no room", reported)
	default:
		o.sendAgain(nowUs, reported)
	}
}

// showsCompletion: a replica's report shows that an order was carried out. A busy replica that was not heard to have
// taken an unload may hold nothing of the unit for another reason.
func showsCompletion(t statemachine.ReplicaCommand, told *wire.ReplicaState, taken bool) bool {
	_, holds := slices.BinarySearch(told.Units, t.Unit)
	if t.Action == statemachine.Load {
		return holds
	}
	return t.Action == statemachine.Unload && !holds && (!told.Busy || taken)
}

// sendAgain has an order that the replica does not have sent on the state that it reported; one that it has only
// just answered is asked about once more first.
func (o *standingOrder) sendAgain(nowUs int64, reported *basis) {
	o.checkUs, o.sentUs, o.basis = 0, 0, reported
	if o.answer != "" && nowUs-o.answeredUs < orderTimeoutUs {
		o.checkUs = nowUs + recheckUs
	}
}

// awaitNewerReport waits for a report that is new enough. One that never comes ends the order: its replica's count will
// be asked for before the next one.
func (c *Controller) awaitNewerReport(nowUs int64, t statemachine.ReplicaCommand, o *standingOrder) {
	if o.outdatedUs == 0 {
		o.outdatedUs = nowUs
	}
	if nowUs-o.outdatedUs > maxOutdatedUs {
		c.concludeOrder(t, o, wire.OrderFailed, "its reports are older than its orders", nil)
		return
	}
	o.checkUs = nowUs + recheckUs
}

// concludeOrder settles an order with what the replica holds after it, where that is known.
func (c *Controller) concludeOrder(t statemachine.ReplicaCommand, o *standingOrder, state, why string, result *basis) {
	o.checkUs, o.answer, o.result = 0, state, result
	c.recordOutcome(t.Replica, t, state, why)
}
