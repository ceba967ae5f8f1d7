package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

const (
	// adapterYoungMs is how long an adapter stays where it came.
	adapterYoungMs = 800
	// adapterLatelyMs is over how long an adapter's last call loses its worth.
	adapterLatelyMs = 5000
	// besideCost is what each adapter beside it costs one, fullCost what it costs that another has to go first.
	besideCost = 0.02
	fullCost   = 0.5
)

// adapters gives each adapter that calls wait for a place beside its model.
func (p *resident) adapters() {
	units := []string{}
	for unit, n := range p.in.Adapters {
		if n.Waiting > 0 {
			units = append(units, unit)
		}
	}
	slices.SortFunc(units, func(a, b string) int {
		if c := cmp.Compare(p.in.Adapters[b].Waiting, p.in.Adapters[a].Waiting); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	for _, unit := range units {
		p.adapter(unit)
	}
}

// adapter proposes the first step by which an adapter comes to the replica with its model where that costs least,
// unless it is somewhere already.
func (p *resident) adapter(unit string) {
	model, adapter := configuration.SplitUnit(unit)
	m := p.sizes[model]
	if m == nil || !m.HasAdapter(adapter) || p.adapterPlaced(unit, model) {
		return
	}
	best := adapterPlace{at: -1}
	for i := range p.in.Homes {
		if place, may := p.weighPlace(i, m); may && (best.at < 0 || place.cost < best.cost) {
			best = place
		}
	}
	switch {
	case best.at < 0:
		p.unplaced = append(p.unplaced, unit)
	case best.victim != "":
		p.propose(best.at, statemachine.Unload, best.victim, "a place for "+unit)
	default:
		p.propose(best.at, statemachine.Load, unit, "asked for")
	}
}

// adapterPlaced: some usable replica, from which its model does not go, holds an adapter or is loading it.
func (p *resident) adapterPlaced(unit, model string) bool {
	for i := range p.in.Homes {
		h := &p.in.Homes[i]
		if !h.Usable || h.Going == model {
			continue
		}
		if _, has := h.Holds[unit]; (has && h.Going != unit) || h.Coming == unit {
			return true
		}
	}
	return false
}

// adapterPlace is a place for an adapter: the replica, the adapter that has to go first, if any, and what it costs.
type adapterPlace struct {
	at     int
	victim string
	cost   float64
}

// weighPlace weighs a replica as the place for one more adapter of a model.
func (p *resident) weighPlace(i int, m *configuration.EngineModel) (place adapterPlace, may bool) {
	h := &p.in.Homes[i]
	if !h.Usable || h.Going == m.Name {
		return place, false
	}
	if _, has := h.Holds[m.Name]; !has || p.taken[i] {
		return place, false
	}
	places, least, leastWorth := p.leastAdapter(h)
	place = adapterPlace{at: i, cost: p.demand[i] + besideCost*float64(places)}
	if places < p.in.Engine.MaxAdapters && p.free[i] >= m.AdapterMB {
		return place, true
	}
	if least == "" {
		return place, false
	}
	place.victim = least
	place.cost += fullCost + leastWorth
	return place, true
}

// leastAdapter counts a replica's adapters, and names the one that is worth least of those that are not young.
func (p *resident) leastAdapter(h *Home) (places int, least string, leastWorth float64) {
	for other := range h.Holds {
		if _, adapter := configuration.SplitUnit(other); adapter == "" {
			continue
		}
		places++
		if age, known := h.AgeMs[other]; known && age < adapterYoungMs {
			continue
		}
		n := p.in.Adapters[other]
		worth := n.Rate + math.Exp(-float64(n.IdleMs)/adapterLatelyMs)
		if least == "" || worth < leastWorth || (worth == leastWorth && other < least) {
			least, leastWorth = other, worth
		}
	}
	return places, least, leastWorth
}

// propose gives a replica its proposal of this run.
func (p *resident) propose(i int, step statemachine.Action, unit, why string) {
	p.taken[i] = true
	p.out = append(p.out, Proposal{Step: step, Replica: p.in.Homes[i].ID, Unit: unit, Why: why})
}
