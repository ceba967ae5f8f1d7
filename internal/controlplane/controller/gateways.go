package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

const (
	// gatewayTimeoutUs is the age at which a gateway's latest report expires.
	gatewayTimeoutUs = 2500 * clock.Ms
	// reportOverdueUs is the age of a gateway's latest report above which suspicions of the gateway are acted on.
	reportOverdueUs = 600 * clock.Ms
	// gatewayRemovedAfterUs is the time after its latest report at which a gateway is removed.
	gatewayRemovedAfterUs = 15 * clock.Sec
)

// gatewayState is a gateway's latest report and the time it was received.
type gatewayState struct {
	report     wire.Report
	reportedUs int64
}

// gatewayMembership tracks the gateways by their reports and by the failure detector's suspicions.
type gatewayMembership struct {
	byID       map[string]*gatewayState
	suspicions *failuredetector.SuspicionQuorum
}

// onReport records a gateway's report and the gateway's suspicions.
func (g *gatewayMembership) onReport(nowUs int64, report *wire.Report) {
	g.byID[report.Gateway] = &gatewayState{report: *report, reportedUs: nowUs}
	g.suspicions.Report(nowUs, failuredetector.SuspicionReport{Reporter: report.Gateway, Suspects: report.Suspects})
}

// removeSilent removes the gateways whose latest report is too old, and returns their IDs in order.
func (g *gatewayMembership) removeSilent(nowUs int64) []string {
	removed := []string{}
	for _, id := range sortedKeys(g.byID) {
		if nowUs-g.byID[id].reportedUs > gatewayRemovedAfterUs {
			removed = append(removed, id)
			delete(g.byID, id)
		}
	}
	return removed
}

// isSilent reports whether both watchers of a gateway, as assigned by the ring, miss its heartbeats and its reports have
// stopped too.
func (g *gatewayMembership) isSilent(nowUs int64, id string) bool {
	return nowUs-g.byID[id].reportedUs > reportOverdueUs && g.suspicions.Suspected(nowUs, id)
}

// live returns the IDs of the gateways that accept calls, in order.
func (g *gatewayMembership) live(nowUs int64) []string {
	ids := []string{}
	for _, id := range sortedKeys(g.byID) {
		if gateway := g.byID[id]; nowUs-gateway.reportedUs < gatewayTimeoutUs && !gateway.report.Draining && !g.isSilent(nowUs, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// recentReports returns the latest reports of all gateways that reported recently. They are ordered by gateway ID, so that
// floating-point sums over them are reproducible.
func (g *gatewayMembership) recentReports(nowUs int64) []*wire.Report {
	reports := []*wire.Report{}
	for _, id := range sortedKeys(g.byID) {
		if gateway := g.byID[id]; nowUs-gateway.reportedUs <= gatewayTimeoutUs {
			reports = append(reports, &gateway.report)
		}
	}
	return reports
}

// demand returns the sums of calls per second and of waiting calls by unit.
func (g *gatewayMembership) demand(nowUs int64) (rates map[string]float64, waiting map[string]int) {
	rates, waiting = map[string]float64{}, map[string]int{}
	for _, report := range g.recentReports(nowUs) {
		addTo(rates, report.Arrivals)
		addTo(waiting, report.Queued)
	}
	return rates, waiting
}

// addTo adds each count to the sum with the same key.
func addTo[N int | float64](sums, counts map[string]N) {
	for key, n := range counts {
		sums[key] += n
	}
}
