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
	fleetLeaseUs  = 3 * clock.Sec
	fleetWindowUs = 5 * clock.Sec
	fleetPerS     = 2.0
	fleetOver     = 1.1
	fleetRoomMb   = 100
	fleetPlaces   = 2
)

// machine is a replica as it is, whatever anybody believes of it. Its disk keeps what it ever held.
type machine struct {
	id, addr string
	holds    map[string]int64
	disk     map[string]bool
	busy     statemachine.ReplicaCommand
	doneUs   int64
	seq      uint64
	taken    uint64
	beatUs   int64
	silent   bool
}

func (m *machine) units() []string { return slices.Sorted(maps.Keys(m.holds)) }

type timed struct {
	atUs int64
	act  func()
}

type sent struct {
	atUs   int64
	holder string
	epoch  uint64
	t      statemachine.ReplicaCommand
	asked  bool
}

// fleet is two controllers that take turns over one ledger, replicas that are ordered, and one gateway's demand.
type fleet struct {
	t        *testing.T
	r        *rand.Rand
	nowUs    int64
	s        *statemachine.State
	index    uint64
	fs       [2]*Controller
	rosters  [2]*registry.Registry
	head     int
	old      int
	oldUs    int64
	machines map[string]*machine
	queue    []timed
	loadsUs  []int64
	orders   map[string][]sent
	doubt    map[uint64]bool
	lose     int
	births   int
	broken   string
	loads    int
	repeats  int
}

func fleetDoc() *configuration.Declaration {
	e := &configuration.Engine{Slots: 8, CacheTokens: 1, CapacityMB: fleetRoomMb, MaxAdapters: fleetPlaces, LoadsPerSecond: fleetPerS}
	for i := range 9 {
		e.Models = append(e.Models, configuration.EngineModel{Name: fmt.Sprint("m", i), SizeMB: int64(15 + 5*i), LoadMs: 1500, Adapters: 4, AdapterMB: 2})
	}
	return &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s", Engine: e}}, Routes: []configuration.Route{{
		Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}}}
}

func newFleet(t *testing.T, seed int64, machines int) *fleet {
	f := &fleet{t: t, r: rand.New(rand.NewSource(seed)), nowUs: clock.Sec, s: statemachine.NewState(), machines: map[string]*machine{}, orders: map[string][]sent{}, doubt: map[uint64]bool{}, old: -1}
	f.apply(statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
	for i := range f.fs {
		f.restart(i)
	}
	for i := range machines {
		f.birth(fmt.Sprint("a", i), map[string]bool{})
	}
	return f
}

func (f *fleet) restart(i int) {
	f.fs[i] = New(fmt.Sprint("office", i), Options{LeaseUs: fleetLeaseUs, StoreWindowUs: fleetWindowUs, StoreOvershoot: fleetOver})
	if f.rosters[i] == nil {
		f.rosters[i] = registry.New(3 * clock.Sec)
	}
}

func (f *fleet) birth(addr string, disk map[string]bool) {
	f.births++
	id := fmt.Sprintf("%s-%d", addr, f.births)
	f.machines[id] = &machine{id: id, addr: addr, holds: map[string]int64{}, disk: disk}
}

func (f *fleet) later(us int64, act func()) {
	f.queue = append(f.queue, timed{f.nowUs + us, act})
}

func (f *fleet) apply(c statemachine.Change) statemachine.Outcome {
	f.index++
	out := f.s.Apply(f.index, c)
	if c.LeaderUpdate != nil && len(c.LeaderUpdate.Commands)+len(c.LeaderUpdate.Results) > 0 {
		for i := range f.fs {
			if f.fs[i] != nil {
				f.fs[i].OnApplied(f.nowUs, c.Epoch, *c.LeaderUpdate, f.s)
			}
		}
	}
	return out
}

func (f *fleet) step(i int, ev Event) {
	leads := i == f.head || (i == f.old && f.nowUs < f.oldUs)
	snapshot := Snapshot{NowUs: f.nowUs, State: f.s, IsHead: leads, IsFresh: leads, CanWrite: true, Registry: f.rosters[i]}
	for _, e := range f.fs[i].Step(snapshot, ev) {
		me := f.fs[i]
		back := func(ev Event) {
			if f.fs[i] == me {
				f.step(i, ev)
			}
		}
		switch e := e.(type) {
		case WriteChange:
			change := *e.Change
			f.later(1+f.r.Int63n(30*clock.Ms), func() {
				if i != f.head {
					return
				}
				out := f.apply(change)
				if change.LeaderUpdate != nil {
					back(WriteResult{Outcome: out})
				}
			})
		case ReportRequest:
			ask := e
			f.later(1+f.r.Int63n(20*clock.Ms), func() {
				told := ReplicaReport{RequestedUs: ask.RequestedUs, Replica: ask.Replica, Addr: ask.Addr}
				if m := f.machines[ask.Replica]; m != nil && f.r.Intn(100) >= f.lose {
					told.State = &wire.ReplicaState{ID: m.id, Incarnation: m.id, Busy: m.busy.Unit != "", Orders: m.taken, Units: m.units()}
					for n := range f.orders[ask.Replica] {
						f.orders[ask.Replica][n].asked = true
					}
				}
				back(told)
			})
		case SendOrder:
			o := e.Order
			all := f.orders[o.Command.Replica]
			for _, before := range all {
				if before.t.Number == o.Command.Number {
					if f.repeats++; !before.asked || o.ExpectedOrders == nil {
						f.broken = fmt.Sprintf("ticket %d is sent again on count %v, looked at: %v", o.Command.Number, o.ExpectedOrders, before.asked)
					}
				}
			}
			f.orders[o.Command.Replica] = append(all, sent{t: o.Command})
			f.later(1+f.r.Int63n(25*clock.Ms), func() {
				state := ""
				if f.r.Intn(200) >= f.lose {
					state = f.arrive(o)
				}
				if state != "" && f.r.Intn(100) >= f.lose {
					f.later(1+f.r.Int63n(25*clock.Ms), func() {
						back(OrderResult{Replica: o.Command.Replica, Incarnation: o.Command.Incarnation, State: wire.OrderState{Number: o.Command.Number, Epoch: o.Epoch, State: state}})
					})
				} else {
					f.later(900*clock.Ms, func() {
						back(OrderResult{Replica: o.Command.Replica, Incarnation: o.Command.Incarnation, State: wire.OrderState{Number: o.Command.Number, Epoch: o.Epoch, State: wire.OrderInDoubt}})
					})
				}
			})
		}
	}
}

// arrive is an order at a replica, which judges it by what it holds, and the fleet by the rules.
func (f *fleet) arrive(o wire.Order) string {
	m := f.machines[o.Command.Replica]
	if m == nil || m.id != o.Command.Incarnation {
		return wire.OrderFailed
	}
	f.holder(m.id, o)
	t := o.Command
	model, adapter := configuration.SplitUnit(t.Unit)
	_, held := m.holds[t.Unit]
	switch {
	case m.busy.Unit != "", o.ExpectedOrders != nil && *o.ExpectedOrders != m.taken:
		return wire.OrderBusy
	case held == (t.Action == statemachine.Load):
		return wire.OrderDone
	case t.Action == statemachine.Unload:
		m.taken++
		m.busy, m.doneUs = t, f.nowUs+f.r.Int63n(300*clock.Ms)
		return wire.OrderRunning
	}
	sum, places := t.SizeMB, 0
	for unit, mb := range m.holds {
		sum += mb
		places += strings.Count(unit, "/")
	}
	if _, there := m.holds[model]; adapter != "" && !there {
		return wire.OrderFailed
	}
	if sum > fleetRoomMb || (adapter != "" && places >= fleetPlaces) {
		f.broken = fmt.Sprintf("%s is ordered to hold %d MB and %d adapters with %s", m.id, sum, places, t.Unit)
	}
	m.taken++
	m.busy, m.doneUs = t, f.nowUs+1500*clock.Ms
	switch {
	case adapter != "":
		m.doneUs = f.nowUs + 20*clock.Ms
	case m.disk[t.Unit]:
		m.doneUs = f.nowUs + 300*clock.Ms
	default:
		f.loads++
		f.loadsUs = append(f.loadsUs, f.nowUs)
		n := 0
		for _, us := range f.loadsUs {
			if f.nowUs-us < fleetWindowUs {
				n++
			}
		}
		if most := fleetPerS*float64(fleetWindowUs)/1e6*fleetOver + 3; float64(n) > most {
			f.broken = fmt.Sprintf("%d loads within the store's window, %.1f are allowed", n, most)
		}
	}
	return wire.OrderRunning
}

// holder: those who order one replica never take turns within the lease, and a fence never falls.
func (f *fleet) holder(id string, o wire.Order) {
	key := "at " + id
	if all := f.orders[key]; len(all) > 0 {
		last := all[len(all)-1]
		switch {
		case o.Epoch < last.epoch:
			f.broken = fmt.Sprintf("fence %d after %d at %s", o.Epoch, last.epoch, id)
		case o.Leader != last.holder && o.Epoch == last.epoch:
			f.broken = fmt.Sprintf("%s and %s with fence %d", o.Leader, last.holder, o.Epoch)
		case o.Leader != last.holder && f.nowUs-last.atUs < fleetLeaseUs:
			f.broken = fmt.Sprintf("%s orders %s %d ms after %s", o.Leader, id, (f.nowUs-last.atUs)/1000, last.holder)
		}
	}
	f.orders[key] = append(f.orders[key], sent{atUs: f.nowUs, holder: o.Leader, epoch: o.Epoch})
}

func (f *fleet) pass(us int64) {
	for endUs := f.nowUs + us; f.nowUs < endUs && f.broken == ""; {
		f.nowUs += 25 * clock.Ms
		due := []timed{}
		f.queue = slices.DeleteFunc(f.queue, func(q timed) bool {
			if q.atUs <= f.nowUs {
				due = append(due, q)
				return true
			}
			return false
		})
		for _, q := range due {
			q.act()
		}
		for _, id := range slices.Sorted(maps.Keys(f.machines)) {
			m := f.machines[id]
			if m.busy.Unit != "" && f.nowUs >= m.doneUs {
				if m.busy.Action == statemachine.Load {
					m.holds[m.busy.Unit] = m.busy.SizeMB
					m.disk[m.busy.Unit] = true
				} else {
					for unit := range m.holds {
						if unit == m.busy.Unit || strings.HasPrefix(unit, m.busy.Unit+"/") {
							delete(m.holds, unit)
						}
					}
				}
				m.busy = statemachine.ReplicaCommand{}
			}
			if f.nowUs-m.beatUs >= 200*clock.Ms && !m.silent {
				m.beatUs = f.nowUs
				m.seq++
				for _, r := range f.rosters {
					r.HandleHeartbeat(f.nowUs, registry.ReplicaStatus{ID: m.id, Service: "s", Addr: m.addr, Zone: "a", Slots: 8, Seq: m.seq, Units: m.units()})
				}
			}
		}
		for i := range f.fs {
			f.rosters[i].Sweep(f.nowUs)
			f.step(i, Tick{})
		}
	}
	if f.broken != "" {
		f.t.Fatalf("at %d ms: %s", f.nowUs/1000, f.broken)
	}
}

func (f *fleet) demand(waiting map[string]int, rates map[string]float64) {
	for i := range f.fs {
		f.step(i, GatewayReport{Report: &wire.Report{Gateway: "d", Queued: waiting, Arrivals: rates, RecentArrivals: rates, PromptTokens: rates}})
	}
}

// replace ends one replica's incarnation; the next one at its address begins with this disk, or its own. Where the disk is
// another, the end was planned, and the incarnation says so: else the next one is not believed at once.
func (f *fleet) replace(disk map[string]bool) {
	ids := slices.Sorted(maps.Keys(f.machines))
	m := f.machines[ids[f.r.Intn(len(ids))]]
	delete(f.machines, m.id)
	if disk == nil {
		f.birth(m.addr, m.disk)
		return
	}
	for _, r := range f.rosters {
		r.Remove(f.nowUs, m.id)
	}
	f.birth(m.addr, disk)
}

// take makes the other control node the head; the old one goes on for a moment, as its lease allows.
func (f *fleet) take() {
	f.old, f.oldUs = f.head, f.nowUs+400*clock.Ms
	f.head = 1 - f.head
}

// Whatever is called for, whoever leads, whichever answers are lost and replicas come back: the
// store's window holds, no replica is ordered beyond its room or places, holders keep the lease, fences never
// fall, and nothing is sent again before it was looked at, nor but on the count of
// orders that was seen then.
func TestSeededOrdersOverTakeovers(t *testing.T) {
	loads, repeats, takes := 0, 0, 0
	for seed := int64(0); seed < 40; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 4+int(seed%2)*4+int(seed%5))
			churn := seed%2 == 1
			for n := 0; n < 90; n++ {
				f.lose = []int{0, 0, 10, 40}[f.r.Intn(4)]
				waiting, rates := map[string]int{}, map[string]float64{}
				for range 1 + f.r.Intn(6) {
					unit := fmt.Sprint("m", f.r.Intn(9))
					rates[unit] = f.r.Float64() * 20
					if f.r.Intn(2) == 0 {
						waiting[unit] = 1 + f.r.Intn(5)
					}
					if f.r.Intn(3) == 0 {
						waiting[unit+"/a"+fmt.Sprint(1+f.r.Intn(4))] = 1
					}
				}
				f.demand(waiting, rates)
				switch f.r.Intn(25) {
				case 0:
					f.take()
					takes++
				case 1:
					f.restart(1 - f.head)
				case 2:
					f.restart(f.head)
					takes++
				}
				switch {
				case churn:
					for range 4 {
						f.replace(map[string]bool{})
					}
				case f.r.Intn(20) == 0:
					f.replace(nil)
				}
				longest := 700 * clock.Ms
				if churn {
					longest = 250 * clock.Ms
				}
				f.pass(100*clock.Ms + f.r.Int63n(longest))
			}
			loads, repeats = loads+f.loads, repeats+f.repeats
		})
	}
	t.Logf("%d loads from the store, %d orders sent again, %d takeovers", loads, repeats, takes)
	if loads < 500 || repeats < 20 || takes < 100 {
		t.Errorf("%d loads, %d sent again, %d takeovers: it proves little", loads, repeats, takes)
	}
}

// An unload is sent once every gateway has had time to hear of it and none has calls there that have not begun,
// and in the end all the same.
func TestUnloadWaitsForPendingCalls(t *testing.T) {
	for name, c := range map[string]struct {
		unread   func(ms int64) map[string]int
		from, to int64
	}{
		"nothing there":       {func(int64) map[string]int { return nil }, minQuietUs, minQuietUs + 60*clock.Ms},
		"calls that begin":    {func(ms int64) map[string]int { return map[string]int{"r|m0": max(0, int(300-ms))} }, 300 * clock.Ms, 400 * clock.Ms},
		"calls that never do": {func(int64) map[string]int { return map[string]int{"r|m0": 1} }, maxQuietUs, maxQuietUs + 60*clock.Ms},
		"calls elsewhere":     {func(int64) map[string]int { return map[string]int{"q|m0": 9, "r|m1": 9} }, minQuietUs, minQuietUs + 60*clock.Ms},
		"an adapter's own":    {func(int64) map[string]int { return map[string]int{"r|m0/a1": 9} }, minQuietUs, minQuietUs + 60*clock.Ms},
	} {
		s := statemachine.NewState()
		s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
		f, ros, index := New("one", Options{}), registry.New(3*clock.Sec), uint64(1)
		row := registry.ReplicaStatus{ID: "r", Service: "s", Addr: "r", Slots: 8, Seq: 1, Units: []string{"m0"}}
		nowUs := clock.Sec
		sentUs := int64(0)
		var step func(ev Event)
		step = func(ev Event) {
			for _, e := range f.Step(Snapshot{NowUs: nowUs, State: s, IsHead: true, IsFresh: true, CanWrite: true, Registry: ros}, ev) {
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
			ros.HandleHeartbeat(nowUs, row)
			row.Seq++
			step(Tick{})
		}
		if s.Replicas["r"] == nil {
			t.Fatalf("%s: the replica is not written down", name)
		}
		index++
		out := s.Apply(index, statemachine.Change{ID: "t", Epoch: s.Epoch, LeaderUpdate: &statemachine.LeaderUpdate{Commands: []statemachine.ReplicaCommand{{Replica: "r", Incarnation: "r", Revision: s.Revision, Action: statemachine.Unload, Unit: "m0"}}}})
		if len(out.Faults) > 0 {
			t.Fatal(out.Faults)
		}
		begunUs := nowUs
		for ; nowUs < begunUs+1200*clock.Ms; nowUs += 5 * clock.Ms {
			ms := (nowUs - begunUs) / 1000
			step(GatewayReport{Report: &wire.Report{Gateway: "d", PendingPrefill: c.unread(ms)}})
			step(Tick{})
		}
		if waited := sentUs - begunUs; sentUs == 0 || waited < c.from || waited > c.to {
			t.Errorf("%s: sent after %d ms, want %d to %d", name, waited/1000, c.from/1000, c.to/1000)
		}
	}
}

// A controller that saw every ticket from the first one on knows what was loaded; one that comes to a ledger
// with tickets it did not see takes the store's window for spent.
func TestOnlyUnseenCommandsCloseStoreWindow(t *testing.T) {
	s := statemachine.NewState()
	s.Apply(1, statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: fleetDoc()}})
	s.Apply(2, statemachine.Change{ID: "k", Epoch: 1, Claim: &statemachine.Claim{Leader: "one"}})
	opts := Options{LeaseUs: fleetLeaseUs, StoreWindowUs: fleetWindowUs, StoreOvershoot: fleetOver}
	from, late := New("one", opts), New("two", opts)
	service := s.Doc.Service("s")
	index := uint64(2)
	load := func(nowUs int64, id string) {
		index++
		update := statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{{ID: id, Incarnation: id, CapacityMB: fleetRoomMb, Slots: 8, Service: "s"}},
			Commands: []statemachine.ReplicaCommand{{Replica: id, Incarnation: id, Revision: s.Revision, Action: statemachine.Load, Unit: "m0"}}}
		if out := s.Apply(index, statemachine.Change{ID: fmt.Sprint("d", index), Epoch: s.Epoch, LeaderUpdate: &update}); len(out.Faults) > 0 {
			t.Fatal(out.Faults)
		}
		from.OnApplied(nowUs, s.Epoch, update, s)
	}
	most := service.Engine.MaxConcurrentLoads()
	load(clock.Sec, "r0")
	if left := from.routed.store.loadsLeft(clock.Sec, s, service); left != most-1 {
		t.Errorf("%d loads are left to who saw the only ticket, want %d", left, most-1)
	}
	if left := late.routed.store.loadsLeft(clock.Sec, s, service); left != 0 {
		t.Errorf("%d loads are left to who did not see the ticket", left)
	}
	if left := late.routed.store.loadsLeft(7*clock.Sec, s, service); left != most-1 {
		t.Errorf("%d loads are left a window later, want %d", left, most-1)
	}
	load(8*clock.Sec, "r1")
	late.OnApplied(8*clock.Sec, s.Epoch, statemachine.LeaderUpdate{Commands: make([]statemachine.ReplicaCommand, 1)}, s)
	if late.routed.store.unseenUs >= 8*clock.Sec {
		t.Error("a ticket that was seen counts as missed")
	}
	load(9*clock.Sec, "r2")
	if late.routed.store.loadsLeft(9*clock.Sec, s, service); late.routed.store.unseenUs != 9*clock.Sec {
		t.Error("a ticket that was not seen is not missed")
	}
}
