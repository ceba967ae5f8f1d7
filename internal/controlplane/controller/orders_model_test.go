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

// modelUnits are the weights of the model's engine: two of the large ones do not fit one replica.
var modelUnits = []string{"large1", "large2", "small1", "small2"}

// modelDeclaration is one service with an engine of modelUnits.
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

// mutation is a defect put between the controllers and the replicas, to show that a checker sees it.
type mutation string

const (
	noMutation                  mutation = ""
	mutationNoExpectedCount     mutation = "orders carry no count"
	mutationIgnoreLease         mutation = "a successor does not wait for the lease"
	mutationOldEpoch            mutation = "an order carries an older fence"
	mutationIgnoreStoreWindow   mutation = "the store's window is not kept"
	mutationDelayedWithoutCount mutation = "an order that lay in a link carries no count"
	mutationLostResults         mutation = "no result of one replica's orders is recorded"
	// faultMissingReports is no defect: orders must be settled all the same.
	faultMissingReports mutation = "no report of one replica arrives"
)

// modelConfig is what a run begins with: how many replicas, how long a load takes as it is stated, and a defect.
type modelConfig struct {
	replicaCount int
	loadMs       int64
	mutation     mutation
}

// modelReplica is one incarnation of a replica as it truly is. Its history is what its report shows a little later.
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
	// lastLeader, lastEpoch and lastOrderUs are of the newest order that arrived.
	lastLeader  string
	lastEpoch   uint64
	lastOrderUs int64
	// acceptedEpoch is that of the order carried out last.
	acceptedEpoch uint64
}

// modelReport is the state that a report of a replica shows.
type modelReport struct {
	atUs  int64
	state wire.ReplicaState
}

// delivery is something that arrives at a moment.
type delivery struct {
	atUs int64
	run  func()
}

// modelControlNode is one control node: its controller, and what it has heard of replicas.
type modelControlNode struct {
	controller *Controller
	registry   *registry.Registry
	// frozen is the ledger as this control node had it when it was cut off from the others, nil while it is not.
	frozenState     *statemachine.State
	isolatedUs      int64
	delayHeartbeats bool
	heartbeats      []registry.ReplicaStatus
}

// orderModel runs two real controllers over one real ledger against model replicas and a model network. Every
// choice is drawn from choose, so that a sequence of choices plays again as it was.
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
	// held are orders that lie in the network until they are released.
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

// restartControlNode begins a new incarnation of a control node: its controller remembers nothing.
func (m *orderModel) restartControlNode(i int) {
	opts := Options{LeaseUs: modelLeaseUs, StoreWindowUs: modelWindowUs, StoreOvershoot: 1}
	switch m.mutation {
	case mutationIgnoreLease:
		opts.LeaseUs = -leaseSlackUs
	case mutationIgnoreStoreWindow:
		opts.StoreOvershoot = 10
	}
	m.controlNodes[i] = &modelControlNode{controller: New(fmt.Sprint("office", i), opts), registry: registry.New(3 * clock.Sec)}
}

// birth begins a new incarnation of a replica, with nothing held and this disk.
func (m *orderModel) startReplica(addr string, disk map[string]bool) {
	m.incarnations++
	id := fmt.Sprintf("%s-life%d", addr, m.incarnations)
	m.replicas[id] = &modelReplica{id: id, addr: addr, resident: map[string]int64{}, disk: disk}
}

func (m *orderModel) tracef(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%6d ms  ", m.nowUs/1000)+fmt.Sprintf(format, args...))
}

func (m *orderModel) failf(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
		m.tracef("BROKEN: %s", m.violation)
	}
}

func (m *orderModel) schedule(us int64, act func()) {
	m.deliveries = append(m.deliveries, delivery{m.nowUs + us, act})
}

// apply brings one change to the ledger; every control node that is not cut off sees it applied.
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

// leads says whether a control node takes itself for the head: one that lost the place does for as long as its lease.
func (m *orderModel) actsAsHead(i int) bool {
	node := m.controlNodes[i]
	if node.frozenState != nil {
		return node.isolatedUs > 0 && m.nowUs < node.isolatedUs+modelHeadLeaseUs
	}
	return i == m.head || (i == m.previousHead && m.nowUs < m.previousHeadUntilUs)
}

// step lets one controller take an event, and carries its effects.
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

// back brings an event to the controller that waits for it, unless that has restarted meanwhile.
func (m *orderModel) reply(i int, to *Controller, ev Event) {
	if m.controlNodes[i].controller == to {
		m.step(i, ev)
	}
}

// write carries a change to the ledger; what a control node that is cut off writes is lost.
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

// withoutResultsOf is an update without what became of the orders at one address.
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

// ask brings a replica's report: its state of a little while ago.
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

// at is the incarnation that answers at an address now.
func (m *orderModel) replicaAt(addr string) *modelReplica {
	for _, id := range slices.Sorted(maps.Keys(m.replicas)) {
		if m.replicas[id].addr == addr {
			return m.replicas[id]
		}
	}
	return nil
}

// send puts an order into the network: it may lie there, come twice, or its answer may be lost.
func (m *orderModel) sendOrder(i int, effect SendOrder) {
	from, order := m.controlNodes[i].controller, effect.Order
	if m.mutation == mutationNoExpectedCount {
		order.ExpectedOrders = nil
	}
	if m.mutation == mutationOldEpoch && m.acceptedCount%3 == 2 {
		order.Epoch--
	}
	m.tracef("office%d sends %s", i, orderText(order))
	answered := false
	answer := func(state string) {
		if answered {
			return
		}
		answered = true
		ordered := OrderResult{Replica: order.Command.Replica, Incarnation: order.Command.Incarnation, Expected: order.ExpectedOrders, State: wire.OrderState{Number: order.Command.Number, Epoch: order.Epoch, State: state}}
		m.reply(i, from, ordered)
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
	count := "any count"
	if o.ExpectedOrders != nil {
		count = fmt.Sprintf("count %d", *o.ExpectedOrders)
	}
	return fmt.Sprintf("ticket %d: %s %s at %s, fence %d, %s", o.Command.Number, o.Command.Action, o.Command.Unit, o.Command.Replica, o.Epoch, count)
}

// arrive is an order at a replica: it answers by what it holds, and the checkers judge what was asked of it.
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
	m.tracef("%s takes %s %s as its order %d", r.id, command.Action, command.Unit, r.ordersAccepted)
	return wire.OrderRunning
}

// durationUs is how long an order takes; a load from the store counts against its window.
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

// checkSingleLeader is ONE: fences never fall, and two holders never take turns within the lease. An order that lay
// in a cut link is not judged.
func (m *orderModel) checkSingleLeader(r *modelReplica, o wire.Order, healed bool) {
	if healed {
		return
	}
	if r.lastLeader != "" {
		switch sinceUs := m.nowUs - r.lastOrderUs; {
		case o.Epoch < r.lastEpoch:
			m.failf("ONE: fence %d after %d at %s", o.Epoch, r.lastEpoch, r.id)
		case o.Leader != r.lastLeader && o.Epoch == r.lastEpoch:
			m.failf("ONE: %s and %s have fence %d at %s", o.Leader, r.lastLeader, o.Epoch, r.id)
		case o.Leader != r.lastLeader && sinceUs < modelLeaseUs:
			m.failf("ONE: %s orders %s %d ms after %s", o.Leader, r.id, sinceUs/1000, r.lastLeader)
		}
	}
	r.lastLeader, r.lastEpoch, r.lastOrderUs = o.Leader, o.Epoch, m.nowUs
}

// checkEpoch is FENCE: a replica that compares no fences carries out no order of an older one after an order of a newer, also
// where the older lay in a link that healed. The count alone must refuse it.
func (m *orderModel) checkEpoch(r *modelReplica, o wire.Order) {
	// Orders without any count break LIMIT as well, whose checker has to show that by itself.
	if o.Epoch < r.acceptedEpoch && m.mutation != mutationNoExpectedCount {
		m.failf("FENCE: %s carries out an order under fence %d after one under %d", r.id, o.Epoch, r.acceptedEpoch)
	}
	r.acceptedEpoch = o.Epoch
}

// checkCapacity is LIMIT: no replica is ordered to load beyond its room or its places. False where an adapter's
// model is not there, which a replica refuses.
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
		m.failf("LIMIT: %s holds %v and is ordered to load %s: %d of %d MB, %d of %d places", r.id, r.units(), command.Unit, sumMb, modelCapacityMb, adapters, modelMaxAdapters)
	}
	return true
}

// checkStore is CEILING: no more loads from the store begin within its window than it allows.
func (m *orderModel) checkStore() {
	m.loadTimesUs = append(m.loadTimesUs, m.nowUs)
	began := 0
	for _, atUs := range m.loadTimesUs {
		if m.nowUs-atUs < modelWindowUs {
			began++
		}
	}
	if maxLoads := modelLoadsPerSecond*float64(modelWindowUs)/1e6 + 3; float64(began) > maxLoads {
		m.failf("CEILING: %d loads began within %d ms, %.1f are allowed", began, modelWindowUs/1000, maxLoads)
	}
}

func (r *modelReplica) units() []string { return slices.Sorted(maps.Keys(r.resident)) }

// report is the newest state that is not younger than a moment.
func (r *modelReplica) report(atUs int64) wire.ReplicaState {
	state := wire.ReplicaState{Units: []string{}}
	for _, h := range r.history {
		if h.atUs <= atUs {
			state = h.state
		}
	}
	return state
}

// advance ends an order whose time has come, and notes what a report shows.
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

// pass lets time go by: what is due arrives, replicas go on and say so, and each controller ticks.
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

// beat is a heartbeat, which every control node hears or finds in its links later.
func (m *orderModel) sendHeartbeat(r *modelReplica) {
	r.heartbeatUs = m.nowUs
	r.sequence++
	heartbeat := registry.ReplicaStatus{ID: r.id, Service: modelService, Addr: r.addr, Zone: "a", Slots: 8, Seq: r.sequence, Units: r.units()}
	for _, node := range m.controlNodes {
		node.heartbeats = append(node.heartbeats, heartbeat)
	}
}

// hear gives a control node its heartbeats. What lay in its links comes a few at a time, as if it had just been said.
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

// propose asks the head for an order that the ledger takes for fitting: the policy may be any.
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

// takeOver makes the other control node the head; the old one goes on for as long as its lease.
func (m *orderModel) takeOver() {
	if m.controlNodes[1-m.head].frozenState != nil {
		m.heal()
	}
	m.tracef("office%d takes over", 1-m.head)
	m.previousHead, m.previousHeadUntilUs = m.head, m.nowUs+modelHeadLeaseUs
	m.head = 1 - m.head
}

// isolateHead cuts the head off from the other control node and from replicas; the other takes over.
func (m *orderModel) isolateHead() {
	if m.controlNodes[1-m.head].frozenState != nil {
		m.heal()
	}
	m.tracef("office%d is cut off", m.head)
	node := m.controlNodes[m.head]
	node.frozenState, node.isolatedUs = m.state.Snapshot(), m.nowUs
	m.previousHead, m.head = -1, 1-m.head
}

// isolateFollower cuts off the control node that is not the head.
func (m *orderModel) isolateFollower() {
	if node := m.controlNodes[1-m.head]; node.frozenState == nil {
		m.tracef("office%d is cut off", 1-m.head)
		node.frozenState, node.isolatedUs = m.state.Snapshot(), 0
	}
}

// heal joins a control node that was cut off: it takes a copy of the ledger, and what lay in its links arrives.
func (m *orderModel) heal() {
	for i, node := range m.controlNodes {
		if node.frozenState != nil {
			m.tracef("office%d is joined again", i)
			node.frozenState = nil
		}
	}
	m.releaseOrders()
}

// release lets the orders that lie in the network arrive.
func (m *orderModel) releaseOrders() {
	orders := m.delayedOrders
	m.delayedOrders, m.delayOrders = nil, false
	for _, arrive := range orders {
		m.schedule(modelTickUs, func() { arrive(true) })
	}
}

// calm ends every fault and lets all settle; then no order may stand, and the ledger shows what replicas hold.
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
		m.failf("LOST: %d s after the last fault %s", modelQuiesceUs/clock.Sec, reason)
	}
}

// unsettled says what stands, or in what the ledger and the replicas differ; empty where all is settled.
func (m *orderModel) unsettled() string {
	for _, id := range sortedKeys(m.state.Pending) {
		command := m.state.Pending[id]
		return fmt.Sprintf("ticket %d stands (%s %s at %s)", command.Number, command.Action, command.Unit, id)
	}
	for _, id := range slices.Sorted(maps.Keys(m.replicas)) {
		recorded, r := m.state.Replicas[id], m.replicas[id]
		if recorded == nil || r.current != nil || !maps.Equal(recorded.Resident, r.resident) {
			return fmt.Sprintf("the ledger has %+v of %s, which holds %v", recorded, id, r.resident)
		}
	}
	return ""
}
