package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

const (
	// minAdapterResidentMs is the time after its load during which an adapter is not evicted.
	minAdapterResidentMs = 800
	// adapterRecencyDecayMs is the time constant with which the value of an adapter's last call decays.
	adapterRecencyDecayMs = 5000
	// neighborCost is the placement cost of each adapter already on the replica, and evictionCost the additional cost
	// if another adapter has to be evicted first.
	neighborCost = 0.02
	evictionCost = 0.5
)

// placeAdapters places each adapter that calls wait for on a replica that holds its model: first what most calls wait for, then what
// they have waited for longest.
func (r *residentRun) placeAdapters() {
	units := []string{}
	for unit, n := range r.in.Adapters {
		if n.Waiting > 0 {
			units = append(units, unit)
		}
	}
	slices.SortFunc(units, func(a, b string) int {
		if c := cmp.Compare(r.in.Adapters[b].Waiting, r.in.Adapters[a].Waiting); c != 0 {
			return c
		}
		return compareWait(r.in.Adapters, a, b)
	})
	for _, unit := range units {
		r.placeAdapter(unit)
	}
}

// placeAdapter proposes the first step to load an adapter on the replica of the lowest cost among those that hold its
// model. It does nothing if the adapter is already resident or loading on a usable replica.
func (r *residentRun) placeAdapter(unit string) {
	model, adapter := configuration.SplitUnit(unit)
	m := r.modelByName[model]
	if m == nil || !m.HasAdapter(adapter) || r.isAdapterPlaced(unit, model) {
		return
	}
	best := adapterSlot{index: -1}
	for i := range r.in.Candidates {
		if slot, ok := r.adapterCandidate(i, m); ok && (best.index < 0 || slot.cost < best.cost) {
			best = slot
		}
	}
	switch {
	case best.index < 0:
		r.unplaced = append(r.unplaced, unit)
	case best.victim != "":
		r.propose(best.index, statemachine.Unload, best.victim, "a place for "+unit)
	default:
		r.propose(best.index, statemachine.Load, unit, "asked for")
	}
}

// isAdapterPlaced reports whether a usable replica that is not unloading the adapter's model holds or is loading the
// adapter.
func (r *residentRun) isAdapterPlaced(unit, model string) bool {
	for i := range r.in.Candidates {
		candidate := &r.in.Candidates[i]
		if !candidate.Usable || candidate.Unloading == model {
			continue
		}
		if _, has := candidate.SizeMbOf[unit]; (has && candidate.Unloading != unit) || candidate.Loading == unit {
			return true
		}
	}
	return false
}

// adapterSlot is a possible location of an adapter: the replica (-1 for none), the adapter to evict first ("" for none),
// and the cost.
type adapterSlot struct {
	index  int
	victim string
	cost   float64
}

// adapterCandidate returns the cost of placing one more adapter of a model on a replica, and whether that is possible.
func (r *residentRun) adapterCandidate(i int, m *configuration.EngineModel) (slot adapterSlot, ok bool) {
	candidate := &r.in.Candidates[i]
	if !candidate.Usable || candidate.Unloading == m.Name {
		return slot, false
	}
	if _, has := candidate.SizeMbOf[m.Name]; !has || r.busy[i] {
		return slot, false
	}
	count, leastValuable, minValue := r.leastValuableAdapter(candidate)
	slot = adapterSlot{index: i, cost: r.utilization[i] + neighborCost*float64(count)}
	if count < r.in.Engine.MaxAdapters && r.freeMb[i] >= m.AdapterMB {
		return slot, true
	}
	if leastValuable == "" {
		return slot, false
	}
	slot.victim = leastValuable
	slot.cost += evictionCost + minValue
	return slot, true
}

// leastValuableAdapter returns the number of adapters on a replica, and the least valuable adapter among those resident
// for at least minAdapterResidentMs.
func (r *residentRun) leastValuableAdapter(candidate *Candidate) (count int, leastValuable string, minValue float64) {
	for other := range candidate.SizeMbOf {
		if _, adapter := configuration.SplitUnit(other); adapter == "" {
			continue
		}
		count++
		if age, known := candidate.ResidentMs[other]; known && age < minAdapterResidentMs {
			continue
		}
		n := r.in.Adapters[other]
		value := n.Rate + math.Exp(-float64(n.IdleMs)/adapterRecencyDecayMs)
		if leastValuable == "" || value < minValue || (value == minValue && other < leastValuable) {
			leastValuable, minValue = other, value
		}
	}
	return count, leastValuable, minValue
}

// propose appends a proposal for a replica and marks the replica as busy for the rest of this run.
func (r *residentRun) propose(i int, step statemachine.Action, unit, why string) {
	r.busy[i] = true
	r.proposals = append(r.proposals, Proposal{Step: step, Replica: r.in.Candidates[i].ID, Unit: unit, Why: why})
}
