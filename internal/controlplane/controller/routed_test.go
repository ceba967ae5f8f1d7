package controller

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	fleetLeaseUs        = 3 * clock.Sec
	fleetWindowUs       = 5 * clock.Sec
	fleetLoadsPerSecond = 2.0
	fleetOvershoot      = 1.1
	fleetCapacityMb     = 100
	fleetMaxAdapters    = 2
)

// fakeReplica is the actual state of a replica incarnation. Its disk contains every unit it ever held.
type fakeReplica struct {
	id, addr       string
	resident       map[string]int64
	disk           map[string]bool
	current        statemachine.ReplicaCommand
	doneUs         int64
	seq            uint64
	ordersAccepted uint64
	heartbeatUs    int64
	silent         bool
}

func (r *fakeReplica) units() []string { return slices.Sorted(maps.Keys(r.resident)) }

type scheduledAction struct {
	atUs int64
	run  func()
}

type orderRecord struct {
	atUs            int64
	leader          string
	epoch           uint64
	command         statemachine.ReplicaCommand
	reportRequested bool
}

// fleet simulates two controllers that alternate as leader of one replicated state, the replicas they send orders to, and
// the demand reported by one gateway.
type fleet struct {
	t                   *testing.T
	rand                *rand.Rand
	nowUs               int64
	state               *statemachine.State
	index               uint64
	controllers         [2]*Controller
	registries          [2]*registry.Registry
	head                int
	previousHead        int
	previousHeadUntilUs int64
	replicas            map[string]*fakeReplica
	scheduled           []scheduledAction
	loadTimesUs         []int64
	orders              map[string][]orderRecord
	inDoubt             map[uint64]bool
	lossPercent         int
	incarnations        int
	violation           string
	loads               int
	resentOrders        int
}

func fleetDoc() *configuration.Declaration {
	e := &configuration.Engine{Slots: 8, CacheTokens: 1, CapacityMB: fleetCapacityMb, MaxAdapters: fleetMaxAdapters, LoadsPerSecond: fleetLoadsPerSecond}
	for i := range 9 {
		e.Models = append(e.Models, configuration.EngineModel{Name: fmt.Sprint("m", i), SizeMB: int64(15 + 5*i), LoadMs: 1500, Adapters: 4, AdapterMB: 2})
	}
	return &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s", Engine: e}}, Routes: []configuration.Route{{
		Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}}}
}

func newFleet(t *testing.T, seed int64, replicaCount int) *fleet {
	f := &fleet{t: t, rand: rand.New(rand.NewSource(seed)), nowUs: clock.Sec, state: statemachine.NewState(), replicas: map[string]*fakeReplica{}, orders: map[string][]orderRecord{}, inDoubt: map[uint64]bool{}, previousHead: -1}
	f.apply(statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
	for i := range f.controllers {
		f.restart(i)
	}
	for i := range replicaCount {
		f.startReplica(fmt.Sprint("a", i), map[string]bool{})
	}
	return f
}

func (f *fleet) restart(i int) {
	f.controllers[i] = New(fmt.Sprint("node", i), Options{LeaseUs: fleetLeaseUs, StoreWindowUs: fleetWindowUs, StoreOvershoot: fleetOvershoot})
	if f.registries[i] == nil {
		f.registries[i] = registry.New(3 * clock.Sec)
	}
}

func (f *fleet) startReplica(addr string, disk map[string]bool) {
	f.incarnations++
	id := fmt.Sprintf("%s-%d", addr, f.incarnations)
	f.replicas[id] = &fakeReplica{id: id, addr: addr, resident: map[string]int64{}, disk: disk}
}

func (f *fleet) schedule(delayUs int64, run func()) {
	f.scheduled = append(f.scheduled, scheduledAction{f.nowUs + delayUs, run})
}

func (f *fleet) apply(c statemachine.Change) statemachine.Outcome {
	f.index++
	out := f.state.Apply(f.index, c)
	if c.LeaderUpdate != nil && len(c.LeaderUpdate.Commands)+len(c.LeaderUpdate.Results) > 0 {
		for i := range f.controllers {
			if f.controllers[i] != nil {
				f.controllers[i].OnApplied(f.nowUs, c.Epoch, *c.LeaderUpdate, f.state)
			}
		}
	}
	return out
}

func (f *fleet) step(i int, ev Event) {
	leads := i == f.head || (i == f.previousHead && f.nowUs < f.previousHeadUntilUs)
	snapshot := Snapshot{NowUs: f.nowUs, State: f.state, IsHead: leads, IsFresh: leads, CanWrite: true, Registry: f.registries[i]}
	for _, e := range f.controllers[i].Step(snapshot, ev) {
		sender := f.controllers[i]
		back := func(ev Event) {
			if f.controllers[i] == sender {
				f.step(i, ev)
			}
		}
		switch e := e.(type) {
		case WriteChange:
			change := *e.Change
			f.schedule(1+f.rand.Int63n(30*clock.Ms), func() {
				if i != f.head {
					return
				}
				out := f.apply(change)
				if change.LeaderUpdate != nil {
					back(WriteResult{Outcome: out})
				}
			})
		case ReportRequest:
			request := e
			f.schedule(1+f.rand.Int63n(20*clock.Ms), func() {
				report := ReplicaReport{RequestedUs: request.RequestedUs, Replica: request.Replica, Addr: request.Addr}
				if replica := f.replicas[request.Replica]; replica != nil && f.rand.Intn(100) >= f.lossPercent {
					report.State = &wire.ReplicaState{ID: replica.id, Incarnation: replica.id, Busy: replica.current.Unit != "", Orders: replica.ordersAccepted, Units: replica.units()}
					for n := range f.orders[request.Replica] {
						f.orders[request.Replica][n].reportRequested = true
					}
				}
				back(report)
			})
		case SendOrder:
			order := e.Order
			all := f.orders[order.Command.Replica]
			for _, before := range all {
				if before.command.Number == order.Command.Number {
					if f.resentOrders++; !before.reportRequested || order.ExpectedOrders == nil {
						f.violation = fmt.Sprintf("command %d is sent again with expected count %v, report requested since: %v",
							order.Command.Number, order.ExpectedOrders, before.reportRequested)
					}
				}
			}
			f.orders[order.Command.Replica] = append(all, orderRecord{command: order.Command})
			f.schedule(1+f.rand.Int63n(25*clock.Ms), func() {
				state := ""
				if f.rand.Intn(200) >= f.lossPercent {
					state = f.receiveOrder(order)
				}
				if state != "" && f.rand.Intn(100) >= f.lossPercent {
					f.schedule(1+f.rand.Int63n(25*clock.Ms), func() {
						back(OrderResult{Replica: order.Command.Replica, Incarnation: order.Command.Incarnation, State: wire.OrderState{Number: order.Command.Number, Epoch: order.Epoch, State: state}})
					})
				} else {
					f.schedule(900*clock.Ms, func() {
						back(OrderResult{Replica: order.Command.Replica, Incarnation: order.Command.Incarnation, State: wire.OrderState{Number: order.Command.Number, Epoch: order.Epoch, State: wire.OrderInDoubt}})
					})
				}
			})
		}
	}
}

// receiveOrder processes an order at a replica. The replica answers according to its state, and the rules of the fleet are
// checked.
func (f *fleet) receiveOrder(o wire.Order) string {
	replica := f.replicas[o.Command.Replica]
	if replica == nil || replica.id != o.Command.Incarnation {
		return wire.OrderFailed
	}
	f.checkLeader(replica.id, o)
	command := o.Command
	model, adapter := configuration.SplitUnit(command.Unit)
	_, isResident := replica.resident[command.Unit]
	switch {
	case replica.current.Unit != "", o.ExpectedOrders != nil && *o.ExpectedOrders != replica.ordersAccepted:
		return wire.OrderBusy
	case isResident == (command.Action == statemachine.Load):
		return wire.OrderDone
	case command.Action == statemachine.Unload:
		replica.ordersAccepted++
		replica.current, replica.doneUs = command, f.nowUs+f.rand.Int63n(300*clock.Ms)
		return wire.OrderRunning
	}
	sumMb, adapters := command.SizeMB, 0
	for unit, mb := range replica.resident {
		sumMb += mb
		adapters += strings.Count(unit, "/")
	}
	if _, there := replica.resident[model]; adapter != "" && !there {
		return wire.OrderFailed
	}
	if sumMb > fleetCapacityMb || (adapter != "" && adapters >= fleetMaxAdapters) {
		f.violation = fmt.Sprintf("%s is ordered to hold %d MB and %d adapters after loading %s", replica.id, sumMb, adapters, command.Unit)
	}
	replica.ordersAccepted++
	replica.current, replica.doneUs = command, f.nowUs+1500*clock.Ms
	switch {
	case adapter != "":
		replica.doneUs = f.nowUs + 20*clock.Ms
	case replica.disk[command.Unit]:
		replica.doneUs = f.nowUs + 300*clock.Ms
	default:
		f.loads++
		f.loadTimesUs = append(f.loadTimesUs, f.nowUs)
		n := 0
		for _, us := range f.loadTimesUs {
			if f.nowUs-us < fleetWindowUs {
				n++
			}
		}
		if maxLoads := fleetLoadsPerSecond*float64(fleetWindowUs)/1e6*fleetOvershoot + 3; float64(n) > maxLoads {
			f.violation = fmt.Sprintf("%d loads within the store window, at most %.1f are allowed", n, maxLoads)
		}
	}
	return wire.OrderRunning
}

// checkLeader checks that orders of two leaders to one replica are at least a lease apart and that epochs never decrease.
func (f *fleet) checkLeader(id string, o wire.Order) {
	key := "at " + id
	if all := f.orders[key]; len(all) > 0 {
		last := all[len(all)-1]
		switch {
		case o.Epoch < last.epoch:
			f.violation = fmt.Sprintf("epoch %d after epoch %d at %s", o.Epoch, last.epoch, id)
		case o.Leader != last.leader && o.Epoch == last.epoch:
			f.violation = fmt.Sprintf("%s and %s both have epoch %d", o.Leader, last.leader, o.Epoch)
		case o.Leader != last.leader && f.nowUs-last.atUs < fleetLeaseUs:
			f.violation = fmt.Sprintf("%s orders %s %d ms after %s", o.Leader, id, (f.nowUs-last.atUs)/1000, last.leader)
		}
	}
	f.orders[key] = append(f.orders[key], orderRecord{atUs: f.nowUs, leader: o.Leader, epoch: o.Epoch})
}

func (f *fleet) advance(us int64) {
	for endUs := f.nowUs + us; f.nowUs < endUs && f.violation == ""; {
		f.nowUs += 25 * clock.Ms
		due := []scheduledAction{}
		f.scheduled = slices.DeleteFunc(f.scheduled, func(q scheduledAction) bool {
			if q.atUs <= f.nowUs {
				due = append(due, q)
				return true
			}
			return false
		})
		for _, q := range due {
			q.run()
		}
		for _, id := range slices.Sorted(maps.Keys(f.replicas)) {
			replica := f.replicas[id]
			if replica.current.Unit != "" && f.nowUs >= replica.doneUs {
				if replica.current.Action == statemachine.Load {
					replica.resident[replica.current.Unit] = replica.current.SizeMB
					replica.disk[replica.current.Unit] = true
				} else {
					for unit := range replica.resident {
						if unit == replica.current.Unit || strings.HasPrefix(unit, replica.current.Unit+"/") {
							delete(replica.resident, unit)
						}
					}
				}
				replica.current = statemachine.ReplicaCommand{}
			}
			if f.nowUs-replica.heartbeatUs >= 200*clock.Ms && !replica.silent {
				replica.heartbeatUs = f.nowUs
				replica.seq++
				for _, r := range f.registries {
					r.HandleHeartbeat(f.nowUs, registry.ReplicaStatus{ID: replica.id, Service: "s", Addr: replica.addr, Zone: "a", Slots: 8, Seq: replica.seq, Units: replica.units()})
				}
			}
		}
		for i := range f.controllers {
			f.registries[i].Sweep(f.nowUs)
			f.step(i, Tick{})
		}
	}
	if f.violation != "" {
		f.t.Fatalf("at %d ms: %s", f.nowUs/1000, f.violation)
	}
}

func (f *fleet) reportDemand(waiting map[string]int, rates map[string]float64) {
	for i := range f.controllers {
		f.step(i, GatewayReport{Report: &wire.Report{Gateway: "d", Queued: waiting, Arrivals: rates, RecentArrivals: rates, PromptTokens: rates}})
	}
}

// replaceReplica ends the incarnation of a random replica and starts another at its address. With a nil disk the new
// incarnation keeps the disk of the old one. With another disk the end is planned and announced to the registries, because
// otherwise the new incarnation would not be accepted immediately.
func (f *fleet) replaceReplica(disk map[string]bool) {
	ids := slices.Sorted(maps.Keys(f.replicas))
	replica := f.replicas[ids[f.rand.Intn(len(ids))]]
	delete(f.replicas, replica.id)
	if disk == nil {
		f.startReplica(replica.addr, replica.disk)
		return
	}
	for _, r := range f.registries {
		r.Remove(f.nowUs, replica.id)
	}
	f.startReplica(replica.addr, disk)
}

// takeOver makes the other control node the head. The previous head continues to act for a short time, as its lease permits.
func (f *fleet) takeOver() {
	f.previousHead, f.previousHeadUntilUs = f.head, f.nowUs+400*clock.Ms
	f.head = 1 - f.head
}

// Under any demand, takeovers, lost answers and returning replicas, the following invariants hold:
//
//  1. The store window is not exceeded.
//  2. No replica is ordered beyond its capacity or its adapter slots.
//  3. Orders of different leaders to a replica are at least a lease apart, and epochs never decrease.
//  4. An order is sent again only after the replica's report was requested, and only with the order count from that report.
func TestOrderInvariantsHoldAcrossTakeovers(t *testing.T) {
	loads, resent, takeovers := 0, 0, 0
	for seed := int64(0); seed < 40; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 4+int(seed%2)*4+int(seed%5))
			churn := seed%2 == 1
			for n := 0; n < 90; n++ {
				f.lossPercent = []int{0, 0, 10, 40}[f.rand.Intn(4)]
				waiting, rates := map[string]int{}, map[string]float64{}
				for range 1 + f.rand.Intn(6) {
					unit := fmt.Sprint("m", f.rand.Intn(9))
					rates[unit] = f.rand.Float64() * 20
					if f.rand.Intn(2) == 0 {
						waiting[unit] = 1 + f.rand.Intn(5)
					}
					if f.rand.Intn(3) == 0 {
						waiting[unit+"/a"+fmt.Sprint(1+f.rand.Intn(4))] = 1
					}
				}
				f.reportDemand(waiting, rates)
				switch f.rand.Intn(25) {
				case 0:
					f.takeOver()
					takeovers++
				case 1:
					f.restart(1 - f.head)
				case 2:
					f.restart(f.head)
					takeovers++
				}
				switch {
				case churn:
					for range 4 {
						f.replaceReplica(map[string]bool{})
					}
				case f.rand.Intn(20) == 0:
					f.replaceReplica(nil)
				}
				longest := 700 * clock.Ms
				if churn {
					longest = 250 * clock.Ms
				}
				f.advance(100*clock.Ms + f.rand.Int63n(longest))
			}
			loads, resent = loads+f.loads, resent+f.resentOrders
		})
	}
	t.Logf("%d loads from the store, %d orders sent again, %d takeovers", loads, resent, takeovers)
	if loads < 500 || resent < 20 || takeovers < 100 {
		t.Errorf("too few events to cover the invariants: got %d loads, %d orders sent again, %d takeovers, want at least 500, 20, 100",
			loads, resent, takeovers)
	}
}

// An unload is sent once every gateway has had time to learn of it and no gateway has unstarted calls at the unit, and at
// the latest after maxUnloadDelayUs.
func TestUnloadWaitsForPendingCalls(t *testing.T) {
	for name, c := range map[string]struct {
		unstarted func(ms int64) map[string]int
		from, to  int64
	}{
		"no calls":               {func(int64) map[string]int { return nil }, minUnloadDelayUs, minUnloadDelayUs + 60*clock.Ms},
		"calls that start":       {func(ms int64) map[string]int { return map[string]int{"r|m0": max(0, int(300-ms))} }, 300 * clock.Ms, 400 * clock.Ms},
		"calls that never start": {func(int64) map[string]int { return map[string]int{"r|m0": 1} }, maxUnloadDelayUs, maxUnloadDelayUs + 60*clock.Ms},
		"calls at other units":   {func(int64) map[string]int { return map[string]int{"q|m0": 9, "r|m1": 9} }, minUnloadDelayUs, minUnloadDelayUs + 60*clock.Ms},
		"calls to an adapter":    {func(int64) map[string]int { return map[string]int{"r|m0/a1": 9} }, minUnloadDelayUs, minUnloadDelayUs + 60*clock.Ms},
	} {
		s := statemachine.NewState()
		s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
		controller, replicas, index := New("one", Options{}), registry.New(3*clock.Sec), uint64(1)
		heartbeat := registry.ReplicaStatus{ID: "r", Service: "s", Addr: "r", Slots: 8, Seq: 1, Units: []string{"m0"}}
		nowUs := clock.Sec
		sentUs := int64(0)
		var step func(ev Event)
		step = func(ev Event) {
			for _, e := range controller.Step(Snapshot{NowUs: nowUs, State: s, IsHead: true, IsFresh: true, CanWrite: true, Registry: replicas}, ev) {
				switch e := e.(type) {
				case WriteChange:
					index++
					out := s.Apply(index, *e.Change)
					step(WriteResult{Outcome: out})
				case SendOrder:
					if sentUs == 0 {
						sentUs = nowUs
					}
				}
			}
		}
		for range 8 {
			nowUs += 25 * clock.Ms
			replicas.HandleHeartbeat(nowUs, heartbeat)
			heartbeat.Seq++
			step(Tick{})
		}
		if s.Replicas["r"] == nil {
			t.Fatalf("%s: replica r is not recorded", name)
		}
		index++
		out := s.Apply(index, statemachine.Change{ID: "t", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Replica: "r", Incarnation: "r", Revision: s.Revision, Action: statemachine.Unload, Unit: "m0"}}}})
		if len(out.Faults) > 0 {
			t.Fatal(out.Faults)
		}
		startUs := nowUs
		for ; nowUs < startUs+1200*clock.Ms; nowUs += 5 * clock.Ms {
			ms := (nowUs - startUs) / 1000
			step(GatewayReport{Report: &wire.Report{Gateway: "d", PendingPrefill: c.unstarted(ms)}})
			step(Tick{})
		}
		if waited := sentUs - startUs; sentUs == 0 || waited < c.from || waited > c.to {
			t.Errorf("%s: delay of the unload: got %d ms, want %d to %d ms", name, waited/1000, c.from/1000, c.to/1000)
		}
	}
}

// A controller that observed every command since the first one knows the loads in the store window. A controller that starts
// with a state containing commands it did not observe treats the window as used up.
func TestOnlyUnseenCommandsCloseStoreWindow(t *testing.T) {
	s := statemachine.NewState()
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
	s.Apply(2, statemachine.Change{ID: "k", Epoch: 1, Claim: &statemachine.Claim{Leader: "one"}})
	opts := Options{LeaseUs: fleetLeaseUs, StoreWindowUs: fleetWindowUs, StoreOvershoot: fleetOvershoot}
	observer, lateObserver := New("one", opts), New("two", opts)
	service := s.Doc.Service("s")
	index := uint64(2)
	load := func(nowUs int64, id string) {
		index++
		update := statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{{ID: id, Incarnation: id, CapacityMB: fleetCapacityMb, Slots: 8, Service: "s"}},
			Commands: []statemachine.ReplicaCommand{{Replica: id, Incarnation: id, Revision: s.Revision, Action: statemachine.Load, Unit: "m0"}}}
		if out := s.Apply(index, statemachine.Change{ID: fmt.Sprint("d", index), Epoch: s.Epoch, LeaderUpdate: &update}); len(out.Faults) > 0 {
			t.Fatal(out.Faults)
		}
		observer.OnApplied(nowUs, s.Epoch, update, s)
	}
	maxLoads := service.Engine.MaxConcurrentLoads()
	load(clock.Sec, "r0")
	if left := observer.routed.store.loadsLeft(clock.Sec, s, service); left != maxLoads-1 {
		t.Errorf("loads left to the controller that observed the command: got %d, want %d", left, maxLoads-1)
	}
	if left := lateObserver.routed.store.loadsLeft(clock.Sec, s, service); left != 0 {
		t.Errorf("loads left to the controller that did not observe the command: got %d, want 0", left)
	}
	if left := lateObserver.routed.store.loadsLeft(7*clock.Sec, s, service); left != maxLoads-1 {
		t.Errorf("loads left one window later: got %d, want %d", left, maxLoads-1)
	}
	load(8*clock.Sec, "r1")
	lateObserver.OnApplied(8*clock.Sec, s.Epoch, statemachine.LeaderUpdate{Commands: make([]statemachine.ReplicaCommand, 1)}, s)
	if lateObserver.routed.store.unseenUs >= 8*clock.Sec {
		t.Error("an observed command counts as unobserved")
	}
	load(9*clock.Sec, "r2")
	if lateObserver.routed.store.loadsLeft(9*clock.Sec, s, service); lateObserver.routed.store.unseenUs != 9*clock.Sec {
		t.Error("an unobserved command was not detected")
	}
}
