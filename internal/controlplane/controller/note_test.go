package controller

import (
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

func TestStatusIsShownByLeaderAlone(t *testing.T) {
	f := newFleet(t, 3, 6)
	note := func(i int) *LeaderStatus { return f.fs[i].Status(f.nowUs, f.s) }
	f.pass(4 * clock.Sec)
	orders, began := 0, 0
	for range 60 {
		f.demand(map[string]int{"m1": 2, "m2/a1": 1}, map[string]float64{"m1": 4, "m2": 8, "m3": 1, "m5": 2})
		f.pass(100 * clock.Ms)
		n := note(f.head)
		if n == nil || n.Leader != f.s.Leader || n.Epoch != f.s.Epoch || len(n.Orders) != len(f.s.Pending) || len(n.Store) != 1 {
			t.Fatalf("%+v of holder %s, epoch %d, pending %v", n, f.s.Leader, f.s.Epoch, f.s.Pending)
		}
		store := n.Store[0]
		if left := f.fs[f.head].routed.store.loadsLeft(f.nowUs, f.s, f.s.Doc.Service("s")); store.LoadsLeft != left || store.LoadsLeft+store.RunningLoads > store.MaxConcurrentLoads || store.WindowMs != 5000 {
			t.Fatalf("%+v, it gives %d", store, left)
		}
		for _, o := range n.Orders {
			if o.Answer != "" && o.SentAgoMs < 0 {
				t.Fatalf("%+v was answered before it was sent", o)
			}
		}
		orders, began = orders+len(n.Orders), max(began, store.RecentLoads)
	}
	if n := note(f.head); n.Demand["m2"].Rate <= n.Demand["m3"].Rate || n.OrderDelayMs != 0 {
		t.Errorf("%+v", n)
	}
	if orders == 0 || began == 0 {
		t.Errorf("%d orders, %d loads: it proves little", orders, began)
	}
	f.demand(map[string]int{"m7": 5}, map[string]float64{"m7": 5})
	f.pass(300 * clock.Ms)
	f.take()
	f.pass(500 * clock.Ms)
	if n := note(f.head); n == nil || n.OrderDelayMs < 1500 || n.OrderDelayMs > (leaderFreshUs+fleetLeaseUs+leaseSlackUs)/1000 {
		t.Errorf("right after a takeover: %+v", n)
	}
	if n := note(f.old); n != nil {
		t.Errorf("the one before still shows %+v", n)
	}
	f.s.Doc = &configuration.Declaration{}
	if n := note(f.head); n != nil {
		t.Errorf("without routes: %+v", n)
	}
}
