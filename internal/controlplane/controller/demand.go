package controller

import (
	"strings"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

const (
	// demandIntervalUs is how often the estimates follow the reports.
	demandIntervalUs = 200 * clock.Ms
	// maxDemandSpanS bounds the time that one step may stand for, demandDecayS is the time over which an estimate falls; both
	// in seconds.
	maxDemandSpanS = 2.0
	demandDecayS   = 6.0
	// minDemandRate, in calls a second, is the rate below which a unit that was not called in demandForgottenUs is forgotten.
	minDemandRate     = 0.01
	demandForgottenUs = 120 * clock.Sec
	// minSlowRate, in calls a second, is the rate from which the longer window tells how many tokens a call has.
	minSlowRate = 0.2
	// minRecentRate, in calls a second, is the rate of the shorter window from which it counts, and recentDiscount the part
	// of it that does, as so few calls scatter.
	minRecentRate  = 3.0
	recentDiscount = 0.85
	// defaultTokensPerCall stands for a call's prompt tokens while too few calls were counted.
	defaultTokensPerCall = 1500.0
	// forecastDiscount is the part of an even share of a route that its new models are expected to get, minForecastRate the
	// rate in calls a second from which that counts, and forecastSpanUs for how long a model is new.
	forecastDiscount = 0.8
	minForecastRate  = 0.5
	forecastSpanUs   = 5 * clock.Sec
)

// demandEstimate is how often a unit was called for, smoothed, and when last.
type demandEstimate struct {
	rate   float64
	tokens float64
	lastUs int64
}

// demandTracker is how often each unit is called for: a rise is believed at once, a fall over some seconds.
type demandTracker struct {
	estimates map[string]*demandEstimate
	updatedUs int64
	// firstCalledUs is since when each model is called on each route.
	firstCalledUs map[routeModel]int64
}

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

// update follows what gateways count now, where that is due.
func (d *demandTracker) update(nowUs int64, gateways *gatewayMembership, disabled feature.Disabled) {
	if nowUs-d.updatedUs < demandIntervalUs {
		return
	}
	spanS := min(float64(nowUs-d.updatedUs)/float64(clock.Sec), maxDemandSpanS)
	d.updatedUs = nowUs
	reports := gateways.recentReports(nowUs)
	d.recordWaiting(nowUs, reports)
	sums := sumDemand(reports)
	if !disabled.Has(feature.DemandForecast) {
		d.addForecast(nowUs, sums, gateways.routeDemands())
	}
	sums.applyRecentRates()
	d.raiseEstimates(nowUs, sums)
	d.smoothEstimates(nowUs, spanS, sums)
}

// recordWaiting counts units that calls wait for as called for now.
func (d *demandTracker) recordWaiting(nowUs int64, reports []*wire.Report) {
	for _, report := range reports {
		for unit, n := range report.Queued {
			if n > 0 {
				d.estimate(unit).lastUs = nowUs
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

// applyRecentRates takes the rate of the shorter time where it is well above that of the longer one.
func (s demandSums) applyRecentRates() {
	for unit, fast := range s.recent {
		slow := s.rates[unit]
		if fast <= minRecentRate || fast*recentDiscount <= slow {
			continue
		}
		s.tokens[unit] *= fast * recentDiscount / max(slow, minSlowRate)
		if slow < minSlowRate {
			s.tokens[unit] = fast * recentDiscount * defaultTokensPerCall
		}
		s.rates[unit] = fast * recentDiscount
	}
}

// raise takes each estimate up to what is called for now.
func (d *demandTracker) raiseEstimates(nowUs int64, sums demandSums) {
	for unit, rate := range sums.rates {
		n := d.estimate(unit)
		if rate > 0 {
			n.lastUs = nowUs
		}
		n.rate = max(rate, n.rate)
		n.tokens = max(sums.tokens[unit], n.tokens)
	}
}

// smooth lets each estimate follow what is called for now, and forgets those that nobody calls for any more.
func (d *demandTracker) smoothEstimates(nowUs int64, spanS float64, sums demandSums) {
	keep := 1 - spanS/demandDecayS
	for unit, n := range d.estimates {
		n.rate += (sums.rates[unit] - n.rate) * (1 - keep)
		n.tokens += (sums.tokens[unit] - n.tokens) * (1 - keep)
		if n.rate < minDemandRate && nowUs-n.lastUs > demandForgottenUs {
			delete(d.estimates, unit)
		}
	}
}

// addForecast raises a model that has only begun to be called on a route to what the other models of that route
// are called: by the time it shows in the counts, its calls would already wait.
func (d *demandTracker) addForecast(nowUs int64, sums demandSums, routes map[string]*routeDemand) {
	rates, tokens := d.forecast(nowUs, routes)
	for model, rate := range rates {
		if rate > minForecastRate {
			sums.rates[model] += rate
			sums.tokens[model] += tokens[model]
		}
	}
}

// routeDemands sums what gateways report of each route and its models.
func (g *gatewayMembership) routeDemands() map[string]*routeDemand {
	routes := map[string]*routeDemand{}
	for _, id := range sortedKeys(g.byID) {
		for key, rate := range g.byID[id].report.RouteArrivals {
			name, model, _ := strings.Cut(key, "|")
			demand := routes[name]
			if demand == nil {
				demand = &routeDemand{models: map[string]float64{}}
				routes[name] = demand
			}
			demand.rate += rate
			demand.models[model] += rate
		}
	}
	return routes
}

// forecast is what is missing to an even share of its routes' calls, by model, for models that have only begun to
// be called there. It remembers since when each is called.
func (d *demandTracker) forecast(nowUs int64, routes map[string]*routeDemand) (rates, tokens map[string]float64) {
	rates, tokens = map[string]float64{}, map[string]float64{}
	begun := map[routeModel]int64{}
	for name, route := range routes {
		even := route.rate / float64(len(route.models)) * forecastDiscount
		for model, rate := range route.models {
			sinceUs, known := d.firstCalledUs[routeModel{name, model}]
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
	d.firstCalledUs = begun
	return rates, tokens
}

func (d *demandTracker) estimate(unit string) *demandEstimate {
	n := d.estimates[unit]
	if n == nil {
		n = &demandEstimate{}
		d.estimates[unit] = n
	}
	return n
}
