package controller

import (
	"petreltide/internal/ledger"
	"petreltide/internal/wire"
)

// deskRow is a gateway's newest report, and when it came.
type deskRow struct {
	report wire.Report
	atUs   int64
}

// DeskNote is what is shown of a desk: when it last reported, and what is called for and waits there.
type DeskNote struct {
	Silent   bool               `json:"silent,omitempty"`
	Desk     string             `json:"desk"`
	Zone     string             `json:"zone"`
	Addr     string             `json:"addr"`
	AgoMs    int64              `json:"agoMs"`
	Arrivals map[string]float64 `json:"arrivals,omitempty"`
	Waiting  map[string]int     `json:"waiting,omitempty"`
}

// Desks shows every desk that has reported.
func (f *Controller) Desks(nowUs int64) []DeskNote {
	notes := []DeskNote{}
	for _, id := range sorted(f.desks) {
		d := f.desks[id]
		notes = append(notes, DeskNote{f.silent(nowUs, id), id, d.report.Zone, d.report.Addr, (nowUs - d.atUs) / 1000, d.report.Arrivals, d.report.Waiting})
	}
	return notes
}

// dropDesks takes gateways that are long silent out of the ledger.
func (f *Controller) dropDesks(seen Seen, duty *ledger.Duty) {
	for _, id := range sorted(f.desks) {
		if seen.NowUs-f.desks[id].atUs > deskGoneUs {
			duty.Desks = append(duty.Desks, id)
			delete(f.desks, id)
		}
	}
}

// forgetDesks drops the reports of gateways that are long silent.
func (f *Controller) forgetDesks(nowUs int64) {
	for id, d := range f.desks {
		if nowUs-d.atUs > deskGoneUs {
			delete(f.desks, id)
		}
	}
}

// silent: both watchers that the ring names miss its beats, and its own reports have stopped too.
func (f *Controller) silent(nowUs int64, id string) bool {
	return nowUs-f.desks[id].atUs > reportLateUs && f.jury.Gone(nowUs, id)
}

// live names the gateways that take calls, in order.
func (f *Controller) live(nowUs int64) []string {
	ids := []string{}
	for _, id := range sorted(f.desks) {
		if d := f.desks[id]; nowUs-d.atUs < deskLiveUs && !d.report.Draining && !f.silent(nowUs, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

// reporting gives the newest reports of all gateways that were heard lately. They come in the order of the
// gateways' names, so that sums of fractions come out alike each time.
func (f *Controller) reporting(nowUs int64) []*wire.Report {
	reports := []*wire.Report{}
	for _, id := range sorted(f.desks) {
		if d := f.desks[id]; nowUs-d.atUs <= deskLiveUs {
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
		addTo(waiting, report.Waiting)
	}
	return rates, waiting
}

// addTo adds each of the counts to the sum of its key.
func addTo[N int | float64](sums, counts map[string]N) {
	for key, n := range counts {
		sums[key] += n
	}
}
