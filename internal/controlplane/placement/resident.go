package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/feature"
)

// ResidentName is the policy that is built in for services with an engine: it treats the replicas' room as
// a cache of models. Others are written as programs; every proposal is checked alike.
const ResidentName = "resident"

// Demand is what calls ask of a model or an adapter. Rate is calls a second, Demand the share of one
// replica's time that they take; Waiting calls find no replica that has it.
type Demand struct {
	Rate        float64
	Utilization float64
	Waiting     int
	// Unstarted calls are at replicas and have no first piece yet.
	Unstarted int
	IdleMs    int64
}

// Candidate is one replica of a service with an engine.
type Candidate struct {
	ID        string
	Usable    bool
	Busy      bool
	FreeMb    int64
	SizeMbOf  map[string]int64
	WarmUnits map[string]bool
	Loading   string
	Unloading string
	// ReservedFor is the model that room was made for here a moment ago.
	ReservedFor string
	Running     map[string]int
	Unstarted   map[string]int
	ResidentMs  map[string]int64
}

// Service is one service's part of the fleet, as the resident policy reads it. StoreLoadsLeft is how many loads
// from the store may begin now.
type Service struct {
	Name           string
	Engine         *configuration.Engine
	Candidates     []Candidate
	Models         map[string]Demand
	Adapters       map[string]Demand
	StoreLoadsLeft int
	MinSpares      int
	// Disable are mechanisms that are switched off.
	Disable feature.Disabled
}

// residentRun is one run of the policy.
type residentRun struct {
	in          Service
	modelByName map[string]*configuration.EngineModel
	// By replica, in the order of in.Homes: MB that are free, whether it has its proposal of this run, the share of
	// its time that calls take, and what may go from it.
	freeMb      []int64
	busy        []bool
	utilization []float64
	victims     [][]victim
	// By model: copies that there are or that are coming, and how many there should be.
	copies       map[string]int
	wantedCopies map[string]int
	// storeLoadsLeft is how many loads from the store may still be proposed.
	storeLoadsLeft int

	proposals []Proposal
	unplaced  []string
}

// Resident proposes loads for models that calls wait for, then for adapters, then copies of models whose
// calls take more than their replicas should give, and unloads what is worth least to make room for them.
func Resident(in Service) (proposals []Proposal, unplaced []string) {
	run := newResidentRun(in)
	usable := run.countCopies()
	run.computeWantedCopies(usable)
	run.spreadDemand()
	run.continueReservations()
	run.placeModels()
	run.placeAdapters()
	if !run.in.Disable.Has(feature.SpareCapacity) {
		run.keepSpares()
	}
	return run.proposals, run.unplaced
}

func newResidentRun(in Service) *residentRun {
	candidates := len(in.Candidates)
	run := &residentRun{
		in: in, modelByName: map[string]*configuration.EngineModel{}, copies: map[string]int{}, wantedCopies: map[string]int{}, storeLoadsLeft: in.StoreLoadsLeft,
		freeMb: make([]int64, candidates), busy: make([]bool, candidates), utilization: make([]float64, candidates), victims: make([][]victim, candidates),
	}
	for i := range in.Engine.Models {
		run.modelByName[in.Engine.Models[i].Name] = &in.Engine.Models[i]
	}
	for i := range in.Candidates {
		run.freeMb[i], run.busy[i] = in.Candidates[i].FreeMb, in.Candidates[i].Busy
	}
	return run
}

// countCopies counts at how many usable replicas each model is or is coming, and how many are usable.
func (r *residentRun) countCopies() (usable int) {
	for i := range r.in.Candidates {
		candidate := &r.in.Candidates[i]
		if !candidate.Usable {
			continue
		}
		usable++
		for unit := range candidate.SizeMbOf {
			if r.modelByName[unit] != nil && unit != candidate.Unloading {
				r.copies[unit]++
			}
		}
		if r.modelByName[candidate.Loading] != nil {
			r.copies[candidate.Loading]++
		}
	}
	return usable
}

// computeWantedCopies says how many copies of each model there should be, as far as there is room.
func (r *residentRun) computeWantedCopies(usable int) {
	for name, n := range r.in.Models {
		if r.modelByName[name] != nil {
			r.wantedCopies[name] = min(r.copiesFor(name, n), usable)
		}
	}
	r.limitToCapacity(usable)
}

// spreadDemand divides what each model's calls take among the replicas that hold it.
func (r *residentRun) spreadDemand() {
	for i := range r.in.Candidates {
		for unit := range r.in.Candidates[i].SizeMbOf {
			if r.copies[unit] > 0 {
				r.utilization[i] += r.in.Models[unit].Utilization / float64(r.copies[unit])
			}
		}
	}
}

// continueReservations goes on with what room was made for, at the replica where it was made, and counts it as on its
// way: more copies may be begun beside it.
func (r *residentRun) continueReservations() {
	for i := range r.in.Candidates {
		candidate := &r.in.Candidates[i]
		if candidate.ReservedFor == "" || r.modelByName[candidate.ReservedFor] == nil || !candidate.Usable || !r.needsCopy(candidate.ReservedFor) {
			continue
		}
		copies, free := r.copies[candidate.ReservedFor], !r.busy[i]
		r.placeModelAt(i, candidate.ReservedFor)
		if free && !r.busy[i] && !candidate.WarmUnits[candidate.ReservedFor] {
			r.storeLoadsLeft--
		}
		r.copies[candidate.ReservedFor], r.busy[i] = copies+1, true
	}
}
