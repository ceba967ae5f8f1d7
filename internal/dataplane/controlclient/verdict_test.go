package controlclient

import (
	"math/rand"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// A verdict reaches a gateway with the next frame and stays in effect until it is withdrawn or no longer renewed; a lagging control
// node does not undo it.
func TestOutlierVerdictsReachGatewaysInOrder(t *testing.T) {
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
		t.Fatalf("verdicts before the first one: got %v, want none", rows)
	}
	out := outlier.Verdict{Replica: "r1", AllowedPercent: 0}
	one.outliers = outlier.Table{Epoch: 2, Number: 1, Rows: []outlier.Verdict{out, {Replica: "r2", Zone: "elsewhere"}}}
	if rows := pass(clock.Sec); len(rows) != 1 || rows["r1"] != out {
		t.Errorf("verdicts after one for all zones and one for another zone: got %v, want only r1: %v", rows, out)
	}
	two.outliers = outlier.Table{Epoch: 1, Number: 9}
	if rows := pass(clock.Sec); len(rows) != 1 {
		t.Errorf("verdicts after an older table from the other control node: got %v, want one", rows)
	}
	if rows := pass(outlierTimeoutUs + clock.Sec); len(rows) != 0 {
		t.Errorf("verdicts after the timeout without a renewal: got %v, want none", rows)
	}
	one.outliers = outlier.Table{Epoch: 2, Number: 2, Rows: []outlier.Verdict{out}}
	if rows := pass(clock.Sec); len(rows) != 1 {
		t.Errorf("verdicts after a renewal: got %v, want one", rows)
	}
	one.outliers = outlier.Table{Epoch: 2, Number: 3}
	if rows := pass(clock.Sec); len(rows) != 0 {
		t.Errorf("verdicts after the withdrawal: got %v, want none", rows)
	}
}
