package controlclient

import (
	"math/rand"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// A verdict reaches a gateway with the next frame and goes only when it is taken back, or when nobody upholds
// it; a control node that lags undoes nothing.
func TestVerdictsOnReplicasReachGatewaysInOrder(t *testing.T) {
	r := rand.New(rand.NewSource(3))
	c := &changeLog{r: r, state: statemachine.NewState()}
	c.appendConfig()
	one, two := newTestControlNode("one"), newTestControlNode("two")
	for _, o := range []*testControlNode{one, two} {
		o.apply(c.changes, len(c.changes))
		o.registry.HandleHeartbeat(clock.Sec, wire.ReplicaStatus{ID: "r1", Service: "s", Addr: "r1", Zone: "a", Slots: 4, Seq: 1})
	}
	s := newTestGateway(t, "desk", one, two)
	nowUs := clock.Sec
	pass := func(us int64) map[string]outlier.Verdict {
		for untilUs := nowUs + us; nowUs < untilUs; nowUs += 100 * clock.Ms {
			for _, o := range []*testControlNode{one, two} {
				o.registry.HandleHeartbeat(nowUs, wire.ReplicaStatus{ID: "r1", Service: "s", Addr: "r1", Zone: "a", Slots: 4, Seq: uint64(nowUs)})
			}
			s.deliverFrames(nowUs, r, 0)
		}
		return s.snapshot.Verdicts
	}
	if rows := pass(clock.Sec); len(rows) > 0 {
		t.Fatalf("before any verdict: %v", rows)
	}
	out := outlier.Verdict{Replica: "r1", AllowedPercent: 0}
	one.outliers = outlier.Table{Epoch: 2, Number: 1, Rows: []outlier.Verdict{out, {Replica: "r2", Zone: "elsewhere"}}}
	if rows := pass(clock.Sec); len(rows) != 1 || rows["r1"] != out {
		t.Errorf("after a verdict for all and one for another zone: %v", rows)
	}
	two.outliers = outlier.Table{Epoch: 1, Number: 9}
	if rows := pass(clock.Sec); len(rows) != 1 {
		t.Errorf("an older table from the other control node undid it: %v", rows)
	}
	if rows := pass(outlierTimeoutUs + clock.Sec); len(rows) != 0 {
		t.Errorf("long after anybody upheld it: %v", rows)
	}
	one.outliers = outlier.Table{Epoch: 2, Number: 2, Rows: []outlier.Verdict{out}}
	if rows := pass(clock.Sec); len(rows) != 1 {
		t.Errorf("upheld again: %v", rows)
	}
	one.outliers = outlier.Table{Epoch: 2, Number: 3}
	if rows := pass(clock.Sec); len(rows) != 0 {
		t.Errorf("taken back: %v", rows)
	}
}
