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
			t.Fatalf("status: got %+v, want leader %s, epoch %d, one order per command in %v, one store",
				got, f.state.Leader, f.state.Epoch, f.state.Pending)
		}
		store := got.Store[0]
		if left := f.controllers[f.head].routed.store.loadsLeft(f.nowUs, f.state, f.state.Doc.Service("s")); store.LoadsLeft != left || store.LoadsLeft+store.RunningLoads > store.MaxConcurrentLoads || store.WindowMs != 5000 {
			t.Fatalf("store status: got %+v, want %d loads left, within the concurrent loads, and a window of 5000 ms",
				store, left)
		}
		for _, o := range got.Orders {
			if o.Answer != "" && o.SentAgoMs < 0 {
				t.Fatalf("order %+v has an answer but was not sent", o)
			}
		}
		orders, began = orders+len(got.Orders), max(began, store.RecentLoads)
	}
	if n := status(f.head); n.Demand["m2"].Rate <= n.Demand["m3"].Rate || n.OrderDelayMs != 0 {
		t.Errorf("status: got %+v, want more demand for m2 than for m3 and no order delay", n)
	}
	if orders == 0 || began == 0 {
		t.Errorf("too little activity to cover the status: got %d orders, %d recent loads, want some of each", orders, began)
	}
	f.reportDemand(map[string]int{"m7": 5}, map[string]float64{"m7": 5})
	f.advance(300 * clock.Ms)
	f.takeOver()
	f.advance(500 * clock.Ms)
	if n := status(f.head); n == nil || n.OrderDelayMs < 1500 || n.OrderDelayMs > (maxStaleLeaderUs+fleetLeaseUs+leaseSlackUs)/1000 {
		t.Errorf("status right after a takeover: got %+v, want an order delay from 1500 ms to the maximum wait", n)
	}
	if n := status(f.previousHead); n != nil {
		t.Errorf("status of the previous leader: got %+v, want nil", n)
	}
	f.state.Doc = &configuration.Declaration{}
	if n := status(f.head); n != nil {
		t.Errorf("status without routes: got %+v, want nil", n)
	}
}
