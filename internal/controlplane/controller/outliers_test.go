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

// What gateways tell of a replica that fails becomes a verdict, and what it holds is wanted elsewhere; with the
// detector switched off neither does.
func TestGatewayReportsBecomeOutlierVerdicts(t *testing.T) {
	for _, off := range []bool{false, true} {
		f := New("me", Options{Outlier: outlier.Options{Disabled: off}})
		f.leadership.epoch = 1
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
				rep := wire.Report{Gateway: gateway, Zone: "a", Attempts: map[string]int{service: 8}}
				if i >= 5 {
					rep.Outcomes = []outlier.Counts{{Replica: "r0", Failures: map[string]int{outlier.ErrorResponse.String(): 1}}, {Replica: "unknown", Failures: map[string]int{"silence": 9, "nonsense": 9}}}
				}
				f.Step(snapshot, GatewayReport{Report: &rep})
			}
			f.effects = nil
			f.judgeOutliers(snapshot)
			for _, e := range f.effects {
				if verdicts, ok := e.(PublishVerdicts); ok {
					table = &verdicts.Table
				}
			}
		}
		held := f.candidate(snapshot, s.Replicas["r0"], nil, nil).Usable && f.isPlaced(s, "m0")
		switch {
		case off && (table != nil || !held):
			t.Errorf("it is off: %v, used %t", table, held)
		case !off && (table == nil || len(table.Rows) != 1 || table.Rows[0].Replica != "r0" || !table.Rows[0].Dead):
			t.Errorf("every attempt at r0 fails: %v", table)
		case !off && held:
			t.Error("its models are not wanted elsewhere")
		}
	}
}
