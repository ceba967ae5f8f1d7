package controller

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	modelTickUs          = 50 * clock.Ms
	modelHeartbeatUs     = 200 * clock.Ms
	modelReportLagUs     = 250 * clock.Ms
	modelAnswerTimeoutUs = 900 * clock.Ms
	modelHeadLeaseUs     = 400 * clock.Ms
	modelLeaseUs         = 3 * clock.Sec
	modelWindowUs        = 5 * clock.Sec
	modelLoadMs          = 2000
	modelShortLoadMs     = 400
	modelSlowFactor      = 3
	modelUnloadUs        = 100 * clock.Ms
	modelQuiesceUs       = 30 * clock.Sec
	modelSlowUnloadUs    = 3 * clock.Sec
	modelCapacityMb      = 100
	modelMaxAdapters     = 2
	modelLoadsPerSecond  = 1.0
	modelService         = "s"
)

// modelUnits are the models of the simulated engine. Two of the large ones do not fit on one replica.
var modelUnits = []string{"large1", "large2", "small1", "small2"}

// modelDeclaration returns a declaration of one service with an engine that has modelUnits.
func modelDeclaration(loadMs int64) *configuration.Declaration {
	engine := &configuration.Engine{Slots: 8, CacheTokens: 1, CapacityMB: modelCapacityMb, MaxAdapters: modelMaxAdapters, LoadsPerSecond: modelLoadsPerSecond}
	for _, unit := range modelUnits {
		sizeMb := int64(60)
		if strings.HasPrefix(unit, "small") {
			sizeMb = 30
		}
		engine.Models = append(engine.Models, configuration.EngineModel{Name: unit, SizeMB: sizeMb, LoadMs: loadMs, Adapters: 4, AdapterMB: 2})
	}
	route := configuration.Route{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: modelService, Weight: 1}}}
	return &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: modelService, Engine: engine}}, Routes: []configuration.Route{route}}
}

// mutation is a deliberate defect injected between the controllers and the replicas, to verify that a checker detects it.
type mutation string

const (
	noMutation                  mutation = ""
	mutationNoExpectedCount     mutation = "orders have no expected count"
	mutationIgnoreLease         mutation = "successor ignores the lease"
	mutationOldEpoch            mutation = "orders have an older epoch"
	mutationIgnoreStoreWindow   mutation = "store window is ignored"
	mutationDelayedWithoutCount mutation = "delayed orders have no expected count"
	mutationLostResults         mutation = "results of one replica are not recorded"
	// faultMissingReports is a fault rather than a mutation: orders must be settled in spite of it.
	faultMissingReports mutation = "reports of one replica are lost"
)

// modelConfig is the configuration of a run: the number of replicas, the declared duration of a load, and the injected
// mutation.
type modelConfig struct {
	replicaCount int
	loadMs       int64
	mutation     mutation
}

// modelReplica is the actual state of one replica incarnation. Reports show its history with a delay.
type modelReplica struct {
	id, addr       string
	resident       map[string]int64
	disk           map[string]bool
	ordersAccepted uint64
	current        *statemachine.ReplicaCommand
	doneUs         int64
	heartbeatUs    int64
	sequence       uint64
	history        []modelReport
	// lastLeader, lastEpoch and lastOrderUs describe the latest order that arrived.
	lastLeader  string
	lastEpoch   uint64
	lastOrderUs int64
	// acceptedEpoch is the epoch of the latest order that was carried out.
	acceptedEpoch uint64
}

// modelReport is the state shown by a report of a replica.
type modelReport struct {
	atUs  int64
	state wire.ReplicaState
}

// delivery is a scheduled arrival.
type delivery struct {
	atUs int64
	run  func()
}

// modelControlNode is a control node: its controller and its registry of replicas.
type modelControlNode struct {
	controller *Controller
	registry   *registry.Registry
	// frozenState is the control node's copy of the replicated state at the time it was isolated; nil while it is connected.
	frozenState     *statemachine.State
	isolatedUs      int64
	delayHeartbeats bool
	heartbeats      []registry.ReplicaStatus
}

// orderModel runs two real controllers on one real replicated state with simulated replicas and a simulated network. All
// choices are made by choose, so that a sequence of choices can be replayed.
type orderModel struct {
	modelConfig
	choose              func(n int) int
	nowUs               int64
	state               *statemachine.State
	index               uint64
	controlNodes        [2]*modelControlNode
	head                int
	previousHead        int
	previousHeadUntilUs int64
	replicas            map[string]*modelReplica
	incarnations        int
	deliveries          []delivery
	// delayedOrders are the orders held back in the network until they are released.
	delayedOrders   []func(healed bool)
	delayOrders     bool
	loseAnswers     bool
	duplicateOrders bool
	slowStore       bool
	slowUnload      bool
	loadTimesUs     []int64
	violation       string
	trace           []string
	acceptedCount   int
	settledCount    int
}

func newOrderModel(choose func(n int) int, config modelConfig) *orderModel {
	m := &orderModel{modelConfig: config, choose: choose, nowUs: clock.Sec, state: statemachine.NewState(), replicas: map[string]*modelReplica{}, previousHead: -1}
	m.apply(statemachine.Change{ID: "configuration", Config: &statemachine.ConfigChange{Version: 1, Doc: modelDeclaration(config.loadMs)}})
	for i := range m.controlNodes {
		m.restartControlNode(i)
	}
	for i := range config.replicaCount {
		m.startReplica(fmt.Sprint("address", i), map[string]bool{})
	}
	m.advance(modelLeaseUs + clock.Sec)
	m.trace = nil
	return m
}

// restartControlNode starts a new incarnation of a control node with a new controller.
func (m *orderModel) restartControlNode(i int) {
	opts := Options{LeaseUs: modelLeaseUs, StoreWindowUs: modelWindowUs, StoreOvershoot: 1}
	switch m.mutation {
	case mutationIgnoreLease:
		opts.LeaseUs = -leaseSlackUs
	case mutationIgnoreStoreWindow:
		opts.StoreOvershoot = 10
	}
	m.controlNodes[i] = &modelControlNode{controller: New(fmt.Sprint("node", i), opts), registry: registry.New(3 * clock.Sec)}
}

// startReplica starts a new incarnation of a replica with no resident units and the given disk content.
func (m *orderModel) startReplica(addr string, disk map[string]bool) {
	m.incarnations++
	id := fmt.Sprintf("%s-incarnation%d", addr, m.incarnations)
	m.replicas[id] = &modelReplica{id: id, addr: addr, resident: map[string]int64{}, disk: disk}
}

func (m *orderModel) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%6d ms  ", m.nowUs/1000)+fmt.Sprintf(format, args...))
}

func (m *orderModel) failf(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
		m.tracef("VIOLATION: %s", m.violation)
	}
}

func (m *orderModel) schedule(delayUs int64, run func()) {
	m.deliveries = append(m.deliveries, delivery{m.nowUs + delayUs, run})
}

// apply applies a change to the replicated state and notifies the connected control nodes.
func (m *orderModel) apply(c statemachine.Change) statemachine.Outcome {
	m.index++
	out := m.state.Apply(m.index, c)
	if c.LeaderUpdate == nil || len(c.LeaderUpdate.Commands)+len(c.LeaderUpdate.Results) == 0 {
		return out
	}
	if out.Fault == nil {
		m.settledCount += len(c.LeaderUpdate.Results)
	}
	for _, node := range m.controlNodes {
		if node.frozenState == nil {
			node.controller.OnApplied(m.nowUs, c.Epoch, *c.LeaderUpdate, m.state)
		}
	}
	return out
}

// actsAsHead reports whether a control node considers itself the head. A former head does so until its lease expires.
func (m *orderModel) actsAsHead(i int) bool {
	node := m.controlNodes[i]
	if node.frozenState != nil {
		return node.isolatedUs > 0 && m.nowUs < node.isolatedUs+modelHeadLeaseUs
	}
	return i == m.head || (i == m.previousHead && m.nowUs < m.previousHeadUntilUs)
}

// step passes an event to one controller and carries out the effects.
func (m *orderModel) step(i int, ev Event) {
	node := m.controlNodes[i]
	state := m.state
	if node.frozenState != nil {
		state = node.frozenState
	}
	leads := m.actsAsHead(i)
	snapshot := Snapshot{NowUs: m.nowUs, State: state, IsHead: leads, IsFresh: leads, CanWrite: true, Registry: node.registry}
	for _, effect := range node.controller.Step(snapshot, ev) {
		switch effect := effect.(type) {
		case WriteChange:
			m.write(i, *effect.Change)
		case ReportRequest:
			m.requestReport(i, effect)
		case SendOrder:
			m.sendOrder(i, effect)
		}
	}
}

// reply passes an event to the controller that waits for it, unless the control node has restarted in the meantime.
func (m *orderModel) reply(i int, to *Controller, ev Event) {
	if m.controlNodes[i].controller == to {
		m.step(i, ev)
	}
}

// write applies a change to the replicated state after a delay. Changes of an isolated control node are lost.
func (m *orderModel) write(i int, change statemachine.Change) {
	from := m.controlNodes[i].controller
	m.schedule(modelTickUs, func() {
		if m.controlNodes[i].frozenState != nil || m.controlNodes[i].controller != from || i != m.head {
			return
		}
		if m.mutation == mutationLostResults && change.LeaderUpdate != nil {
			change.LeaderUpdate = m.withoutResultsOf(*change.LeaderUpdate, "address0")
		}
		out := m.apply(change)
		if change.LeaderUpdate != nil {
			m.reply(i, from, WriteResult{Outcome: out})
		}
	})
}

// withoutResultsOf returns the update without the results of commands for the replica at an address.
func (m *orderModel) withoutResultsOf(update statemachine.LeaderUpdate, addr string) *statemachine.LeaderUpdate {
	update.Results = slices.DeleteFunc(slices.Clone(update.Results), func(r statemachine.CommandResult) bool {
		for _, command := range m.state.Pending {
			if replica := m.state.Replicas[command.Replica]; command.Number == r.Number && replica != nil && replica.Addr == addr {
				return true
			}
		}
		return false
	})
	return &update
}

// requestReport returns a replica's report to the controller. The report shows the state of modelReportLagUs ago.
func (m *orderModel) requestReport(i int, request ReportRequest) {
	from := m.controlNodes[i].controller
	m.schedule(modelTickUs, func() {
		report := ReplicaReport{RequestedUs: request.RequestedUs, Replica: request.Replica, Addr: request.Addr}
		r := m.replicaAt(request.Addr)
		if lost := r != nil && m.mutation == faultMissingReports && r.addr == "address0"; r != nil && !lost {
			state := r.report(m.nowUs - modelReportLagUs)
			state.ID, state.Incarnation = request.Replica, request.Replica
			report.State = &state
		}
		m.schedule(modelTickUs, func() { m.reply(i, from, report) })
	})
}

// replicaAt returns the replica incarnation that currently answers at an address.
func (m *orderModel) replicaAt(addr string) *modelReplica {
	for _, id := range slices.Sorted(maps.Keys(m.replicas)) {
		if m.replicas[id].addr == addr {
			return m.replicas[id]
		}
	}
	return nil
}

// sendOrder sends an order through the network, which may delay or duplicate it or lose the answer.
func (m *orderModel) sendOrder(i int, effect SendOrder) {
	from, order := m.controlNodes[i].controller, effect.Order
	if m.mutation == mutationNoExpectedCount {
		order.ExpectedOrders = nil
	}
	if m.mutation == mutationOldEpoch && m.acceptedCount%3 == 2 {
		order.Epoch--
	}
	m.tracef("node %d sends %s", i, orderText(order))
	answered := false
	answer := func(state string) {
		if answered {
			return
		}
		answered = true
		result := OrderResult{Replica: order.Command.Replica, Incarnation: order.Command.Incarnation, Expected: order.ExpectedOrders, State: wire.OrderState{Number: order.Command.Number, Epoch: order.Epoch, State: state}}
		m.reply(i, from, result)
	}
	arrive := func(healed bool) {
		state := m.receiveOrder(effect.Addr, order, healed)
		if !m.loseAnswers {
			m.schedule(modelTickUs, func() { answer(state) })
		}
	}
	m.schedule(modelAnswerTimeoutUs, func() { answer(wire.OrderInDoubt) })
	if m.delayOrders || m.controlNodes[i].frozenState != nil {
		if m.mutation == mutationDelayedWithoutCount {
			order.ExpectedOrders = nil
		}
		m.delayedOrders = append(m.delayedOrders, arrive)
		return
	}
	m.schedule(modelTickUs, func() { arrive(false) })
	if m.duplicateOrders {
		m.delayedOrders = append(m.delayedOrders, arrive)
	}
}

func orderText(o wire.Order) string {
	count := "no expected count"
	if o.ExpectedOrders != nil {
		count = fmt.Sprintf("expected count %d", *o.ExpectedOrders)
	}
	return fmt.Sprintf("command %d: %s %s at %s, epoch %d, %s", o.Command.Number, o.Command.Action, o.Command.Unit, o.Command.Replica, o.Epoch, count)
}

// receiveOrder processes an order at a replica. The replica answers according to its state, and the checkers verify that the
// order was permitted.
func (m *orderModel) receiveOrder(addr string, order wire.Order, healed bool) string {
	r := m.replicaAt(addr)
	if r == nil {
		return wire.OrderInDoubt
	}
	if r.id != order.Command.Incarnation {
		return wire.OrderFailed
	}
	m.checkSingleLeader(r, order, healed)
	command := order.Command
	_, isResident := r.resident[command.Unit]
	switch {
	case r.current != nil, order.ExpectedOrders != nil && *order.ExpectedOrders != r.ordersAccepted:
		return wire.OrderBusy
	case isResident == (command.Action == statemachine.Load):
		return wire.OrderDone
	case command.Action == statemachine.Load && !m.checkCapacity(r, command):
		return wire.OrderFailed
	}
	m.checkEpoch(r, order)
	r.ordersAccepted++
	m.acceptedCount++
	r.current = &command
	r.doneUs = m.nowUs + m.durationUs(r, command)
	m.tracef("%s accepts %s %s as its order %d", r.id, command.Action, command.Unit, r.ordersAccepted)
	return wire.OrderRunning
}

// durationUs returns the duration of an order. A load from the store counts against the store window.
func (m *orderModel) durationUs(r *modelReplica, command statemachine.ReplicaCommand) int64 {
	switch {
	case command.Action == statemachine.Unload && m.slowUnload:
		return modelSlowUnloadUs
	case command.Action == statemachine.Unload:
		return modelUnloadUs
	case strings.Contains(command.Unit, "/"):
		return 20 * clock.Ms
	case r.disk[command.Unit]:
		return 300 * clock.Ms
	}
	m.checkStore()
	if m.slowStore {
		return modelSlowFactor * m.loadMs * clock.Ms
	}
	return m.loadMs * clock.Ms
}

// checkSingleLeader checks rule ONE: epochs never decrease, and orders of two leaders are never less than a lease apart. An
// order that was delayed in a severed link is not checked.
func (m *orderModel) checkSingleLeader(r *modelReplica, o wire.Order, healed bool) {
	if healed {
		return
	}
	if r.lastLeader != "" {
		switch sinceUs := m.nowUs - r.lastOrderUs; {
		case o.Epoch < r.lastEpoch:
			m.failf("ONE: epoch %d after epoch %d at %s", o.Epoch, r.lastEpoch, r.id)
		case o.Leader != r.lastLeader && o.Epoch == r.lastEpoch:
			m.failf("ONE: %s and %s both have epoch %d at %s", o.Leader, r.lastLeader, o.Epoch, r.id)
		case o.Leader != r.lastLeader && sinceUs < modelLeaseUs:
			m.failf("ONE: %s orders %s %d ms after %s", o.Leader, r.id, sinceUs/1000, r.lastLeader)
		}
	}
	r.lastLeader, r.lastEpoch, r.lastOrderUs = o.Leader, o.Epoch, m.nowUs
}

// checkEpoch checks rule FENCE: a replica that does not compare epochs carries out no order of an older epoch after one of a
// newer epoch, even if the older order was delayed in a severed link. The order count alone has to cause the rejection.
func (m *orderModel) checkEpoch(r *modelReplica, o wire.Order) {
	// Orders without an expected count also violate LIMIT, and the checker of LIMIT has to detect that by itself.
	if o.Epoch < r.acceptedEpoch && m.mutation != mutationNoExpectedCount {
		m.failf("FENCE: %s carries out an order of epoch %d after one of epoch %d", r.id, o.Epoch, r.acceptedEpoch)
	}
	r.acceptedEpoch = o.Epoch
}

// checkCapacity checks rule LIMIT: no replica is ordered to load beyond its capacity or its adapter slots. It returns false
// for an adapter whose model is not resident, which a replica rejects.
func (m *orderModel) checkCapacity(r *modelReplica, command statemachine.ReplicaCommand) bool {
	model, adapter := configuration.SplitUnit(command.Unit)
	if _, there := r.resident[model]; adapter != "" && !there {
		return false
	}
	sumMb, adapters := command.SizeMB, strings.Count(command.Unit, "/")
	for unit, sizeMb := range r.resident {
		sumMb += sizeMb
		adapters += strings.Count(unit, "/")
	}
	if sumMb > modelCapacityMb || adapters > modelMaxAdapters {
		m.failf("LIMIT: %s holds %v and is ordered to load %s: %d of %d MB, %d of %d adapter slots",
			r.id, r.units(), command.Unit, sumMb, modelCapacityMb, adapters, modelMaxAdapters)
	}
	return true
}

// checkStore checks rule CEILING: no more loads from the store begin within the store window than it allows.
func (m *orderModel) checkStore() {
	m.loadTimesUs = append(m.loadTimesUs, m.nowUs)
	began := 0
	for _, atUs := range m.loadTimesUs {
		if m.nowUs-atUs < modelWindowUs {
			began++
		}
	}
	if maxLoads := modelLoadsPerSecond*float64(modelWindowUs)/1e6 + 3; float64(began) > maxLoads {
		m.failf("CEILING: %d loads began within %d ms, at most %.1f are allowed", began, modelWindowUs/1000, maxLoads)
	}
}

func (r *modelReplica) units() []string { return slices.Sorted(maps.Keys(r.resident)) }

// report returns the latest recorded state from atUs or before.
func (r *modelReplica) report(atUs int64) wire.ReplicaState {
	state := wire.ReplicaState{Units: []string{}}
	for _, h := range r.history {
		if h.atUs <= atUs {
			state = h.state
		}
	}
	return state
}

// advance completes the current order if it is due and records the state for reports.
func (r *modelReplica) advance(nowUs int64) {
	if command := r.current; command != nil && nowUs >= r.doneUs {
		r.current = nil
		if command.Action == statemachine.Load {
			r.resident[command.Unit] = command.SizeMB
			r.disk[command.Unit] = true
		} else {
			maps.DeleteFunc(r.resident, func(unit string, _ int64) bool {
				return unit == command.Unit || strings.HasPrefix(unit, command.Unit+"/")
			})
		}
	}
	r.history = append(r.history, modelReport{nowUs, wire.ReplicaState{Busy: r.current != nil, Orders: r.ordersAccepted, Units: r.units()}})
	if len(r.history) > 16 {
		r.history = slices.Clone(r.history[8:])
	}
}

// advance advances the time: it makes the due deliveries, advances the replicas and their heartbeats, and ticks each
// controller.
func (m *orderModel) advance(us int64) {
	for endUs := m.nowUs + us; m.nowUs < endUs && m.violation == ""; {
		m.nowUs += modelTickUs
		m.deliver()
		for _, id := range slices.Sorted(maps.Keys(m.replicas)) {
			r := m.replicas[id]
			r.advance(m.nowUs)
			if m.nowUs-r.heartbeatUs >= modelHeartbeatUs {
				m.sendHeartbeat(r)
			}
		}
		for i := range m.controlNodes {
			m.receiveHeartbeats(i)
			m.controlNodes[i].registry.Sweep(m.nowUs)
			m.step(i, Tick{})
		}
	}
}

func (m *orderModel) deliver() {
	due := []delivery{}
	m.deliveries = slices.DeleteFunc(m.deliveries, func(d delivery) bool {
		if d.atUs <= m.nowUs {
			due = append(due, d)
			return true
		}
		return false
	})
	for _, d := range due {
		d.run()
	}
}

// sendHeartbeat queues a heartbeat for every control node.
func (m *orderModel) sendHeartbeat(r *modelReplica) {
	r.heartbeatUs = m.nowUs
	r.sequence++
	heartbeat := registry.ReplicaStatus{ID: r.id, Service: modelService, Addr: r.addr, Zone: "a", Slots: 8, Seq: r.sequence, Units: r.units()}
	for _, node := range m.controlNodes {
		node.heartbeats = append(node.heartbeats, heartbeat)
	}
}

// receiveHeartbeats delivers queued heartbeats to a control node. Delayed heartbeats arrive a few at a time, with the
// current time as the time of receipt.
func (m *orderModel) receiveHeartbeats(i int) {
	node := m.controlNodes[i]
	if node.frozenState != nil || node.delayHeartbeats {
		return
	}
	n := min(len(node.heartbeats), 2+len(m.replicas))
	for _, heartbeat := range node.heartbeats[:n] {
		node.registry.HandleHeartbeat(m.nowUs, heartbeat)
	}
	node.heartbeats = slices.Clone(node.heartbeats[n:])
}

// propose adds a proposal at the head, for the checker to accept or reject, so that the test does not depend on a policy.
func (m *orderModel) propose(step statemachine.Action, replica int, unit string) {
	ids := m.state.ReplicaIDs()
	if len(ids) == 0 {
		return
	}
	m.proposeAt(step, ids[replica%len(ids)], unit)
}

func (m *orderModel) proposeAt(step statemachine.Action, replica, unit string) {
	p := placement.Proposal{Step: step, Replica: replica, Unit: unit}
	m.tracef("propose %s %s at %s", p.Step, p.Unit, p.Replica)
	c := m.controlNodes[m.head].controller
	c.policies.proposals, c.policies.revision = append(slices.Clone(c.policies.proposals), p), m.state.Revision
}

// takeOver makes the other control node the head. The previous head continues to act until its lease expires.
func (m *orderModel) takeOver() {
	if m.controlNodes[1-m.head].frozenState != nil {
		m.heal()
	}
	m.tracef("node %d takes over", 1-m.head)
	m.previousHead, m.previousHeadUntilUs = m.head, m.nowUs+modelHeadLeaseUs
	m.head = 1 - m.head
}

// isolateHead disconnects the head from the other control node and from the replicas; the other control node takes over.
func (m *orderModel) isolateHead() {
	if m.controlNodes[1-m.head].frozenState != nil {
		m.heal()
	}
	m.tracef("node %d is isolated", m.head)
	node := m.controlNodes[m.head]
	node.frozenState, node.isolatedUs = m.state.Snapshot(), m.nowUs
	m.previousHead, m.head = -1, 1-m.head
}

// isolateFollower disconnects the control node that is not the head.
func (m *orderModel) isolateFollower() {
	if node := m.controlNodes[1-m.head]; node.frozenState == nil {
		m.tracef("node %d is isolated", 1-m.head)
		node.frozenState, node.isolatedUs = m.state.Snapshot(), 0
	}
}

// heal reconnects an isolated control node: it gets the current replicated state, and the delayed orders arrive.
func (m *orderModel) heal() {
	for i, node := range m.controlNodes {
		if node.frozenState != nil {
			m.tracef("node %d is reconnected", i)
			node.frozenState = nil
		}
	}
	m.releaseOrders()
}

// releaseOrders lets the delayed orders arrive.
func (m *orderModel) releaseOrders() {
	orders := m.delayedOrders
	m.delayedOrders, m.delayOrders = nil, false
	for _, arrive := range orders {
		m.schedule(modelTickUs, func() { arrive(true) })
	}
}

// quiesce ends all faults and waits until everything is settled. It then checks rule LOST: no command is pending, and the
// replicated state matches the replicas.
func (m *orderModel) quiesce() {
	m.loseAnswers, m.duplicateOrders, m.slowStore, m.slowUnload = false, false, false, false
	for _, node := range m.controlNodes {
		node.delayHeartbeats = false
		node.controller.policies.proposals = nil
	}
	m.heal()
	m.advance(2 * clock.Sec)
	for endUs := m.nowUs + modelQuiesceUs; m.nowUs < endUs && m.violation == "" && m.unsettled() != ""; {
		m.advance(clock.Sec)
	}
	if reason := m.unsettled(); reason != "" {
		m.failf("LOST: %d s after the last fault: %s", modelQuiesceUs/clock.Sec, reason)
	}
}

// unsettled describes a pending command or a difference between the replicated state and the replicas; empty if there is
// none.
func (m *orderModel) unsettled() string {
	for _, id := range sortedKeys(m.state.Pending) {
		command := m.state.Pending[id]
		return fmt.Sprintf("command %d is still pending (%s %s at %s)", command.Number, command.Action, command.Unit, id)
	}
	for _, id := range slices.Sorted(maps.Keys(m.replicas)) {
		recorded, r := m.state.Replicas[id], m.replicas[id]
		if recorded == nil || r.current != nil || !maps.Equal(recorded.Resident, r.resident) {
			return fmt.Sprintf("the replicated state of %s is %+v, its actual resident units are %v", id, recorded, r.resident)
		}
	}
	return ""
}
