package placement

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

const (
	// maxSpareLoss is the eviction loss below which a replica may be turned into a spare.
	maxSpareLoss = 0.4
	// minSpareIdleMs is the minimum idle time of an adapter that is evicted to keep a slot free.
	minSpareIdleMs = 4000
	// neverCalledMs is the idle time assumed for an adapter that was never called.
	neverCalledMs = 1 << 40
)

// keepSpares keeps capacity for one more model free on MinSpares replicas, evicting for at most one spare per run, and frees
// a slot for one more adapter on replicas whose adapter slots are full, so that the next load need not wait for an eviction.
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

// spareCandidate is a replica that could become a spare, with the unit to evict first and the eviction loss; index is
// -1 for none.
type spareCandidate struct {
	index  int
	victim string
	loss   float64
}

// isSpare reports whether a replica has room for the largest model and is not busy, or is unloading a model.
func (r *residentRun) isSpare(i int, largestMb int64) bool {
	candidate := &r.in.Candidates[i]
	if candidate.Unloading != "" && r.modelByName[candidate.Unloading] != nil {
		return true
	}
	return r.freeMb[i] >= largestMb && !r.busy[i]
}

// betterSpare returns replica i if freeing capacity there has a lower eviction loss than the best candidate so far,
// else that candidate.
func (r *residentRun) betterSpare(best spareCandidate, i int, largestMb int64) spareCandidate {
	victims, loss, ok := r.evictionFor(i, largestMb)
	if ok && loss < maxSpareLoss && (best.index < 0 || loss < best.loss) {
		return spareCandidate{index: i, victim: victims[0], loss: loss}
	}
	return best
}

// freeAdapterSlot unloads the adapter with the longest idle time if the replica has no free adapter slot and that time
// exceeds minSpareIdleMs.
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
