package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

const (
	// minAdapterResidentMs is how long an adapter stays where it came.
	minAdapterResidentMs = 800
	// adapterRecencyDecayMs is over how long an adapter's last call loses its worth.
	adapterRecencyDecayMs = 5000
	// neighborCost is what each adapter beside it costs one, evictionCost what it costs that another has to go first.
	neighborCost = 0.02
	evictionCost = 0.5
)

// placeAdapters gives each adapter that calls wait for a place beside its model.
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
		return cmp.Compare(a, b)
	})
	for _, unit := range units {
		r.placeAdapter(unit)
	}
}

// placeAdapter proposes the first step by which an adapter comes to the replica with its model where that costs least,
// unless it is somewhere already.
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

// isAdapterPlaced: some usable replica, from which its model does not go, holds an adapter or is loading it.
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

// adapterSlot is a place for an adapter: the replica, the adapter that has to go first, if any, and what it costs.
type adapterSlot struct {
	index  int
	victim string
	cost   float64
}

// adapterCandidate weighs a replica as the place for one more adapter of a model.
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

// leastValuableAdapter counts a replica's adapters, and names the one that is worth least of those that are not young.
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

// propose gives a replica its proposal of this run.
func (r *residentRun) propose(i int, step statemachine.Action, unit, why string) {
	r.busy[i] = true
	r.proposals = append(r.proposals, Proposal{Step: step, Replica: r.in.Candidates[i].ID, Unit: unit, Why: why})
}
