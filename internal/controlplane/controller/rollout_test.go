package controller

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// follow reports for gateways at their revisions, lets time pass, and gives what was told of the rollout.
func (r *harness) collectRollout(us int64, revisions map[string]uint64) (progress []RolloutProgress) {
	for end := r.nowUs + us; r.nowUs < end; r.nowUs += 25 * clock.Ms {
		events := []Event{Tick{}}
		for _, id := range sortedKeys(revisions) {
			events = append(events, GatewayReport{Report: &wire.Report{Gateway: id, Incarnation: "i", Revision: revisions[id]}})
		}
		for _, ev := range events {
			for _, e := range r.controller.Step(r.snapshot(), ev) {
				if p, ok := e.(RolloutProgress); ok {
					progress = append(progress, p)
				}
			}
		}
	}
	return progress
}

func TestRolloutReportsCompletionAndLaggingGateways(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.advance(100 * clock.Ms)
	if !r.controller.IsLeader(r.state) {
		t.Fatal("it does not lead")
	}
	first := r.collectRollout(100*clock.Ms, map[string]uint64{"a": 1, "b": 1})
	if len(first) != 1 || !first[0].Done || first[0].Revision != 1 {
		t.Fatalf("the first declaration: %+v", first)
	}
	r.state.Revision = 2
	progress := r.collectRollout(5*clock.Sec, map[string]uint64{"a": 2, "b": 1})
	if want := []RolloutProgress{{Revision: 2, ElapsedUs: rolloutOverdueUs, Gateways: 2, Behind: []string{"b"}}}; !cmp.Equal(progress, want) {
		t.Fatalf("a late gateway is named once: %s", cmp.Diff(want, progress))
	}
	if s := r.controller.Rollout(r.nowUs); s.Revision != 2 || s.CompletedAfterMs >= 0 || s.AgeMs != 5000 || !slices.Equal(s.Behind, []string{"b"}) {
		t.Errorf("%+v", s)
	}
	for _, g := range r.controller.Gateways(r.nowUs) {
		if want := map[string]uint64{"a": 2, "b": 1}[g.Gateway]; g.Revision != want {
			t.Errorf("%s is shown at revision %d, want %d", g.Gateway, g.Revision, want)
		}
	}
	progress = r.collectRollout(100*clock.Ms, map[string]uint64{"a": 2, "b": 2})
	if len(progress) != 1 || !progress[0].Done || progress[0].ElapsedUs < 5*clock.Sec {
		t.Fatalf("the last one has come: %+v", progress)
	}
	if s := r.controller.Rollout(r.nowUs); s.CompletedAfterMs != progress[0].ElapsedUs/clock.Ms || len(s.Behind) > 0 {
		t.Errorf("%+v", s)
	}
}

// A gateway that is gone is not waited for, and one that has not caught up and comes back late is shown as behind.
func TestRolloutIgnoresGatewayWithoutRecentReports(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.advance(100 * clock.Ms)
	r.collectRollout(100*clock.Ms, map[string]uint64{"a": 1, "b": 1})
	r.state.Revision = 2
	progress := r.collectRollout(gatewayTimeoutUs+100*clock.Ms, map[string]uint64{"a": 2})
	if last := progress[len(progress)-1]; !last.Done || last.Gateways != 1 {
		t.Fatalf("%+v", progress)
	}
	r.collectRollout(100*clock.Ms, map[string]uint64{"a": 2, "b": 1})
	if s := r.controller.Rollout(r.nowUs); !slices.Equal(s.Behind, []string{"b"}) {
		t.Errorf("%+v", s)
	}
}
