package placement

import (
	"cmp"
	"math"
	"slices"

	"petreltide/internal/api/configuration"
)

// What is lost if a model goes from a replica, in calls a second.
const (
	// foundingWorth is that of a model that came with the replica and was never called for.
	foundingWorth = 0.1
	// seldomPart is the part of its rate that a model counts which is called for seldom, surplusPart the part of its
	// worth that one counts of which there are more copies than wanted.
	seldomPart  = 0.1
	surplusPart = 0.2
	// latelyWorth is that of a call just now; it decays over latelyMs.
	latelyWorth = 0.05
	latelyMs    = 15000
	// runsWorth is that of a model that calls run on, runWorth that of each of them.
	runsWorth = 0.5
	runWorth  = 0.3
	// youngMs is how long a model stays where it came.
	youngMs = 1500
)

// victim is a unit that may go from a replica, and what would be lost.
type victim struct {
	unit  string
	mb    int64
	worth float64
}

// makeRoom names what would have to go for a model of this size, least worth first; an adapter goes with
// its model.
func (p *resident) makeRoom(i int, sizeMb int64) (victims []string, harm float64, ok bool) {
	freeMb := p.free[i]
	if freeMb >= sizeMb {
		return nil, 0, true
	}
	for _, v := range p.victimsOf(i) {
		if freeMb >= sizeMb {
			break
		}
		if p.sizes[v.unit] != nil {
			worth, may := p.worth(i, v.unit)
			if !may {
				continue
			}
			v.worth = worth
		}
		victims = append(victims, v.unit)
		harm += v.worth
		freeMb += v.mb
	}
	return victims, harm, freeMb >= sizeMb
}

// victimsOf are a replica's units, least worth first; they are put in order once a run.
func (p *resident) victimsOf(i int) []victim {
	if p.victims[i] != nil {
		return p.victims[i]
	}
	h := &p.in.Homes[i]
	all := []victim{}
	for unit, mb := range h.Holds {
		if p.sizes[unit] == nil {
			if model, adapter := configuration.SplitUnit(unit); adapter == "" || p.sizes[model] == nil {
				all = append(all, victim{unit, mb, 0})
			}
			continue
		}
		if worth, may := p.worth(i, unit); may {
			all = append(all, victim{unit, mb + p.adaptersMb(h, unit), worth})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		if c := cmp.Compare(a.worth, b.worth); c != 0 {
			return c
		}
		return cmp.Compare(a.unit, b.unit)
	})
	p.victims[i] = all
	return all
}

// adaptersMb is the room that a model's adapters take at a replica.
func (p *resident) adaptersMb(h *Home, model string) int64 {
	var sumMb int64
	for unit, mb := range h.Holds {
		if of, adapter := configuration.SplitUnit(unit); adapter != "" && of == model {
			sumMb += mb
		}
	}
	return sumMb
}

// worth is what is lost if a model goes from a replica: little while more than enough others hold it, else
// by how often and how lately it was called for.
func (p *resident) worth(i int, unit string) (worth float64, may bool) {
	h, n := &p.in.Homes[i], p.in.Models[unit]
	held := max(p.held[unit], 1)
	if p.stays(h, unit, held) {
		return 0, false
	}
	_, called := p.in.Models[unit]
	_, came := h.AgeMs[unit]
	switch {
	case !called && !came:
		worth = foundingWorth / float64(held)
	case calledOften(n):
		worth = n.Rate / float64(held)
	default:
		worth = seldomPart * n.Rate / float64(held)
	}
	if called {
		worth += latelyWorth * math.Exp(-float64(n.IdleMs)/latelyMs)
	}
	if held > max(p.want[unit], 1) {
		worth *= surplusPart
	}
	if runs := h.Runs[unit]; runs > 0 {
		worth += runsWorth + runWorth*float64(runs)
	}
	return worth, true
}

// stays: a model is not to go from a replica, as copies of what is called for often, what is wanted at once,
// what has only just come and what calls have not begun on.
func (p *resident) stays(h *Home, unit string, held int) bool {
	n := p.in.Models[unit]
	if n.Waiting > 0 && held <= 1 {
		return true
	}
	if age, known := h.AgeMs[unit]; known && age < youngMs {
		return true
	}
	if h.Unread[unit] > 0 {
		return true
	}
	return calledOften(n) && held <= p.want[unit]
}

func calledOften(n Need) bool { return n.Rate >= secondRate/2 }
