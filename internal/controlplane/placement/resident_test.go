package placement

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/feature"
	"petreltide/internal/controlplane/statemachine"
)

// randomFleet is a replicated state with replicas of one service, and a policy input with random demand.
// ages holds the time since each unit was loaded, in ms, by replica and unit.
type randomFleet struct {
	r     *rand.Rand
	s     *statemachine.State
	in    Service
	ages  map[string]map[string]int64
	index uint64
}

func (f *randomFleet) apply(c statemachine.Change) statemachine.Outcome {
	f.index++
	return f.s.Apply(f.index, c)
}

func newRandomFleet(t *testing.T, seed int64) *randomFleet {
	t.Helper()
	r := rand.New(rand.NewSource(seed))
	f := &randomFleet{r: r, s: statemachine.NewState(), ages: map[string]map[string]int64{}}
	e := &configuration.Engine{Slots: 8, CacheTokens: 1, CapacityMB: 100, MaxAdapters: r.Intn(5), LoadsPerSecond: 2}
	for i := range 3 + r.Intn(18) {
		e.Models = append(e.Models, configuration.EngineModel{Name: fmt.Sprint("m", i), SizeMB: 5 + r.Int63n(60), LoadMs: 500 + r.Int63n(2000), Adapters: r.Intn(4), AdapterMB: 1 + r.Int63n(4)})
	}
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s", Engine: e}}}
	if out := f.apply(statemachine.Change{ID: "c", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}}); out.Fault != nil {
		t.Fatal(out.Fault)
	}
	for i := range 1 + r.Intn(9) {
		n := statemachine.ReplicaUpdate{ID: fmt.Sprint("r", i), Incarnation: "i", Addr: "a", Zone: "z", CapacityMB: 100, Slots: 8, Service: "s", ResidentKnown: true, Draining: r.Intn(10) == 0, Unreachable: r.Intn(10) == 0}
		freeMb, freeSlots := int64(100), e.MaxAdapters
		for _, m := range r.Perm(len(e.Models)) {
			if m := e.Models[m]; m.SizeMB <= freeMb && r.Intn(3) > 0 {
				n.Resident = append(n.Resident, statemachine.ResidentUnit{Unit: m.Name, SizeMB: m.SizeMB})
				freeMb -= m.SizeMB
				for a := 1; a <= m.Adapters; a++ {
					if freeSlots > 0 && m.AdapterMB <= freeMb && r.Intn(2) == 0 {
						n.Resident = append(n.Resident, statemachine.ResidentUnit{Unit: fmt.Sprint(m.Name, "/a", a), SizeMB: m.AdapterMB})
						freeSlots, freeMb = freeSlots-1, freeMb-m.AdapterMB
					}
				}
			}
		}
		if r.Intn(20) == 0 && freeMb > 3 {
			n.Resident = append(n.Resident, statemachine.ResidentUnit{Unit: "of an older configuration", SizeMB: 3})
		}
		f.apply(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Replicas: []statemachine.ReplicaUpdate{n}}})
		f.ages[n.ID] = map[string]int64{}
	}
	f.in = Service{Name: "s", Engine: e, Models: map[string]Demand{}, Adapters: map[string]Demand{}, StoreLoadsLeft: r.Intn(4), MinSpares: r.Intn(3)}
	for _, m := range e.Models {
		if r.Intn(3) > 0 {
			n := Demand{Rate: []float64{0, 0.2, 0.5, 2, 20}[r.Intn(5)], IdleMs: r.Int63n(30_000)}
			n.Utilization = n.Rate * 0.06
			if r.Intn(3) == 0 {
				n.Waiting = r.Intn(6)
			}
			f.in.Models[m.Name] = n
			for a := 1; a <= m.Adapters; a++ {
				f.in.Adapters[fmt.Sprint(m.Name, "/a", a)] = Demand{Rate: r.Float64(), Waiting: r.Intn(3), IdleMs: r.Int63n(9000)}
			}
		}
	}
	return f
}

// refreshCandidates rebuilds the candidates from the replicated state as the controller does. With randomize, it also
// sets new random call counts and unit ages.
func (f *randomFleet) refreshCandidates(randomize bool) {
	f.in.Candidates = nil
	for _, id := range f.s.ReplicaIDs() {
		r := f.s.Replicas[id]
		candidate := Candidate{ID: id, Usable: !r.Draining && !r.Unreachable, FreeMb: r.CapacityMB - f.s.ReservedMB(id), SizeMbOf: maps.Clone(r.Resident), WarmUnits: maps.Clone(r.EverLoaded),
			Running: map[string]int{}, Unstarted: map[string]int{}, ResidentMs: f.ages[id]}
		if t, pending := f.s.Pending[id]; pending {
			candidate.Busy = true
			if candidate.Loading = t.Unit; t.Action == statemachine.Unload {
				candidate.Loading, candidate.Unloading = "", t.Unit
			}
		}
		for unit := range r.Resident {
			if randomize {
				candidate.Running[unit], candidate.Unstarted[unit] = f.r.Intn(3), max(0, f.r.Intn(4)-2)
				f.ages[id][unit] = f.r.Int63n(4000)
			}
		}
		f.in.Candidates = append(f.in.Candidates, candidate)
	}
}

// copyCount returns the number of usable candidates that hold a model and are not unloading it, or are loading it.
func (f *randomFleet) copyCount(model string) (n int) {
	for _, candidate := range f.in.Candidates {
		if _, has := candidate.SizeMbOf[model]; (has && candidate.Unloading != model || candidate.Loading == model) && candidate.Usable {
			n++
		}
	}
	return n
}

func (f *randomFleet) candidate(id string) *Candidate {
	for i := range f.in.Candidates {
		if f.in.Candidates[i].ID == id {
			return &f.in.Candidates[i]
		}
	}
	return nil
}

// For random fleets, every proposal of the policy is accepted by the checker and the replicated state, and models that
// calls need are not evicted.
func TestSeededProposalsAreAcceptedAndKeepNeededModels(t *testing.T) {
	loads, unloads := 0, 0
	for seed := int64(0); seed < 1500; seed++ {
		f := newRandomFleet(t, seed)
		for round := 0; round < 4; round++ {
			f.refreshCandidates(true)
			proposals, _ := Resident(f.in)
			tickets, verdicts := CheckRouted(f.s, f.in.StoreLoadsLeft, proposals)
			for _, v := range verdicts {
				if v.Fault != nil {
					t.Fatalf("seed %d: CheckRouted rejected proposal %+v: %v", seed, v.Proposal, v.Fault)
				}
			}
			out := f.apply(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Commands: tickets}})
			if len(out.Faults) > 0 {
				t.Fatalf("seed %d: replicated state rejected commands: %v", seed, out.Faults)
			}
			fromStore := 0
			unloaded := map[string]int{}
			for _, p := range proposals {
				candidate, n := f.candidate(p.Replica), f.in.Models[p.Unit]
				switch {
				case !candidate.Usable || candidate.Busy:
					t.Fatalf("seed %d: proposal %+v for a replica that is busy or not usable", seed, p)
				case p.Step == statemachine.Load:
					if loads++; !strings.Contains(p.Unit, "/") && !candidate.WarmUnits[p.Unit] {
						fromStore++
					}
				case strings.Contains(p.Unit, "/") || f.s.Doc.EngineModel("s", p.Unit) == nil:
					unloads++
				default:
					unloads++
					unloaded[p.Unit]++
					if n.Waiting > 0 && f.copyCount(p.Unit) <= unloaded[p.Unit] {
						t.Fatalf("seed %d: proposal %+v evicts the last copy of a model that %d calls wait for", seed, p, n.Waiting)
					}
					if n.Rate >= secondCopyRate && f.copyCount(p.Unit) <= unloaded[p.Unit] {
						t.Fatalf("seed %d: proposal %+v evicts the last copy of a model with %.1f calls per second", seed, p, n.Rate)
					}
					if candidate.Unstarted[p.Unit] > 0 || (candidate.ResidentMs[p.Unit] > 0 && candidate.ResidentMs[p.Unit] < minResidentMs) {
						t.Fatalf("seed %d: proposal %+v evicts a model with %d unstarted calls, resident for %d ms; want 0 and at least %d ms",
							seed, p, candidate.Unstarted[p.Unit], candidate.ResidentMs[p.Unit], minResidentMs)
					}
				}
			}
			if fromStore > f.in.StoreLoadsLeft {
				t.Fatalf("seed %d: loads from the store: got %d, want at most %d", seed, fromStore, f.in.StoreLoadsLeft)
			}
			f.checkWaitingModelsFirst(t, seed, proposals)
			for _, id := range slices.Sorted(maps.Keys(f.s.Pending)) {
				if f.r.Intn(2) == 0 {
					f.apply(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: f.s.Pending[id].Number, Succeeded: f.r.Intn(4) > 0}}}})
				}
			}
		}
	}
	t.Logf("%d loads, %d unloads", loads, unloads)
	if loads < 1000 || unloads < 500 {
		t.Errorf("coverage of the seeds: got %d loads and %d unloads, want at least 1000 and 500", loads, unloads)
	}
}

// checkWaitingModelsFirst checks that no model without waiting calls is loaded while a model that has waiting calls and
// no copy would fit on an idle replica.
func (f *randomFleet) checkWaitingModelsFirst(t *testing.T, seed int64, proposals []Proposal) {
	served, other := map[string]bool{}, ""
	for _, p := range proposals {
		if p.Step == statemachine.Load && !strings.Contains(p.Unit, "/") {
			if served[p.Unit] = true; f.in.Models[p.Unit].Waiting == 0 {
				other = p.Unit
			}
		}
		if name, found := strings.CutPrefix(p.Why, "room for "); found {
			served[name] = true
		}
	}
	for name, n := range f.in.Models {
		if n.Waiting == 0 || f.copyCount(name) > 0 || served[name] || other == "" {
			continue
		}
		for _, candidate := range f.in.Candidates {
			if taken := slices.ContainsFunc(proposals, func(p Proposal) bool { return p.Replica == candidate.ID && p.Unit != other }); taken || candidate.Busy || !candidate.Usable {
				continue
			}
			if _, has := candidate.SizeMbOf[name]; !has && candidate.FreeMb >= f.s.Doc.EngineModel("s", name).SizeMB && (candidate.WarmUnits[name] || f.in.StoreLoadsLeft > 0) {
				t.Fatalf("seed %d: model %s is loaded although calls wait for model %s, which fits on replica %s", seed, other, name, candidate.ID)
			}
		}
	}
}

// With constant demand the policy stops making proposals. If all other models can be evicted, a model that calls wait
// for is resident by then.
func TestSeededPolicyConverges(t *testing.T) {
	rounds := 0
	for seed := int64(0); seed < 400; seed++ {
		f := newRandomFleet(t, seed)
		f.in.StoreLoadsLeft = 3
		wanted := ""
		for _, m := range f.in.Engine.Models {
			n := f.in.Models[m.Name]
			n.Waiting = 0
			if seed%2 == 0 {
				n.Rate, n.Utilization, n.IdleMs = 0, 0, 1<<30
			}
			f.in.Models[m.Name] = n
			wanted = m.Name
		}
		for unit, n := range f.in.Adapters {
			n.Waiting = 0
			f.in.Adapters[unit] = n
		}
		usable := false
		for _, id := range f.s.ReplicaIDs() {
			r := f.s.Replicas[id]
			usable = usable || (!r.Draining && !r.Unreachable)
		}
		idleRounds := 0
		history := []Proposal{}
		for round := 0; idleRounds < 3; round++ {
			if round > 200 {
				t.Fatalf("seed %d: policy still makes proposals after 200 rounds; last proposals: %+v", seed, history[len(history)-6:])
			}
			f.refreshCandidates(false)
			if n := f.in.Models[wanted]; seed%2 == 0 && usable {
				n.Rate, n.IdleMs, n.Waiting = 0.5, 0, 1
				if f.copyCount(wanted) > 0 {
					n.Waiting = 0
				}
				f.in.Models[wanted] = n
			}
			proposals, _ := Resident(f.in)
			history = append(history, proposals...)
			tickets, _ := CheckRouted(f.s, f.in.StoreLoadsLeft, proposals)
			f.apply(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Commands: tickets}})
			for _, id := range slices.Sorted(maps.Keys(f.s.Pending)) {
				f.apply(statemachine.Change{LeaderUpdate: &statemachine.LeaderUpdate{Results: []statemachine.CommandResult{{Number: f.s.Pending[id].Number, Succeeded: true}}}})
			}
			idleRounds++
			if len(tickets) > 0 {
				idleRounds = 0
			}
			rounds++
		}
		if f.refreshCandidates(false); seed%2 == 0 && usable && f.copyCount(wanted) == 0 {
			t.Fatalf("seed %d: policy stopped making proposals although calls wait for model %s", seed, wanted)
		}
	}
	t.Logf("%d rounds", rounds)
}

// A model that was loaded later and is called rarely is evicted before a model that was resident from the start: the
// platform placed the initial models, and the models called next are among them.
func TestInitialModelsAreEvictedLater(t *testing.T) {
	e := &configuration.Engine{Slots: 8, CapacityMB: 100, LoadsPerSecond: 2}
	for i := range 4 {
		e.Models = append(e.Models, configuration.EngineModel{Name: fmt.Sprint("m", i), SizeMB: 45, LoadMs: 1000})
	}
	in := Service{Name: "s", Engine: e, StoreLoadsLeft: 2, Adapters: map[string]Demand{},
		Candidates: []Candidate{{ID: "r", Usable: true, FreeMb: 10, SizeMbOf: map[string]int64{"m0": 45, "m1": 45}, ResidentMs: map[string]int64{"m1": 5000}}},
		Models:     map[string]Demand{"m1": {Rate: 0.2, IdleMs: 3000}, "m2": {Rate: 0.1, Waiting: 1}},
	}
	proposals, _ := Resident(in)
	if len(proposals) != 1 || proposals[0].Unit != "m1" || proposals[0].For != "m2" {
		t.Errorf("proposals: got %+v, want m1 evicted for m2", proposals)
	}
	in.Models["m1"] = Demand{Rate: 2, Utilization: 0.2}
	if proposals, _ = Resident(in); len(proposals) != 1 || proposals[0].Unit != "m0" {
		t.Errorf("proposals with m1 called frequently: got %+v, want m0 evicted for m2", proposals)
	}
}

// Guards against serialized scaling: a model whose rate rose from 5 to 90 calls per second within six seconds got only
// one copy every 0.45 s, because no other copy was started while capacity was being freed for one on another replica.
func TestReservationsDoNotDelayFurtherCopies(t *testing.T) {
	e := &configuration.Engine{Slots: 8, CacheTokens: 1, CapacityMB: 100, LoadsPerSecond: 40, Models: []configuration.EngineModel{{Name: "hot", SizeMB: 60, LoadMs: 2000}, {Name: "cold", SizeMB: 60, LoadMs: 2000}}}
	in := Service{Name: "s", Engine: e, StoreLoadsLeft: 10, Models: map[string]Demand{"hot": {Rate: 30, Utilization: 2.8}, "cold": {IdleMs: 60_000}}, Adapters: map[string]Demand{}}
	for i := range 8 {
		candidate := Candidate{ID: fmt.Sprint("r", i), Usable: true, FreeMb: 40, SizeMbOf: map[string]int64{"cold": 60}}
		switch i {
		case 0:
			candidate.SizeMbOf = map[string]int64{"hot": 60}
		case 1, 2:
			candidate.Busy, candidate.Unloading, candidate.ReservedFor = true, "cold", "hot"
		case 3:
			candidate.FreeMb, candidate.SizeMbOf, candidate.ReservedFor = 100, map[string]int64{}, "hot"
		}
		in.Candidates = append(in.Candidates, candidate)
	}
	out, _ := Resident(in)
	started := map[string]int{}
	for _, p := range out {
		if (p.Step == statemachine.Load && p.Unit == "hot") || p.For == "hot" {
			started[p.Replica]++
		}
	}
	if len(started) != 2 || started["r3"] != 1 {
		t.Errorf("replicas with a started copy: got %v, want r3, which has free capacity by now, and one more", started)
	}
	in.Models["hot"] = Demand{Rate: 4, Utilization: 1.2}
	if out, _ := Resident(in); slices.ContainsFunc(out, func(p Proposal) bool { return p.For == "hot" }) {
		t.Errorf("proposals: got %v, want no eviction for hot: four copies are wanted, and four are resident or reserved", out)
	}
}

// Spare capacity is freed before calls need it, and not at all if the feature is disabled.
func TestSpareCapacityIsMadeUnlessDisabled(t *testing.T) {
	e := &configuration.Engine{Slots: 8, CapacityMB: 100, LoadsPerSecond: 2, Models: []configuration.EngineModel{{Name: "m", SizeMB: 60, LoadMs: 1000}}}
	in := Service{Name: "s", Engine: e, StoreLoadsLeft: 2, MinSpares: 1, Models: map[string]Demand{}, Adapters: map[string]Demand{}}
	for i := range 3 {
		in.Candidates = append(in.Candidates, Candidate{ID: fmt.Sprint("r", i), Usable: true, FreeMb: 40, SizeMbOf: map[string]int64{"m": 60}})
	}
	if out, _ := Resident(in); len(out) != 1 || out[0].Step != statemachine.Unload {
		t.Errorf("proposals: got %v, want one unload that frees a spare", out)
	}
	in.Disable = feature.Disabled{feature.SpareCapacity}
	if out, _ := Resident(in); len(out) != 0 {
		t.Errorf("proposals with SpareCapacity disabled: got %v, want none", out)
	}
}
