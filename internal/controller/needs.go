package controller

import (
	"strings"

	"petreltide/internal/clock"
)

// need is how often a unit was called for, smoothed, and when last.
type need struct {
	rate   float64
	tokens float64
	lastUs int64
}

// countNeeds smooths what desks count: a rise is believed at once, a fall over some seconds.
func (f *Controller) countNeeds(nowUs int64) {
	r := &f.routed
	if nowUs-r.demandUs < 200*clock.Ms {
		return
	}
	spanS := min(float64(nowUs-r.demandUs)/1e6, 2)
	r.demandUs = nowUs
	rates, tokens, recent := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		if nowUs-d.atUs > deskLiveUs {
			continue
		}
		for unit, rate := range d.report.Arrivals {
			rates[unit] += rate
		}
		for unit, n := range d.report.Tokens {
			tokens[unit] += n
		}
		for unit, n := range d.report.Recent {
			recent[unit] += n
		}
		for unit, n := range d.report.Waiting {
			if n > 0 {
				r.need(unit).lastUs = nowUs
			}
		}
	}
	f.expect(nowUs, rates, tokens)
	for unit, fast := range recent {
		if slow := rates[unit]; fast > recentLeast && fast*recentCut > slow {
			tokens[unit] *= fast * recentCut / max(slow, 0.2)
			if slow < 0.2 {
				tokens[unit] = fast * recentCut * tokensUnknown
			}
			rates[unit] = fast * recentCut
		}
	}
	for unit, rate := range rates {
		n := r.need(unit)
		if rate > 0 {
			n.lastUs = nowUs
		}
		n.rate = max(rate, n.rate)
		n.tokens = max(tokens[unit], n.tokens)
	}
	for unit, n := range r.needs {
		keep := 1 - spanS/6
		n.rate += (rates[unit] - n.rate) * (1 - keep)
		n.tokens += (tokens[unit] - n.tokens) * (1 - keep)
		if n.rate < 0.01 && nowUs-n.lastUs > 120*clock.Sec {
			delete(r.needs, unit)
		}
	}
}

// expect raises a model that has only begun to be called on a route to what the other models of that route
// are called: by the time it shows in the counts, its calls would already wait.
func (f *Controller) expect(nowUs int64, rates, tokens map[string]float64) {
	type path struct {
		rate   float64
		models map[string]float64
	}
	paths := map[string]*path{}
	for _, id := range sorted(f.desks) {
		for key, rate := range f.desks[id].report.Paths {
			name, model, _ := strings.Cut(key, "|")
			p := paths[name]
			if p == nil {
				p = &path{models: map[string]float64{}}
				paths[name] = p
			}
			p.rate += rate
			p.models[model] += rate
		}
	}
	most, mostTokens := map[string]float64{}, map[string]float64{}
	begun := map[string]int64{}
	for name, p := range paths {
		even := p.rate / float64(len(p.models)) * expectCut
		for model, rate := range p.models {
			sinceUs, known := f.routed.begunUs[name+"|"+model]
			if !known {
				sinceUs = nowUs
			}
			begun[name+"|"+model] = sinceUs
			if rate < even && nowUs-sinceUs < expectUs {
				most[model] += even - rate
				mostTokens[model] += (even - rate) * tokensUnknown
			}
		}
	}
	f.routed.begunUs = begun
	for model, rate := range most {
		if rate > expectLeast {
			rates[model] += rate
			tokens[model] += mostTokens[model]
		}
	}
}

func (r *routed) need(unit string) *need {
	n := r.needs[unit]
	if n == nil {
		n = &need{}
		r.needs[unit] = n
	}
	return n
}
