package controller

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// modelAction is an action that the exhaustive search may take next.
type modelAction struct {
	name string
	run  func(m *orderModel)
}

// exploreActions are the actions of the exhaustive search, on one replica and the two large units.
var exploreActions = []modelAction{
	{"wait 600 ms", func(m *orderModel) { m.advance(600 * clock.Ms) }},
	{"wait 4 s", func(m *orderModel) { m.advance(4 * clock.Sec) }},
	{"load large1", func(m *orderModel) { m.propose(statemachine.Load, 0, "large1"); m.advance(300 * clock.Ms) }},
	{"load large2", func(m *orderModel) { m.propose(statemachine.Load, 0, "large2"); m.advance(300 * clock.Ms) }},
	{"unload large1", func(m *orderModel) { m.propose(statemachine.Unload, 0, "large1"); m.advance(300 * clock.Ms) }},
	{"take over", func(m *orderModel) { m.takeOver(); m.advance(modelHeadLeaseUs) }},
	{"isolate the head", func(m *orderModel) { m.isolateHead(); m.advance(modelHeadLeaseUs) }},
	{"heal", func(m *orderModel) { m.heal(); m.advance(300 * clock.Ms) }},
	{"isolate the follower", func(m *orderModel) { m.isolateFollower() }},
	{"toggle slow store", func(m *orderModel) { m.slowStore = !m.slowStore }},
	{"toggle delayed orders", func(m *orderModel) { m.delayOrders = !m.delayOrders }},
	{"toggle lost answers", func(m *orderModel) { m.loseAnswers = !m.loseAnswers }},
	{"toggle delayed heartbeats", func(m *orderModel) { m.controlNodes[1].delayHeartbeats = !m.controlNodes[1].delayHeartbeats }},
	{"replace the replica", func(m *orderModel) { m.replaceReplica(); m.advance(300 * clock.Ms) }},
}

// exploreStarts are the initial states of the exhaustive search.
var exploreStarts = map[string]func(m *orderModel){
	"no resident unit": func(*orderModel) {},
	"resident unit": func(m *orderModel) {
		m.propose(statemachine.Load, 0, "large1")
		m.advance(4 * clock.Sec)
	},
	"slow load in progress": func(m *orderModel) {
		m.slowStore = true
		m.propose(statemachine.Load, 0, "large1")
		m.advance(300 * clock.Ms)
	},
}

// exploreDepth is the number of actions after the initial state.
const exploreDepth = 3

// runSequence runs one sequence of actions from an initial state and then lets the model quiesce.
func runSequence(start func(m *orderModel), sequence []int) *orderModel {
	onlyChoice := func(int) int { return 0 }
	m := newOrderModel(onlyChoice, modelConfig{replicaCount: 1, loadMs: modelLoadMs})
	start(m)
	for _, action := range sequence {
		if m.violation == "" {
			m.tracef("-- %s", exploreActions[action].name)
			exploreActions[action].run(m)
		}
	}
	if m.violation == "" {
		m.tracef("-- quiesce")
		m.quiesce()
	}
	return m
}

// nextSequence advances to the next sequence of actions; it returns false after the last one.
func nextSequence(sequence []int) bool {
	for position := len(sequence) - 1; position >= 0; position-- {
		if sequence[position]++; sequence[position] < len(exploreActions) {
			return true
		}
		sequence[position] = 0
	}
	return false
}

// Runs every sequence of exploreDepth faults and orders at one replica, from each initial state.
func TestOrderInvariantsHoldForAllShortSequences(t *testing.T) {
	for name, start := range exploreStarts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sequences, accepted := 0, 0
			sequence := make([]int, exploreDepth)
			for more := true; more; more = nextSequence(sequence) {
				m := runSequence(start, sequence)
				if sequences, accepted = sequences+1, accepted+m.acceptedCount; m.violation != "" {
					t.Fatalf("after %d sequences: %s\n%s", sequences, m.violation, strings.Join(m.trace, "\n"))
				}
			}
			t.Logf("%d sequences, %d orders accepted", sequences, accepted)
		})
	}
}

// randomWalk runs a long random sequence of orders and faults on several replicas.
func randomWalk(seed int64, injected mutation) *orderModel {
	const steps = 200
	r := rand.New(rand.NewSource(seed))
	m := newOrderModel(r.Intn, modelConfig{3 + int(seed%4), modelLoadMs, injected})
	for n := 0; n < steps && m.violation == ""; n++ {
		m.randomOrders(4)
		m.randomFault()
		m.advance(int64(1+r.Intn(24)) * modelTickUs)
	}
	if m.violation == "" {
		m.quiesce()
	}
	return m
}

// storeLoadStress requests as many loads from the store as possible: replicas are replaced by ones with empty disks, and
// leadership changes from time to time.
func storeLoadStress(seed int64, injected mutation) *orderModel {
	const steps = 300
	r := rand.New(rand.NewSource(seed))
	m := newOrderModel(r.Intn, modelConfig{8, modelShortLoadMs, injected})
	for n := 0; n < steps && m.violation == ""; n++ {
		for _, replica := range slices.Sorted(maps.Keys(m.replicas)) {
			m.proposeAt(statemachine.Load, replica, modelUnits[r.Intn(len(modelUnits))])
		}
		switch r.Intn(60) {
		case 0:
			m.takeOver()
		case 1:
			m.restartReachableControlNode(r.Intn(2))
		case 2, 3, 4, 5, 6, 7, 8, 9, 10, 11:
			m.replaceReplicaGracefully()
		}
		m.advance(modelTickUs * 2)
	}
	return m
}

func (m *orderModel) randomOrders(maxOrders int) {
	for range m.choose(maxOrders) {
		unit := modelUnits[m.choose(len(modelUnits))]
		if m.choose(4) == 0 {
			unit += fmt.Sprint("/a", 1+m.choose(3))
		}
		step := statemachine.Load
		if m.choose(3) == 0 {
			step = statemachine.Unload
		}
		m.propose(step, m.choose(len(m.replicas)), unit)
	}
}

func (m *orderModel) randomFault() {
	switch controlNode := m.choose(2); m.choose(30) {
	case 0:
		m.takeOver()
	case 1:
		m.isolateHead()
	case 2:
		m.isolateFollower()
	case 3, 4:
		m.heal()
	case 5:
		m.restartReachableControlNode(controlNode)
	case 6:
		m.delayOrders = !m.delayOrders
	case 7:
		m.releaseOrders()
	case 8:
		m.loseAnswers = !m.loseAnswers
	case 9:
		m.duplicateOrders = !m.duplicateOrders
	case 10:
		m.slowStore = !m.slowStore
	case 11:
		m.slowUnload = !m.slowUnload
	case 12, 13:
		m.controlNodes[controlNode].delayHeartbeats = !m.controlNodes[controlNode].delayHeartbeats
	case 14:
		m.replaceReplica()
	case 15:
		m.advance(unseenRemovedAfterUs + 2*clock.Sec)
	}
}

// restartReachableControlNode restarts a control node unless it is isolated; it starts from the current replicated state.
func (m *orderModel) restartReachableControlNode(i int) {
	if m.controlNodes[i].frozenState == nil {
		m.tracef("node %d restarts", i)
		m.restartControlNode(i)
	}
}

// replaceReplica ends an incarnation of a replica without notice and starts another at its address, with the same disk
// or an empty one.
func (m *orderModel) replaceReplica() {
	ids := slices.Sorted(maps.Keys(m.replicas))
	r := m.replicas[ids[m.choose(len(ids))]]
	delete(m.replicas, r.id)
	disk := r.disk
	if m.choose(2) == 1 {
		disk = map[string]bool{}
	}
	m.startReplica(r.addr, disk)
	m.tracef("incarnation %s ends, a new one starts at %s", r.id, r.addr)
}

// replaceReplicaGracefully ends an incarnation of a replica with notice and starts another at its address with an empty
// disk.
func (m *orderModel) replaceReplicaGracefully() {
	ids := slices.Sorted(maps.Keys(m.replicas))
	r := m.replicas[ids[m.choose(len(ids))]]
	delete(m.replicas, r.id)
	for _, node := range m.controlNodes {
		node.registry.Remove(m.nowUs, r.id)
	}
	m.startReplica(r.addr, map[string]bool{})
}

// Runs long seeded random walks that combine all faults.
func TestOrderInvariantsHoldInRandomWalks(t *testing.T) {
	accepted, settled := 0, 0
	for seed := range int64(60) {
		m := randomWalk(seed, noMutation)
		accepted, settled = accepted+m.acceptedCount, settled+m.settledCount
		if m.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed, m.violation, strings.Join(m.trace[max(0, len(m.trace)-40):], "\n"))
		}
	}
	t.Logf("%d orders accepted, %d settled", accepted, settled)
	if accepted < 1000 || settled < 1000 {
		t.Errorf("too few orders to cover the faults: got %d accepted and %d settled, want at least 1000 of each", accepted, settled)
	}
}

// The number of loads from the weight store never exceeds the limit of the sliding window, whatever the demand for models and
// whichever control node leads.
func TestStoreLoadsStayWithinWindowUnderMaximumDemand(t *testing.T) {
	loads := 0
	for seed := range int64(30) {
		m := storeLoadStress(seed, noMutation)
		loads += len(m.loadTimesUs)
		if m.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed, m.violation, strings.Join(m.trace[max(0, len(m.trace)-40):], "\n"))
		}
	}
	if t.Logf("%d loads from the store", loads); loads < 300 {
		t.Errorf("too few loads from the store to cover the window: got %d, want at least 300", loads)
	}
}

// The reports of one replica never arrive. Its orders are settled as unknown within a bounded time, it gets no further order
// while its report is missing, and the orders of the other replicas continue.
func TestOrdersWithoutReportsAreSettledAsUnknown(t *testing.T) {
	unknown := 0
	for seed := range int64(30) {
		m := randomWalk(seed, faultMissingReports)
		if m.violation != "" {
			t.Errorf("seed %d: %s\n%s", seed, m.violation, strings.Join(m.trace[max(0, len(m.trace)-20):], "\n"))
		}
		for _, node := range m.controlNodes {
			unknown += len(node.controller.routed.orders.unreported)
		}
	}
	if unknown < 10 {
		t.Errorf("too few replicas without a report at the end: got %d, want at least 10", unknown)
	}
}

// Each checker detects the mutation it is meant for.
func TestInjectedOrderMutationsAreDetected(t *testing.T) {
	const maxSeeds = 60
	for injected, expected := range map[mutation]struct {
		rule string
		run  func(seed int64, injected mutation) *orderModel
	}{
		mutationNoExpectedCount: {"LIMIT", randomWalk}, mutationIgnoreLease: {"ONE", randomWalk}, mutationOldEpoch: {"ONE", randomWalk},
		mutationIgnoreStoreWindow: {"CEILING", storeLoadStress}, mutationLostResults: {"LOST", randomWalk}, mutationDelayedWithoutCount: {"FENCE", randomWalk},
	} {
		t.Run(string(injected), func(t *testing.T) {
			for seed := range int64(maxSeeds) {
				if m := expected.run(seed, injected); m.violation != "" {
					t.Logf("seed %d: %s", seed, m.violation)
					if !strings.HasPrefix(m.violation, expected.rule+":") {
						t.Errorf("first violated rule: got %q, want rule %s", m.violation, expected.rule)
					}
					return
				}
			}
			t.Errorf("mutation %q was not detected with %d seeds", injected, maxSeeds)
		})
	}
}
