package controller

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

func TestStatusIsReportedOnlyByLeader(t *testing.T) {
	f := newFleet(t, 3, 6)
	status := func(i int) *LeaderStatus { return f.controllers[i].Status(f.nowUs, f.state) }
	f.advance(4 * clock.Sec)
	orders, began := 0, 0
	for range 60 {
		f.reportDemand(map[string]int{"m1": 2, "m2/a1": 1}, map[string]float64{"m1": 4, "m2": 8, "m3": 1, "m5": 2})
		f.advance(100 * clock.Ms)
		got := status(f.head)
		if got == nil || got.Leader != f.state.Leader || got.Epoch != f.state.Epoch || len(got.Orders) != len(f.state.Pending) || len(got.Store) != 1 {
			t.Fatalf("%+v of holder %s, epoch %d, pending %v", got, f.state.Leader, f.state.Epoch, f.state.Pending)
		}
		store := got.Store[0]
		if left := f.controllers[f.head].routed.store.loadsLeft(f.nowUs, f.state, f.state.Doc.Service("s")); store.LoadsLeft != left || store.LoadsLeft+store.RunningLoads > store.MaxConcurrentLoads || store.WindowMs != 5000 {
			t.Fatalf("%+v, it gives %d", store, left)
		}
		for _, o := range got.Orders {
			if o.Answer != "" && o.SentAgoMs < 0 {
				t.Fatalf("%+v was answered before it was sent", o)
			}
		}
		orders, began = orders+len(got.Orders), max(began, store.RecentLoads)
	}
	if n := status(f.head); n.Demand["m2"].Rate <= n.Demand["m3"].Rate || n.OrderDelayMs != 0 {
		t.Errorf("%+v", n)
	}
	if orders == 0 || began == 0 {
		t.Errorf("%d orders, %d loads: it proves little", orders, began)
	}
	f.reportDemand(map[string]int{"m7": 5}, map[string]float64{"m7": 5})
	f.advance(300 * clock.Ms)
	f.takeOver()
	f.advance(500 * clock.Ms)
	if n := status(f.head); n == nil || n.OrderDelayMs < 1500 || n.OrderDelayMs > (maxStaleLeaderUs+fleetLeaseUs+leaseSlackUs)/1000 {
		t.Errorf("right after a takeover: %+v", n)
	}
	if n := status(f.previousHead); n != nil {
		t.Errorf("the one before still shows %+v", n)
	}
	f.state.Doc = &configuration.Declaration{}
	if n := status(f.head); n != nil {
		t.Errorf("without routes: %+v", n)
	}
}
