package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
)

// What is lost if a model goes from a replica, in calls a second.
const (
	// initialValue is that of a model that came with the replica and was never called for.
	initialValue = 0.1
	// rareDiscount is the part of its rate that a model counts which is called for seldom, surplusDiscount the part of its
	// worth that one counts of which there are more copies than wanted.
	rareDiscount    = 0.1
	surplusDiscount = 0.2
	// recencyValue is that of a call just now; it decays over recencyDecayMs.
	recencyValue   = 0.05
	recencyDecayMs = 15000
	// runningModelValue is that of a model that calls run on, runningCallValue that of each of them.
	runningModelValue = 0.5
	runningCallValue  = 0.3
	// minResidentMs is how long a model stays where it came.
	minResidentMs = 1500
)

// victim is a unit that may go from a replica, and what would be lost.
type victim struct {
	unit   string
	sizeMb int64
	loss   float64
}

// evictionFor names what would have to go for a model of this size, least worth first; an adapter goes with
// its model.
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

// victimsAt are a replica's units, least worth first; they are put in order once a run.
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

// adaptersMb is the room that a model's adapters take at a replica.
func (r *residentRun) adaptersMb(candidate *Candidate, model string) int64 {
	var sumMb int64
	for unit, mb := range candidate.SizeMbOf {
		if of, adapter := configuration.SplitUnit(unit); adapter != "" && of == model {
			sumMb += mb
		}
	}
	return sumMb
}

// lossOf is what is lost if a model goes from a replica: little while more than enough others hold it, else
// by how often and how lately it was called for.
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

// mustStay: a model is not to go from a replica, as copies of what is called for often, what is wanted at once,
// what has only just come and what calls have not begun on.
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

func isFrequentlyCalled(n Demand) bool { return n.Rate >= secondCopyRate/2 }
