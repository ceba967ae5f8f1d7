package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/api/feature"
)

// ResidentName is the name of the built-in policy for services with an engine, which treats the replicas' memory as
// a cache of models. Other policies are Starlark programs; the proposals of both kinds are checked in the same way.
const ResidentName = "resident"

// Demand is the load that calls place on a model or an adapter. Rate is in calls per second. Utilization is the
// share of one replica's time that the calls take. Waiting counts calls for which no replica holds the unit,
// and WaitingMs is the time since which there have been any. IdleMs is the time since the last call.
type Demand struct {
	Rate        float64
	Utilization float64
	Waiting     int
	WaitingMs   int64
	// Unstarted counts calls that were sent to replicas and have not produced their first output yet.
	Unstarted int
	IdleMs    int64
}

// Candidate is one replica of a service with an engine. SizeMbOf holds the resident units and their sizes. WarmUnits
// were loaded there before, so that loading them again does not use the weight store. Running and Unstarted count
// calls by unit. ResidentMs is the time in ms since a unit was loaded; it lacks units whose load the controller did not
// observe, such as those present from the start.
type Candidate struct {
	ID        string
	Usable    bool
	Busy      bool
	FreeMb    int64
	SizeMbOf  map[string]int64
	WarmUnits map[string]bool
	Loading   string
	Unloading string
	// ReservedFor is the model for which capacity on this replica was freed recently.
	ReservedFor string
	Running     map[string]int
	Unstarted   map[string]int
	ResidentMs  map[string]int64
}

// Service is the input of the resident policy for one service. StoreLoadsLeft is how many loads from the weight
// store may begin now. MinSpares is the number of replicas that should have room for one more model.
type Service struct {
	Name           string
	Engine         *configuration.Engine
	Candidates     []Candidate
	Models         map[string]Demand
	Adapters       map[string]Demand
	StoreLoadsLeft int
	MinSpares      int
	// Disable is the set of disabled features.
	Disable feature.Disabled
}

// residentRun is one run of the policy.
type residentRun struct {
	in          Service
	modelByName map[string]*configuration.EngineModel
	// By replica, in the order of in.Candidates: free MB, whether the replica is busy or has a proposal of this run,
	// the share of its time that calls take, and the units that may be evicted (nil until first needed).
	freeMb      []int64
	busy        []bool
	utilization []float64
	victims     [][]victim
	// By model: the number of copies that are resident or loading, and the number wanted.
	copies       map[string]int
	wantedCopies map[string]int
	// storeLoadsLeft is how many loads from the store may still be proposed.
	storeLoadsLeft int

	proposals []Proposal
	unplaced  []string
}

// Resident proposes loads of models that calls wait for and further copies of models whose calls exceed the target
// utilization of their replicas, then loads of adapters, and evicts the least valuable units to free capacity for
// them. It also returns the models and adapters for which no replica was found.
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

// countCopies counts the usable replicas on which each model is resident or loading, and returns the number of usable
// replicas.
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

// computeWantedCopies sets the wanted number of copies of each model, limited by the capacity.
func (r *residentRun) computeWantedCopies(usable int) {
	for name, n := range r.in.Models {
		if r.modelByName[name] != nil {
			r.wantedCopies[name] = min(r.copiesFor(name, n), usable)
		}
	}
	r.limitToCapacity(usable)
}

// spreadDemand divides each model's utilization evenly among the replicas that hold the model.
func (r *residentRun) spreadDemand() {
	for i := range r.in.Candidates {
		for unit := range r.in.Candidates[i].SizeMbOf {
			if r.copies[unit] > 0 {
				r.utilization[i] += r.in.Models[unit].Utilization / float64(r.copies[unit])
			}
		}
	}
}

// continueReservations proposes the next step for each model that a replica is reserved for, on that replica, and
// counts the model as loading there, so that further copies can be started on other replicas at the same time.
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
