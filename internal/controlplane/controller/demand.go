package controller

import (
	"strings"

	"petreltide/internal/api/feature"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

const (
	// demandIntervalUs is the interval at which the estimates are updated from the gateway reports.
	demandIntervalUs = 200 * clock.Ms
	// maxDemandSpanS bounds the time span covered by one update; demandDecayS is the time constant with which an estimate
	// decays. Both are in seconds.
	maxDemandSpanS = 2.0
	demandDecayS   = 6.0
	// An estimate is dropped once its rate is below minDemandRate, in calls per second, and its unit has not been called for
	// demandForgottenUs.
	minDemandRate     = 0.01
	demandForgottenUs = 120 * clock.Sec
	// minSlowRate, in calls per second, is the minimum rate in the longer window for deriving the tokens per call from that
	// window.
	minSlowRate = 0.2
	// minRecentRate, in calls per second, is the rate in the shorter window above which that window is used. Its rate is
	// multiplied by recentDiscount, because such small samples have a high variance.
	minRecentRate  = 3.0
	recentDiscount = 0.85
	// defaultTokensPerCall is the assumed number of prompt tokens per call as long as too few calls were counted.
	defaultTokensPerCall = 1500.0
	// forecastDiscount is the fraction of an equal share of a route's calls that is forecast for a new model of the route. A
	// forecast takes effect above minForecastRate, in calls per second. A model is new for forecastSpanUs.
	forecastDiscount = 0.8
	minForecastRate  = 0.5
	forecastSpanUs   = 5 * clock.Sec
)

// demandEstimate is the smoothed demand for a unit, in calls and prompt tokens per second, and the time of its last call.
type demandEstimate struct {
	rate   float64
	tokens float64
	lastUs int64
}

// demandTracker estimates the demand for each unit. An estimate follows an increase at once and a decrease over several
// seconds.
type demandTracker struct {
	estimates map[string]*demandEstimate
	updatedUs int64
	// waitingSinceUs is the time since which calls wait for a unit that no replica holds, as far as reports say.
	waitingSinceUs map[string]int64
	// firstCalledUs is the time at which each model was first seen on each route.
	firstCalledUs map[routeModel]int64
}

// demandSums holds sums over the reports of all gateways by unit: calls per second, prompt tokens per second, and calls per
// second over a shorter window.
type demandSums struct {
	rates, tokens, recent map[string]float64
}

// routeModel identifies a model called on a route.
type routeModel struct {
	route, model string
}

// routeDemand is the call rate of a route, in total and by model.
type routeDemand struct {
	rate   float64
	models map[string]float64
}

// update brings the estimates up to date with the gateway reports once per interval.
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

// recordWaiting counts units with queued calls as called now, and keeps since when there have been such calls.
func (d *demandTracker) recordWaiting(nowUs int64, reports []*wire.Report) {
	waitingSinceUs := map[string]int64{}
	for _, report := range reports {
		for unit, n := range report.Queued {
			if n <= 0 {
				continue
			}
			d.estimate(unit).lastUs = nowUs
			waitingSinceUs[unit] = nowUs
			if sinceUs, waited := d.waitingSinceUs[unit]; waited {
				waitingSinceUs[unit] = sinceUs
			}
		}
	}
	d.waitingSinceUs = waitingSinceUs
}

// waitingMs returns for how long calls have waited for a unit.
func (d *demandTracker) waitingMs(nowUs int64, unit string) int64 {
	sinceUs, waits := d.waitingSinceUs[unit]
	if !waits {
		return 0
	}
	return (nowUs - sinceUs) / clock.Ms
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

// applyRecentRates replaces the rate of the longer window by that of the shorter window if the latter is significantly
// higher.
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

// raiseEstimates raises each estimate to the current demand if that is higher.
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

// smoothEstimates moves each estimate toward the current demand and drops the estimates of units without calls.
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

// addForecast raises the demand for a model that is new on a route toward the demand for the route's other models. By the
// time the demand showed in the counts, calls would already be waiting for the model.
func (d *demandTracker) addForecast(nowUs int64, sums demandSums, routes map[string]*routeDemand) {
	rates, tokens := d.forecast(nowUs, routes)
	for model, rate := range rates {
		if rate > minForecastRate {
			sums.rates[model] += rate
			sums.tokens[model] += tokens[model]
		}
	}
}

// routeDemands sums the demand reported by the gateways by route and model.
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

// forecast returns, by model, the additional demand expected for models that are new on a route: what they lack to an equal
// share of the route's calls. It also records when each model was first seen on each route.
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
