package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

const (
	// spareHarmMost is the most that may be lost for a spare.
	spareHarmMost = 0.4
	// spareIdleMs is how long an adapter was not called for that goes for a spare place.
	spareIdleMs = 4000
	// neverCalledMs stands for the time since the last call of what was never called.
	neverCalledMs = 1 << 40
)

// spares keeps room for one more model free on a few replicas, and a place for one more adapter on those
// that are full, so that what is asked for next need not wait for something to go first.
func (p *resident) spares() {
	var largestMb int64
	for _, m := range p.sizes {
		largestMb = max(largestMb, m.SizeMB)
	}
	free, best := 0, spare{at: -1}
	for i := range p.in.Homes {
		switch {
		case !p.in.Homes[i].Usable:
		case p.isSpare(i, largestMb):
			free++
		case !p.taken[i]:
			best = p.lessHarm(best, i, largestMb)
		}
	}
	if free < p.in.Spares && best.at >= 0 {
		p.unload(best.at, best.first, "a spare")
	}
	for i := range p.in.Homes {
		p.spareAdapter(i)
	}
}

// spare is a replica that could become one: what goes first there, and what is lost by it; at is -1 for none.
type spare struct {
	at    int
	first string
	harm  float64
}

// isSpare: a replica has room for the largest model, or a model is going from it.
func (p *resident) isSpare(i int, largestMb int64) bool {
	h := &p.in.Homes[i]
	if h.Going != "" && p.sizes[h.Going] != nil {
		return true
	}
	return p.free[i] >= largestMb && !p.taken[i]
}

// lessHarm gives replica i where less is lost by making room there than at the best so far, else that one.
func (p *resident) lessHarm(best spare, i int, largestMb int64) spare {
	victims, harm, ok := p.makeRoom(i, largestMb)
	if ok && harm < spareHarmMost && (best.at < 0 || harm < best.harm) {
		return spare{at: i, first: victims[0], harm: harm}
	}
	return best
}

// spareAdapter unloads the adapter that was not called for longest, where no place is free and that is long enough.
func (p *resident) spareAdapter(i int) {
	h := &p.in.Homes[i]
	if !h.Usable || p.taken[i] {
		return
	}
	places, least, leastMs := 0, "", int64(spareIdleMs)
	for unit := range h.Holds {
		if _, adapter := configuration.SplitUnit(unit); adapter == "" {
			continue
		}
		places++
		n, known := p.in.Adapters[unit]
		idleMs := n.IdleMs
		if !known {
			idleMs = neverCalledMs
		}
		if idleMs > leastMs || (idleMs == leastMs && unit < least) {
			least, leastMs = unit, idleMs
		}
	}
	if places >= p.in.Engine.MaxAdapters && least != "" {
		p.propose(i, statemachine.Unload, least, "a spare place")
	}
}
