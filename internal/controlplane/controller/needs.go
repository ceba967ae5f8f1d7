package controller

import (
	"strings"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// need is how often a unit was called for, smoothed, and when last.
type need struct {
	rate   float64
	tokens float64
	lastUs int64
}

const (
	needsEveryUs   = 200 * clock.Ms
	needsSpanMostS = 2.0
	needsMemoryS   = 6.0
	// A need below needRateLeast that was not called for in needForgetUs is forgotten.
	needRateLeast = 0.01
	needForgetUs  = 120 * clock.Sec
	// slowRateLeast is the least rate from which tokens a call are told.
	slowRateLeast = 0.2
)

// demandSums are sums over the reports of all gateways, by unit: calls a second, tokens a second, and calls a
// second over a shorter time.
type demandSums struct {
	rates, tokens, recent map[string]float64
}

// routeModel is a model that is called on a route.
type routeModel struct {
	route, model string
}

// routeDemand is how often a route is called, in all and for each model.
type routeDemand struct {
	rate   float64
	models map[string]float64
}

// countNeeds smooths what gateways count: a rise is believed at once, a fall over some seconds.
func (f *Controller) countNeeds(nowUs int64) {
	r := &f.routed
	if nowUs-r.demandUs < needsEveryUs {
		return
	}
	spanS := min(float64(nowUs-r.demandUs)/float64(clock.Sec), needsSpanMostS)
	r.demandUs = nowUs
	reports := f.reporting(nowUs)
	r.noteWaiting(nowUs, reports)
	sums := sumDemand(reports)
	if !f.opts.Disable.Has(feature.DemandForecast) {
		f.expect(nowUs, sums)
	}
	sums.believeRecent()
	r.raise(nowUs, sums)
	r.smooth(nowUs, spanS, sums)
}

// noteWaiting counts units that calls wait for as called for now.
func (r *routed) noteWaiting(nowUs int64, reports []*wire.Report) {
	for _, report := range reports {
		for unit, n := range report.Queued {
			if n > 0 {
				r.need(unit).lastUs = nowUs
			}
		}
	}
}

func sumDemand(reports []*wire.Report) demandSums {
	sums := demandSums{rates: map[string]float64{}, tokens: map[string]float64{}, recent: map[string]float64{}}
	for _, report := range reports {
		addTo(sums.rates, report.Arrivals)
		addTo(sums.tokens, report.PromptTokens)
		addTo(sums.recent, report.RecentArrivals)
	}
	return sums
}

// believeRecent takes the rate of the shorter time where it is well above that of the longer one.
func (d demandSums) believeRecent() {
	for unit, fast := range d.recent {
		slow := d.rates[unit]
		if fast <= recentLeast || fast*recentCut <= slow {
			continue
		}
		d.tokens[unit] *= fast * recentCut / max(slow, slowRateLeast)
		if slow < slowRateLeast {
			d.tokens[unit] = fast * recentCut * tokensUnknown
		}
		d.rates[unit] = fast * recentCut
	}
}

// raise takes each need up to what is called for now.
func (r *routed) raise(nowUs int64, sums demandSums) {
	for unit, rate := range sums.rates {
		n := r.need(unit)
		if rate > 0 {
			n.lastUs = nowUs
		}
		n.rate = max(rate, n.rate)
		n.tokens = max(sums.tokens[unit], n.tokens)
	}
}

// smooth lets each need follow what is called for now, and forgets those that nobody calls for any more.
func (r *routed) smooth(nowUs int64, spanS float64, sums demandSums) {
	keep := 1 - spanS/needsMemoryS
	for unit, n := range r.needs {
		n.rate += (sums.rates[unit] - n.rate) * (1 - keep)
		n.tokens += (sums.tokens[unit] - n.tokens) * (1 - keep)
		if n.rate < needRateLeast && nowUs-n.lastUs > needForgetUs {
			delete(r.needs, unit)
		}
	}
}

// expect raises a model that has only begun to be called on a route to what the other models of that route
// are called: by the time it shows in the counts, its calls would already wait.
func (f *Controller) expect(nowUs int64, sums demandSums) {
	rates, tokens := f.routed.expected(nowUs, f.demandOfRoutes())
	for model, rate := range rates {
		if rate > expectLeast {
			sums.rates[model] += rate
			sums.tokens[model] += tokens[model]
		}
	}
}

// demandOfRoutes sums what gateways report of each route and its models.
func (f *Controller) demandOfRoutes() map[string]*routeDemand {
	routes := map[string]*routeDemand{}
	for _, id := range sorted(f.gateways) {
		for key, rate := range f.gateways[id].report.RouteArrivals {
			name, model, _ := strings.Cut(key, "|")
			d := routes[name]
			if d == nil {
				d = &routeDemand{models: map[string]float64{}}
				routes[name] = d
			}
			d.rate += rate
			d.models[model] += rate
		}
	}
	return routes
}

// expected is what is missing to an even share of its routes' calls, by model, for models that have only begun to
// be called there. It remembers since when each is called.
func (r *routed) expected(nowUs int64, routes map[string]*routeDemand) (rates, tokens map[string]float64) {
	rates, tokens = map[string]float64{}, map[string]float64{}
	begun := map[routeModel]int64{}
	for name, d := range routes {
		even := d.rate / float64(len(d.models)) * expectCut
		for model, rate := range d.models {
			sinceUs, known := r.begunUs[routeModel{name, model}]
			if !known {
				sinceUs = nowUs
			}
			begun[routeModel{name, model}] = sinceUs
			if rate < even && nowUs-sinceUs < expectUs {
				rates[model] += even - rate
				tokens[model] += (even - rate) * tokensUnknown
			}
		}
	}
	r.begunUs = begun
	return rates, tokens
}

func (r *routed) need(unit string) *need {
	n := r.needs[unit]
	if n == nil {
		n = &need{}
		r.needs[unit] = n
	}
	return n
}
