package controller

import (
	"strings"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// demandEstimate is how often a unit was called for, smoothed, and when last.
type demandEstimate struct {
	rate   float64
	tokens float64
	lastUs int64
}

const (
	demandIntervalUs = 200 * clock.Ms
	maxDemandSpanS   = 2.0
	demandDecayS     = 6.0
	// A need below minDemandRate that was not called for in demandForgottenUs is forgotten.
	minDemandRate     = 0.01
	demandForgottenUs = 120 * clock.Sec
	// minSlowRate is the least rate from which tokens a call are told.
	minSlowRate = 0.2
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

// updateDemand smooths what gateways count: a rise is believed at once, a fall over some seconds.
func (c *Controller) updateDemand(nowUs int64) {
	r := &c.routed
	if nowUs-r.demandUs < demandIntervalUs {
		return
	}
	spanS := min(float64(nowUs-r.demandUs)/float64(clock.Sec), maxDemandSpanS)
	r.demandUs = nowUs
	reports := c.recentReports(nowUs)
	r.recordWaiting(nowUs, reports)
	sums := sumDemand(reports)
	if !c.opts.Disable.Has(feature.DemandForecast) {
		c.addForecast(nowUs, sums)
	}
	sums.adoptRecent()
	r.raise(nowUs, sums)
	r.smooth(nowUs, spanS, sums)
}

// recordWaiting counts units that calls wait for as called for now.
func (r *routedMemory) recordWaiting(nowUs int64, reports []*wire.Report) {
	for _, report := range reports {
		for unit, n := range report.Queued {
			if n > 0 {
				r.estimate(unit).lastUs = nowUs
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

// adoptRecent takes the rate of the shorter time where it is well above that of the longer one.
func (d demandSums) adoptRecent() {
	for unit, fast := range d.recent {
		slow := d.rates[unit]
		if fast <= minRecentRate || fast*recentDiscount <= slow {
			continue
		}
		d.tokens[unit] *= fast * recentDiscount / max(slow, minSlowRate)
		if slow < minSlowRate {
			d.tokens[unit] = fast * recentDiscount * defaultTokensPerCall
		}
		d.rates[unit] = fast * recentDiscount
	}
}

// raise takes each need up to what is called for now.
func (r *routedMemory) raise(nowUs int64, sums demandSums) {
	for unit, rate := range sums.rates {
		n := r.estimate(unit)
		if rate > 0 {
			n.lastUs = nowUs
		}
		n.rate = max(rate, n.rate)
		n.tokens = max(sums.tokens[unit], n.tokens)
	}
}

// smooth lets each need follow what is called for now, and forgets those that nobody calls for any more.
func (r *routedMemory) smooth(nowUs int64, spanS float64, sums demandSums) {
	keep := 1 - spanS/demandDecayS
	for unit, n := range r.needs {
		n.rate += (sums.rates[unit] - n.rate) * (1 - keep)
		n.tokens += (sums.tokens[unit] - n.tokens) * (1 - keep)
		if n.rate < minDemandRate && nowUs-n.lastUs > demandForgottenUs {
			delete(r.needs, unit)
		}
	}
}

// addForecast raises a model that has only begun to be called on a route to what the other models of that route
// are called: by the time it shows in the counts, its calls would already wait.
func (c *Controller) addForecast(nowUs int64, sums demandSums) {
	rates, tokens := c.routed.forecast(nowUs, c.routeDemands())
	for model, rate := range rates {
		if rate > minForecastRate {
			sums.rates[model] += rate
			sums.tokens[model] += tokens[model]
		}
	}
}

// routeDemands sums what gateways report of each route and its models.
func (c *Controller) routeDemands() map[string]*routeDemand {
	routes := map[string]*routeDemand{}
	for _, id := range sortedKeys(c.gateways) {
		for key, rate := range c.gateways[id].report.RouteArrivals {
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

// forecast is what is missing to an even share of its routes' calls, by model, for models that have only begun to
// be called there. It remembers since when each is called.
func (r *routedMemory) forecast(nowUs int64, routes map[string]*routeDemand) (rates, tokens map[string]float64) {
	rates, tokens = map[string]float64{}, map[string]float64{}
	begun := map[routeModel]int64{}
	for name, d := range routes {
		even := d.rate / float64(len(d.models)) * forecastDiscount
		for model, rate := range d.models {
			sinceUs, known := r.begunUs[routeModel{name, model}]
			if !known {
				sinceUs = nowUs
			}
			begun[routeModel{name, model}] = sinceUs
			if rate < even && nowUs-sinceUs < forecastSpanUs {
				rates[model] += even - rate
				tokens[model] += (even - rate) * defaultTokensPerCall
			}
		}
	}
	r.begunUs = begun
	return rates, tokens
}

func (r *routedMemory) estimate(unit string) *demandEstimate {
	n := r.needs[unit]
	if n == nil {
		n = &demandEstimate{}
		r.needs[unit] = n
	}
	return n
}
