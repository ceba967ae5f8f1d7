package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// gatewayState is a gateway's newest report, and when it came.
type gatewayState struct {
	report     wire.Report
	reportedUs int64
}

// GatewayStatus is what is shown of a gateway: when it last reported, and what is called for and waits there.
type GatewayStatus struct {
	Silent   bool               `json:"silent,omitempty"`
	Gateway  string             `json:"desk"`
	Zone     string             `json:"zone"`
	Addr     string             `json:"addr"`
	AgoMs    int64              `json:"agoMs"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
}

// Gateways shows every gateway that has reported.
func (c *Controller) Gateways(nowUs int64) []GatewayStatus {
	notes := []GatewayStatus{}
	for _, id := range sortedKeys(c.gateways) {
		d := c.gateways[id]
		notes = append(notes, GatewayStatus{c.isSilent(nowUs, id), id, d.report.Zone, d.report.Addr, (nowUs - d.reportedUs) / 1000, d.report.Arrivals, d.report.Queued})
	}
	return notes
}

// removeSilentGateways takes gateways that are long silent out of the ledger.
func (c *Controller) removeSilentGateways(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	for _, id := range sortedKeys(c.gateways) {
		if snapshot.NowUs-c.gateways[id].reportedUs > gatewayRemovedAfterUs {
			update.RemovedGateways = append(update.RemovedGateways, id)
			delete(c.gateways, id)
		}
	}
}

// forgetSilentGateways drops the reports of gateways that are long silent.
func (c *Controller) forgetSilentGateways(nowUs int64) {
	for id, d := range c.gateways {
		if nowUs-d.reportedUs > gatewayRemovedAfterUs {
			delete(c.gateways, id)
		}
	}
}

// isSilent: both watchers that the ring names miss its beats, and its own reports have stopped too.
func (c *Controller) isSilent(nowUs int64, id string) bool {
	return nowUs-c.gateways[id].reportedUs > reportOverdueUs && c.jury.Suspected(nowUs, id)
}

// liveGateways names the gateways that take calls, in order.
func (c *Controller) liveGateways(nowUs int64) []string {
	ids := []string{}
	for _, id := range sortedKeys(c.gateways) {
		if d := c.gateways[id]; nowUs-d.reportedUs < gatewayLiveUs && !d.report.Draining && !c.isSilent(nowUs, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// recentReports gives the newest reports of all gateways that were heard lately. They come in the order of the
// gateways' names, so that sums of fractions come out alike each time.
func (c *Controller) recentReports(nowUs int64) []*wire.Report {
	reports := []*wire.Report{}
	for _, id := range sortedKeys(c.gateways) {
		if d := c.gateways[id]; nowUs-d.reportedUs <= gatewayLiveUs {
			reports = append(reports, &d.report)
		}
	}
	return reports
}

// demand sums calls a second and calls that wait, by unit.
func (c *Controller) demand(nowUs int64) (rates map[string]float64, waiting map[string]int) {
	rates, waiting = map[string]float64{}, map[string]int{}
	for _, report := range c.recentReports(nowUs) {
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
