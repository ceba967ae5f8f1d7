package controller

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// gatewayRow is a gateway's newest report, and when it came.
type gatewayRow struct {
	report wire.Report
	atUs   int64
}

// GatewayNote is what is shown of a gateway: when it last reported, and what is called for and waits there.
type GatewayNote struct {
	Silent   bool               `json:"silent,omitempty"`
	Gateway  string             `json:"desk"`
	Zone     string             `json:"zone"`
	Addr     string             `json:"addr"`
	AgoMs    int64              `json:"agoMs"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
}

// Gateways shows every gateway that has reported.
func (f *Controller) Gateways(nowUs int64) []GatewayNote {
	notes := []GatewayNote{}
	for _, id := range sorted(f.gateways) {
		d := f.gateways[id]
		notes = append(notes, GatewayNote{f.silent(nowUs, id), id, d.report.Zone, d.report.Addr, (nowUs - d.atUs) / 1000, d.report.Arrivals, d.report.Queued})
	}
	return notes
}

// dropGateways takes gateways that are long silent out of the ledger.
func (f *Controller) dropGateways(seen Seen, update *statemachine.LeaderUpdate) {
	for _, id := range sorted(f.gateways) {
		if seen.NowUs-f.gateways[id].atUs > gatewayGoneUs {
			update.RemovedGateways = append(update.RemovedGateways, id)
			delete(f.gateways, id)
		}
	}
}

// forgetGateways drops the reports of gateways that are long silent.
func (f *Controller) forgetGateways(nowUs int64) {
	for id, d := range f.gateways {
		if nowUs-d.atUs > gatewayGoneUs {
			delete(f.gateways, id)
		}
	}
}

// silent: both watchers that the ring names miss its beats, and its own reports have stopped too.
func (f *Controller) silent(nowUs int64, id string) bool {
	return nowUs-f.gateways[id].atUs > reportLateUs && f.jury.Suspected(nowUs, id)
}

// live names the gateways that take calls, in order.
func (f *Controller) live(nowUs int64) []string {
	ids := []string{}
	for _, id := range sorted(f.gateways) {
		if d := f.gateways[id]; nowUs-d.atUs < gatewayLiveUs && !d.report.Draining && !f.silent(nowUs, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// reporting gives the newest reports of all gateways that were heard lately. They come in the order of the
// gateways' names, so that sums of fractions come out alike each time.
func (f *Controller) reporting(nowUs int64) []*wire.Report {
	reports := []*wire.Report{}
	for _, id := range sorted(f.gateways) {
		if d := f.gateways[id]; nowUs-d.atUs <= gatewayLiveUs {
			reports = append(reports, &d.report)
		}
	}
	return reports
}

// demand sums calls a second and calls that wait, by unit.
func (f *Controller) demand(nowUs int64) (rates map[string]float64, waiting map[string]int) {
	rates, waiting = map[string]float64{}, map[string]int{}
	for _, report := range f.reporting(nowUs) {
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
