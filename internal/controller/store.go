package controller

import (
	"strings"

	"petreltide/internal/clock"
	"petreltide/internal/ledger"
	"petreltide/internal/standing"
)

// missed notes that tickets were issued which this controller did not see one by one: as many loads may lie
// behind them as the store's window bears. Numbers rise by one, so that a gap shows.
func (r *routed) missed(nowUs int64, s *ledger.State, news int) {
	if r.known == 0 {
		r.known = 1
	}
	if s.NextTicket > r.known+uint64(news) {
		r.missedUs = nowUs
	}
	r.known = s.NextTicket
}

func (r *routed) noteLoad(nowUs int64, s *ledger.State, t ledger.Ticket) {
	have := s.Replicas[t.Replica]
	if t.Step != ledger.Load || strings.Contains(t.Unit, "/") || (have != nil && have.Had[t.Unit]) {
		return
	}
	r.loadsUs = append(r.loadsUs, nowUs)
	if len(r.loadsUs) > 4096 {
		r.loadsUs = append([]int64(nil), r.loadsUs[2048:]...)
	}
}

// windowUs is the span over which the store's loads are counted.
func (f *Controller) windowUs() int64 {
	if f.opts.StoreWindowUs == 0 {
		return 5 * clock.Sec
	}
	return f.opts.StoreWindowUs
}

// storeLeft is how many loads from the store may begin now: what the sliding window still allows, and no
// more at once than the store bears at full speed.
func (f *Controller) storeLeft(nowUs int64, s *ledger.State, service *standing.Service) int {
	e := service.Engine
	windowUs := f.windowUs()
	overshoot := max(f.opts.StoreOvershoot, 1)
	most := int(e.LoadsPerS*float64(windowUs)/1e6*overshoot+3) - storeCut
	spent := 0
	for _, atUs := range f.routed.loadsUs {
		if nowUs-atUs < windowUs+400*clock.Ms {
			spent++
		}
	}
	if f.routed.missed(nowUs, s, 0); f.routed.missedUs > 0 && nowUs-f.routed.missedUs < windowUs+400*clock.Ms {
		spent += most
	}
	running := 0
	for _, t := range s.Pending {
		if have := s.Replicas[t.Replica]; t.Step == ledger.Load && have != nil && have.Service == service.Name && !have.Had[t.Unit] && !strings.Contains(t.Unit, "/") {
			running++
		}
	}
	return max(0, min(most-spent, e.StoreAtOnce()-running))
}

// leftFor sums what the store still gives over all services; each is checked by its own account as well.
func (f *Controller) leftFor(nowUs int64, s *ledger.State) int {
	left := 0
	for i := range s.Doc.Services {
		if s.Doc.Services[i].Engine != nil {
			left += f.storeLeft(nowUs, s, &s.Doc.Services[i])
		}
	}
	return left
}
