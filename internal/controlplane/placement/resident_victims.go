package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
)

// Parameters of the eviction loss: the value that is lost if a model is evicted from a replica, in calls per second.
const (
	// initialValue is the value of a model that was resident from the start and was never called.
	initialValue = 0.1
	// rareDiscount is the factor applied to the rate of a model that is called rarely, and surplusDiscount the factor
	// applied to the loss of a model that has more copies than wanted.
	rareDiscount    = 0.1
	surplusDiscount = 0.2
	// recencyValue is the value of a call made just now; it decays exponentially with time constant recencyDecayMs.
	recencyValue   = 0.05
	recencyDecayMs = 15000
	// runningModelValue is the value of a model with running calls, and runningCallValue that of each of these calls.
	runningModelValue = 0.5
	runningCallValue  = 0.3
	// minResidentMs is the time after its load during which a model is not evicted.
	minResidentMs = 1500
)

// victim is a unit that may be evicted from a replica, with the size that the eviction frees and its loss.
type victim struct {
	unit   string
	sizeMb int64
	loss   float64
}

// evictionFor returns the units to evict from replica i, least valuable first, to fit a model of the given size, the
// total loss, and whether the model then fits. Adapters are evicted with their model.
func (r *residentRun) evictionFor(i int, sizeMb int64) (victims []string, loss float64, ok bool) {
	freeMb := r.freeMb[i]
	if freeMb >= sizeMb {
		return nil, 0, true
	}
	for _, v := range r.victimsAt(i) {
		if freeMb >= sizeMb {
			break
		}
		if r.modelByName[v.unit] != nil {
			unitLoss, evictable := r.lossOf(i, v.unit)
			if !evictable {
				continue
			}
			v.loss = unitLoss
		}
		victims = append(victims, v.unit)
		loss += v.loss
		freeMb += v.sizeMb
	}
	return victims, loss, freeMb >= sizeMb
}

// victimsAt returns the units that may be evicted from a replica, least valuable first. The list is sorted once per run.
func (r *residentRun) victimsAt(i int) []victim {
	if r.victims[i] != nil {
		return r.victims[i]
	}
	candidate := &r.in.Candidates[i]
	all := []victim{}
	for unit, mb := range candidate.SizeMbOf {
		if r.modelByName[unit] == nil {
			if model, adapter := configuration.SplitUnit(unit); adapter == "" || r.modelByName[model] == nil {
				all = append(all, victim{unit, mb, 0})
			}
			continue
		}
		if loss, evictable := r.lossOf(i, unit); evictable {
			all = append(all, victim{unit, mb + r.adaptersMb(candidate, unit), loss})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		if c := cmp.Compare(a.loss, b.loss); c != 0 {
			return c
		}
		return cmp.Compare(a.unit, b.unit)
	})
	r.victims[i] = all
	return all
}

// adaptersMb returns the capacity that a model's adapters take on a replica.
func (r *residentRun) adaptersMb(candidate *Candidate, model string) int64 {
	var sumMb int64
	for unit, mb := range candidate.SizeMbOf {
		if of, adapter := configuration.SplitUnit(unit); adapter != "" && of == model {
			sumMb += mb
		}
	}
	return sumMb
}

// lossOf returns the loss of evicting a model from a replica, and whether the model may be evicted. The loss follows
// from how often and how recently the model was called, and is low if the model has more copies than wanted.
func (r *residentRun) lossOf(i int, unit string) (loss float64, evictable bool) {
	candidate, n := &r.in.Candidates[i], r.in.Models[unit]
	copies := max(r.copies[unit], 1)
	if r.mustStay(candidate, unit, copies) {
		return 0, false
	}
	_, called := r.in.Models[unit]
	_, loadedLater := candidate.ResidentMs[unit]
	switch {
	case !called && !loadedLater:
		loss = initialValue / float64(copies)
	case isFrequentlyCalled(n):
		loss = n.Rate / float64(copies)
	default:
		loss = rareDiscount * n.Rate / float64(copies)
	}
	if called {
		loss += recencyValue * math.Exp(-float64(n.IdleMs)/recencyDecayMs)
	}
	if copies > max(r.wantedCopies[unit], 1) {
		loss *= surplusDiscount
	}
	if runs := candidate.Running[unit]; runs > 0 {
		loss += runningModelValue + runningCallValue*float64(runs)
	}
	return loss, true
}

// mustStay reports whether a model must not be evicted from a replica. That is the case if:
//  1. calls wait for the model and it has at most one copy,
//  2. the model was loaded less than minResidentMs ago,
//  3. calls sent to this replica for the model have not started yet, or
//  4. the model is called frequently and has no more copies than wanted.
func (r *residentRun) mustStay(candidate *Candidate, unit string, copies int) bool {
	n := r.in.Models[unit]
	if n.Waiting > 0 && copies <= 1 {
		return true
	}
	if age, known := candidate.ResidentMs[unit]; known && age < minResidentMs {
		return true
	}
	if candidate.Unstarted[unit] > 0 {
		return true
	}
	return isFrequentlyCalled(n) && copies <= r.wantedCopies[unit]
}

// isFrequentlyCalled reports whether a model's call rate is at least half of secondCopyRate.
func isFrequentlyCalled(n Demand) bool { return n.Rate >= secondCopyRate/2 }
