package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

const (
	// maxSpareLoss is the most that may be lost for a spare.
	maxSpareLoss = 0.4
	// minSpareIdleMs is how long an adapter was not called for that goes for a spare place.
	minSpareIdleMs = 4000
	// neverCalledMs stands for the time since the last call of what was never called.
	neverCalledMs = 1 << 40
)

// keepSpares keeps room for one more model free on a few replicas, and a place for one more adapter on those
// that are full, so that what is asked for next need not wait for something to go first.
func (r *residentRun) keepSpares() {
	var largestMb int64
	for _, m := range r.modelByName {
		largestMb = max(largestMb, m.SizeMB)
	}
	free, best := 0, spareCandidate{index: -1}
	for i := range r.in.Candidates {
		switch {
		case !r.in.Candidates[i].Usable:
		case r.isSpare(i, largestMb):
			free++
		case !r.busy[i]:
			best = r.betterSpare(best, i, largestMb)
		}
	}
	if free < r.in.MinSpares && best.index >= 0 {
		r.unload(best.index, best.victim, "a spare")
	}
	for i := range r.in.Candidates {
		r.freeAdapterSlot(i)
	}
}

// spareCandidate is a replica that could become one: what goes first there, and what is lost by it; at is -1 for none.
type spareCandidate struct {
	index  int
	victim string
	loss   float64
}

// isSpare: a replica has room for the largest model, or a model is going from it.
func (r *residentRun) isSpare(i int, largestMb int64) bool {
	candidate := &r.in.Candidates[i]
	if candidate.Unloading != "" && r.modelByName[candidate.Unloading] != nil {
		return true
	}
	return r.freeMb[i] >= largestMb && !r.busy[i]
}

// betterSpare gives replica i where less is lost by making room there than at the best so far, else that one.
func (r *residentRun) betterSpare(best spareCandidate, i int, largestMb int64) spareCandidate {
	victims, loss, ok := r.evictionFor(i, largestMb)
	if ok && loss < maxSpareLoss && (best.index < 0 || loss < best.loss) {
		return spareCandidate{index: i, victim: victims[0], loss: loss}
	}
	return best
}

// freeAdapterSlot unloads the adapter that was not called for longest, where no place is free and that is long enough.
func (r *residentRun) freeAdapterSlot(i int) {
	candidate := &r.in.Candidates[i]
	if !candidate.Usable || r.busy[i] {
		return
	}
	count, longestIdle, longestIdleMs := 0, "", int64(minSpareIdleMs)
	for unit := range candidate.SizeMbOf {
		if _, adapter := configuration.SplitUnit(unit); adapter == "" {
			continue
		}
		count++
		n, known := r.in.Adapters[unit]
		idleMs := n.IdleMs
		if !known {
			idleMs = neverCalledMs
		}
		if idleMs > longestIdleMs || (idleMs == longestIdleMs && unit < longestIdle) {
			longestIdle, longestIdleMs = unit, idleMs
		}
	}
	if count >= r.in.Engine.MaxAdapters && longestIdle != "" {
		r.propose(i, statemachine.Unload, longestIdle, "a spare place")
	}
}
