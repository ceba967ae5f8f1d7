package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
)

// routedState is the controller's state for routed mode, in which replicas register themselves.
type routedState struct {
	predecessor predecessorWait
	store       storeWindow
	orders      orderTracker
	demand      demandTracker
	residency   residency
	registry    registrySync
	departures  logExpiry
}

func newRoutedState(opts Options) routedState {
	return routedState{
		predecessor: predecessorWait{leaseUs: opts.LeaseUs},
		store:       storeWindow{lengthUs: opts.StoreWindowUs, overshoot: opts.StoreOvershoot},
		orders:      orderTracker{byNumber: map[uint64]*outstandingOrder{}, unreported: map[string]*unreportedReplica{}},
		demand:      demandTracker{estimates: map[string]*demandEstimate{}},
		residency: residency{
			arrivedUs: map[replicaUnit]int64{}, unconfirmedUntilUs: map[replicaUnit]int64{},
			reservations: map[string]reservation{}, unplaced: map[string]bool{},
		},
		registry:   registrySync{holdingsChangedUs: map[string]int64{}, unseenUs: map[string]int64{}},
		departures: newDepartureExpiry(),
	}
}

// routedMode implements mode for replicas that register themselves by heartbeats; see the package documentation.
type routedMode struct{ c *Controller }

func (m routedMode) beginLeadership(snapshot Snapshot) {
	m.c.routed.predecessor.beginLeadership(snapshot.NowUs, m.c.leadership.epoch, snapshot.State)
}

func (m routedMode) tick(snapshot Snapshot) {
	c := m.c
	c.routed.demand.update(snapshot.NowUs, &c.gateways, c.opts.Disable)
	c.evaluateOutliers(snapshot)
	m.plan(snapshot)
	c.writeUpdate(snapshot)
}

// onGatewayReport records the outcomes of attempts. If calls wait for a unit that is not placed anywhere, it plans
// immediately.
func (m routedMode) onGatewayReport(snapshot Snapshot, report *wire.Report) {
	m.c.outliers.onReport(snapshot, report)
	if m.c.hasUnplacedCalls(snapshot, report) {
		m.c.policies.inputChanged = true
		m.c.planAndWrite(snapshot)
	}
}

// onReplicaReport evaluates a replica's report against its outstanding order. Any report also ends the restriction on a
// replica whose last order was settled as unknown.
func (m routedMode) onReplicaReport(snapshot Snapshot, report ReplicaReport) {
	if report.State != nil {
		delete(m.c.routed.orders.unreported, report.Replica)
	}
	command, pending := snapshot.State.Pending[report.Replica]
	o := m.c.routed.orders.byNumber[command.Number]
	if pending && o != nil {
		o.requested = false
		if report.State == nil {
			o.checkUs = snapshot.NowUs + recheckUs
		} else {
			o.unansweredUs = 0
			m.c.evaluateOrder(snapshot, command, o, report.State)
		}
	}
	m.c.planAndWrite(snapshot)
}

// onOrderResult processes a replica's response to an order; unless the response itself is final, the outcome is determined
// from the replica's resident units.
func (m routedMode) onOrderResult(snapshot Snapshot, result OrderResult) {
	command, pending := snapshot.State.Pending[result.Replica]
	o := m.c.routed.orders.byNumber[result.State.Number]
	if pending && command.Number == result.State.Number && o != nil && o.isAnsweredBy(result) {
		m.handleAnswer(snapshot, command, o, result.State)
	}
	m.c.planAndWrite(snapshot)
}

func (m routedMode) handleAnswer(snapshot Snapshot, command statemachine.ReplicaCommand, o *outstandingOrder, answer wire.OrderState) {
	o.answeredUs, o.answer = snapshot.NowUs, answer.State
	switch answer.State {
	case wire.OrderRunning:
		o.checkUs = snapshot.NowUs + expectedDurationUs(snapshot.State, command)
	case wire.OrderDone:
		m.c.recordOutcome(command, wire.OrderDone, "")
	case wire.OrderFailed:
		m.c.recordOutcome(command, wire.OrderFailed, answer.Reason)
	default:
		o.checkUs = snapshot.NowUs + busyCheckUs
	}
}

func (m routedMode) plan(snapshot Snapshot) {
	m.c.reconcileOrders(snapshot)
	m.c.runResidentPolicy(snapshot)
}

func (m routedMode) collect(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	c, s := m.c, snapshot.State
	c.recordRegistry(snapshot, update)
	if before := c.routed.departures.expireBefore(snapshot.NowUs, s.Index); s.HasDeparturesBefore(before) {
		update.ForgetDeparturesBefore = before
	}
	c.settleCommands(snapshot.NowUs, s, update)
	c.gateways.removeSilent(snapshot.NowUs)
	if !c.routed.predecessor.canPlan(snapshot.NowUs) {
		c.policies.proposals = nil
	}
	if c.policies.hasCurrentProposals(s.Revision) {
		commands, verdicts := placement.CheckRouted(s, c.routed.store.totalLoadsLeft(snapshot.NowUs, s), c.policies.proposals)
		c.onVerdicts(verdicts)
		update.Commands = commands
		c.routed.residency.reserve(snapshot.NowUs, verdicts)
	}
}

func (m routedMode) afterWrite(Snapshot) {}

// OnApplied processes the commands and results of any leader as they are applied; it has to be called on each control node.
// A new leader waits until the leases of these commands have expired, and counts their loads. epoch is the epoch of the change, nowUs the
// time in microseconds.
func (c *Controller) OnApplied(nowUs int64, epoch uint64, update statemachine.LeaderUpdate, s *statemachine.State) {
	if s.Doc == nil || !s.Doc.Routed() {
		return
	}
	foreign := epoch != c.leadership.epoch || !c.IsLeader(s)
	c.routed.predecessor.onApplied(nowUs, foreign, update, s)
	c.routed.store.detectUnseenCommands(nowUs, s, len(update.Commands))
	for _, command := range update.Commands {
		c.routed.store.recordLoad(nowUs, s, command)
	}
	for _, result := range update.Results {
		delete(c.routed.orders.byNumber, result.Number)
	}
	if len(update.Results) > 0 {
		c.routed.registry.onApplied(nowUs, s)
	}
}
