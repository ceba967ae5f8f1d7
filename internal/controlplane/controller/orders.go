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
	seenUs  int64
	sentUs  int64
	saidUs  int64
	said    string
	askUs   int64
	askedUs int64
	asked   bool
	// notedUs is when this order was last counted against the store's window.
	notedUs int64
	// outdatedUs is since when reports have shown nothing but older states; 0 while they do not.
	outdatedUs int64
	// basis is the state of the replica that the order is sent on; result is its state once the order is settled.
	basis, result *basis
}

// routedOrders sends what the ledger holds, looks what became of what was sent, and sends again only what
// the replica does not have.
func (f *Controller) routedOrders(seen Seen) {
	f.forgetOrders(seen.State)
	for _, id := range sorted(seen.State.Pending) {
		t := seen.State.Pending[id]
		if e := seen.Roster.Entry(id); e != nil && !e.Removed {
			f.pursue(seen, t, e, f.standingOrder(seen.NowUs, t))
		}
	}
}

// forgetOrders drops what is known of orders whose tickets do not stand any more.
func (f *Controller) forgetOrders(s *statemachine.State) {
	if len(f.routed.orders) <= len(s.Pending) {
		return
	}
	stand := map[uint64]bool{}
	for _, t := range s.Pending {
		stand[t.Number] = true
	}
	maps.DeleteFunc(f.routed.orders, func(number uint64, _ *standingOrder) bool { return !stand[number] })
}

// standingOrder gives what is known of a ticket's order. One of another holder's tickets is asked about first.
func (f *Controller) standingOrder(nowUs int64, t statemachine.ReplicaCommand) *standingOrder {
	if o := f.routed.orders[t.Number]; o != nil {
		return o
	}
	o := &standingOrder{notedUs: nowUs}
	if t.Epoch != f.claimed {
		o.askUs, o.notedUs = nowUs, 0
	}
	f.routed.orders[t.Number] = o
	return o
}

// pursue takes the next step that is due for a standing order.
func (f *Controller) pursue(seen Seen, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	nowUs := seen.NowUs
	switch {
	case o.said == wire.OrderRunning && o.askUs > 0 && nowUs >= o.askUs && f.known(seen.State, t):
		f.trustTime(seen, t, o)
	case o.askUs > 0:
		f.askOutcome(nowUs, t, e, o)
	case o.sentUs == 0 && f.mayOrder(nowUs, t.Replica):
		f.begin(seen, t, e, o)
	case o.sentUs > 0 && o.said == "" && nowUs-o.sentUs > orderAgainUs:
		o.askUs = nowUs
	}
}

// trustTime settles a load that was taken by its stated time; what the replica shows later is held against it.
func (f *Controller) trustTime(seen Seen, t statemachine.ReplicaCommand, o *standingOrder) {
	f.routed.trustedUs[unitAt{t.Replica, t.Unit}] = seen.NowUs + trustSpans*f.lookUs(seen.State, t) + wordLateUs
	o.result = o.basis.after(t)
	f.settled(t.Replica, t, wire.OrderDone, "")
	o.askUs, o.said = 0, wire.OrderDone
}

// askOutcome asks a replica for its report once that is due, and again where none came.
func (f *Controller) askOutcome(nowUs int64, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	if nowUs >= o.askUs && !o.asked {
		o.asked, o.askedUs = true, nowUs
		f.do(Effect{Ask: &Ask{AskedUs: nowUs, Replica: t.Replica, Addr: e.Addr}})
	} else if o.asked && nowUs-o.askedUs > askLostUs {
		o.asked, o.askUs = false, nowUs
	}
}

// begin sends an order for the first time, or again on a new basis: an unload once its replica is quiet, and any
// once the replica's count is known.
func (f *Controller) begin(seen Seen, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	if o.seenUs == 0 {
		o.seenUs = seen.NowUs
	}
	if t.Action == statemachine.Unload && !f.quiet(seen.NowUs, t, o.seenUs) {
		return
	}
	if o.basis == nil {
		o.basis = recordedBasis(seen.State.Replicas[t.Replica])
	}
	if o.basis == nil {
		o.askUs = seen.NowUs
		return
	}
	f.sendOrder(seen, t, e, o)
}

// quiet: every gateway has had time to hear that a unit is to go, and none has calls there that have not begun;
// a replica would turn them away.
func (f *Controller) quiet(nowUs int64, t statemachine.ReplicaCommand, sinceUs int64) bool {
	if nowUs-sinceUs < quietLeastUs {
		return false
	}
	if nowUs-sinceUs > quietMostUs {
		return true
	}
	model, _ := configuration.SplitUnit(t.Unit)
	for _, d := range f.gateways {
		if nowUs-d.atUs < gatewayLiveUs && d.report.PendingPrefill[t.Replica+"|"+model] > 0 {
			return false
		}
	}
	return true
}

// sendOrder sends an order on its basis. A load that is sent again, or long after its ticket, is counted
// against the store's window once more.
func (f *Controller) sendOrder(seen Seen, t statemachine.ReplicaCommand, e *registry.Entry, o *standingOrder) {
	if o.saidUs > 0 || seen.NowUs-o.notedUs > sendLateUs {
		f.routed.noteLoad(seen.NowUs, seen.State, t)
		o.notedUs = seen.NowUs
	}
	o.sentUs, o.said = seen.NowUs, ""
	expected := o.basis.orders
	f.do(Effect{Order: &Order{Addr: e.Addr, Order: wire.Order{Command: t, Epoch: f.claimed, Leader: f.me, ExpectedOrders: &expected}}})
}

// routedOrdered takes a replica's answer to an order; what it means in the end is seen by what it holds.
func (f *Controller) routedOrdered(seen Seen, a Ordered) {
	t, pending := seen.State.Pending[a.Replica]
	o := f.routed.orders[a.State.Number]
	if !pending || t.Number != a.State.Number || o == nil {
		return
	}
	if a.Expected != nil && o.basis != nil && *a.Expected != o.basis.orders {
		return
	}
	nowUs := seen.NowUs
	o.saidUs, o.said = nowUs, a.State.State
	switch a.State.State {
	case wire.OrderRunning:
		o.askUs = nowUs + f.lookUs(seen.State, t)
	case wire.OrderDone:
		f.settled(a.Replica, t, wire.OrderDone, "")
	case wire.OrderFailed:
		f.settled(a.Replica, t, wire.OrderFailed, a.State.Reason)
	default:
		o.askUs = nowUs + askLateUs
	}
}

// known: an order that was taken ends after a time that the configuration states; what the replica says of
// itself soon after would show it if it had not.
func (f *Controller) known(s *statemachine.State, t statemachine.ReplicaCommand) bool {
	have := s.Replicas[t.Replica]
	return t.Action == statemachine.Load && (strings.Contains(t.Unit, "/") || have == nil || !have.EverLoaded[t.Unit])
}

// lookUs is how long after an order was taken its end may be seen.
func (f *Controller) lookUs(s *statemachine.State, t statemachine.ReplicaCommand) int64 {
	have := s.Replicas[t.Replica]
	switch {
	case t.Action == statemachine.Unload:
		return unloadFirstUs
	case strings.Contains(t.Unit, "/"):
		return adapterDoneUs
	case have != nil && have.EverLoaded[t.Unit]:
		return warmFirstUs
	}
	if _, loadMs, ok := s.Doc.EngineUnitSize(have.Service, t.Unit); ok {
		return loadMs*clock.Ms + loadSlackUs
	}
	return clock.Sec
}

// settled gives the ledger's way of settling what it needs: the replica's last order.
func (f *Controller) settled(replica string, t statemachine.ReplicaCommand, state, why string) {
	row := f.replicas[replica]
	if row == nil {
		row = &told{}
		f.replicas[replica] = row
	}
	row.state.Incarnation, row.state.ID, row.atUs = t.Incarnation, replica, 1
	row.state.LastOrder = &wire.OrderState{Number: t.Number, Epoch: t.Epoch, State: state, Reason: why}
	f.moved = true
}

// routedTold takes a replica's report while an order stands there.
func (f *Controller) routedTold(seen Seen, a Told) {
	t, pending := seen.State.Pending[a.Replica]
	if !pending {
		return
	}
	o := f.routed.orders[t.Number]
	if o == nil {
		return
	}
	o.asked = false
	if a.State == nil {
		o.askUs = seen.NowUs + askAgainUs
		return
	}
	f.look(seen, t, o, a.State)
}

// look judges an order by what the replica holds. A report lags a little, so that it ends an order only
// by what it shows, or by showing nothing for long enough.
func (f *Controller) look(seen Seen, t statemachine.ReplicaCommand, o *standingOrder, told *wire.ReplicaState) {
	nowUs, have := seen.NowUs, seen.State.Replicas[t.Replica]
	if have == nil {
		return
	}
	if o.outdatedReport(have, told) {
		f.lookAgain(nowUs, t, o)
		return
	}
	o.outdatedUs = 0
	reported := reportedBasis(told)
	taken := o.said == wire.OrderRunning
	switch {
	case showsDone(t, told, taken):
		f.conclude(t, o, wire.OrderDone, "", reported)
	case taken && (told.Busy || nowUs-o.saidUs < orderVoidUs):
		o.askUs = nowUs + askAgainUs
	case taken:
		f.conclude(t, o, wire.OrderFailed, "it was taken and is not there", reported)
	case told.Busy:
		o.askUs = nowUs + askAgainUs
	case !reported.admits(seen.State.Doc, have, t):
		f.conclude(t, o, wire.OrderFailed, "what the replica holds leaves no room", reported)
	default:
		o.sendAgain(nowUs, reported)
	}
}

// showsDone: a replica's report shows that an order was carried out. A busy replica that was not heard to have
// taken an unload may hold nothing of the unit for another reason.
func showsDone(t statemachine.ReplicaCommand, told *wire.ReplicaState, taken bool) bool {
	_, holds := slices.BinarySearch(told.Units, t.Unit)
	if t.Action == statemachine.Load {
		return holds
	}
	return t.Action == statemachine.Unload && !holds && (!told.Busy || taken)
}

// sendAgain has an order that the replica does not have sent on the state that it reported; one that it has only
// just answered is asked about once more first.
func (o *standingOrder) sendAgain(nowUs int64, reported *basis) {
	o.askUs, o.sentUs, o.basis = 0, 0, reported
	if o.said != "" && nowUs-o.saidUs < orderAgainUs {
		o.askUs = nowUs + askAgainUs
	}
}

// lookAgain waits for a report that is new enough. One that never comes ends the order: its replica's count will
// be asked for before the next one.
func (f *Controller) lookAgain(nowUs int64, t statemachine.ReplicaCommand, o *standingOrder) {
	if o.outdatedUs == 0 {
		o.outdatedUs = nowUs
	}
	if nowUs-o.outdatedUs > outdatedMostUs {
		f.conclude(t, o, wire.OrderFailed, "its reports are older than its orders", nil)
		return
	}
	o.askUs = nowUs + askAgainUs
}

// conclude settles an order with what the replica holds after it, where that is known.
func (f *Controller) conclude(t statemachine.ReplicaCommand, o *standingOrder, state, why string, result *basis) {
	o.askUs, o.said, o.result = 0, state, result
	f.settled(t.Replica, t, state, why)
}
