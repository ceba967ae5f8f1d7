package controller

import (
	"fmt"
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

// Failures of a replica in gateway reports lead to a verdict, and the replica's units then count as not placed. With the
// detector disabled neither happens.
func TestGatewayReportsBecomeOutlierVerdicts(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		controller := New("me", Options{Outlier: outlier.Options{Disabled: disabled}})
		controller.leadership.epoch = 1
		s := statemachine.NewState()
		s.Epoch, s.Leader, s.Doc = 1, "me", fleetDoc()
		snapshot := Snapshot{NowUs: clock.Sec, State: s, Registry: registry.New(3 * clock.Sec)}
		service := s.Doc.Services[0].Name
		for i := range 8 {
			snapshot.Registry.HandleHeartbeat(snapshot.NowUs, registry.ReplicaStatus{ID: fmt.Sprint("r", i), Service: service, Addr: fmt.Sprint("r", i), Zone: "a", Slots: 4, Seq: 1})
		}
		s.Replicas["r0"] = &statemachine.Replica{ID: "r0", Service: service, Resident: map[string]int64{"m0": 1}}
		var table *outlier.Table
		for i := range 20 {
			snapshot.NowUs += 200 * clock.Ms
			for _, gateway := range []string{"d1", "d2"} {
				report := wire.Report{Gateway: gateway, Zone: "a", Attempts: map[string]int{service: 8}}
				if i >= 5 {
					report.Outcomes = []outlier.Counts{{Replica: "r0", Failures: map[string]int{outlier.ErrorResponse.String(): 1}}, {Replica: "unknown", Failures: map[string]int{"silence": 9, "nonsense": 9}}}
				}
				controller.Step(snapshot, GatewayReport{Report: &report})
			}
			controller.effects = nil
			controller.evaluateOutliers(snapshot)
			for _, e := range controller.effects {
				if verdicts, ok := e.(PublishVerdicts); ok {
					table = &verdicts.Table
				}
			}
		}
		isUsable := controller.candidate(snapshot, s.Replicas["r0"], nil, nil).Usable && controller.isPlaced(s, "m0")
		switch {
		case disabled && (table != nil || !isUsable):
			t.Errorf("detector disabled: got verdicts %v, r0 usable %t; want no verdicts, usable", table, isUsable)
		case !disabled && (table == nil || len(table.Rows) != 1 || table.Rows[0].Replica != "r0" || !table.Rows[0].Dead):
			t.Errorf("verdicts after failed attempts at r0: got %v, want one row that marks r0 dead", table)
		case !disabled && isUsable:
			t.Error("unit m0 still counts as placed at the ejected replica r0")
		}
	}
}
