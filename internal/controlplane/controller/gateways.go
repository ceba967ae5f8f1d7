package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

const (
	// gatewayTimeoutUs is how long a gateway's report counts.
	gatewayTimeoutUs = 2500 * clock.Ms
	// reportOverdueUs is how late a report is when suspicions of its gateway are believed.
	reportOverdueUs = 600 * clock.Ms
	// gatewayRemovedAfterUs is how long after its last report a gateway is forgotten.
	gatewayRemovedAfterUs = 15 * clock.Sec
)

// gatewayState is a gateway's newest report, and when it came.
type gatewayState struct {
	report     wire.Report
	reportedUs int64
}

// gatewayMembership is which gateways there are, by their reports and by the failure detector's suspicions.
type gatewayMembership struct {
	byID       map[string]*gatewayState
	suspicions *failuredetector.SuspicionQuorum
}

// onReport takes a gateway's report, and whom it suspects.
func (g *gatewayMembership) onReport(nowUs int64, report *wire.Report) {
	g.byID[report.Gateway] = &gatewayState{report: *report, reportedUs: nowUs}
	g.suspicions.Report(nowUs, failuredetector.SuspicionReport{Reporter: report.Gateway, Suspects: report.Suspects})
}

// removeSilent forgets the gateways that have not reported for long, and names them in order.
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

// isSilent says whether both watchers that the ring names miss a gateway's heartbeats, and its reports have stopped too.
func (g *gatewayMembership) isSilent(nowUs int64, id string) bool {
	return nowUs-g.byID[id].reportedUs > reportOverdueUs && g.suspicions.Suspected(nowUs, id)
}

// live names the gateways that take calls, in order.
func (g *gatewayMembership) live(nowUs int64) []string {
	ids := []string{}
	for _, id := range sortedKeys(g.byID) {
		if gateway := g.byID[id]; nowUs-gateway.reportedUs < gatewayTimeoutUs && !gateway.report.Draining && !g.isSilent(nowUs, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// recentReports gives the newest reports of all gateways that were heard lately. They come in the order of the
// gateways' names, so that sums of fractions come out alike each time.
func (g *gatewayMembership) recentReports(nowUs int64) []*wire.Report {
	reports := []*wire.Report{}
	for _, id := range sortedKeys(g.byID) {
		if gateway := g.byID[id]; nowUs-gateway.reportedUs <= gatewayTimeoutUs {
			reports = append(reports, &gateway.report)
		}
	}
	return reports
}

// demand sums calls a second and calls that wait, by unit.
func (g *gatewayMembership) demand(nowUs int64) (rates map[string]float64, waiting map[string]int) {
	rates, waiting = map[string]float64{}, map[string]int{}
	for _, report := range g.recentReports(nowUs) {
		addTo(rates, report.Arrivals)
		addTo(waiting, report.Queued)
	}
	return rates, waiting
}

// addTo adds each of the counts to the sum of its key.
func addTo[N int | float64](sums, counts map[string]N) {
	for key, n := range counts {
		sums[key] += n
	}
}
