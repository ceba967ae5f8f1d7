package controller

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// collectRollout sends reports of gateways with the given revisions while time advances, and returns the rollout progress
// effects.
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
		t.Fatal("the controller does not lead")
	}
	first := r.collectRollout(100*clock.Ms, map[string]uint64{"a": 1, "b": 1})
	if len(first) != 1 || !first[0].Done || first[0].Revision != 1 {
		t.Fatalf("rollout progress of revision 1: got %+v, want one completion", first)
	}
	r.state.Revision = 2
	progress := r.collectRollout(5*clock.Sec, map[string]uint64{"a": 2, "b": 1})
	if want := []RolloutProgress{{Revision: 2, ElapsedUs: rolloutOverdueUs, Gateways: 2, Behind: []string{"b"}}}; !cmp.Equal(progress, want) {
		t.Fatalf("rollout progress with a late gateway (-want +got):\n%s", cmp.Diff(want, progress))
	}
	if s := r.controller.Rollout(r.nowUs); s.Revision != 2 || s.CompletedAfterMs >= 0 || s.AgeMs != 5000 || !slices.Equal(s.Behind, []string{"b"}) {
		t.Errorf("rollout status with gateway b behind: got %+v, want revision 2, not completed, age 5000 ms, behind [b]", s)
	}
	for _, g := range r.controller.Gateways(r.nowUs) {
		if want := map[string]uint64{"a": 2, "b": 1}[g.Gateway]; g.Revision != want {
			t.Errorf("revision of gateway %s: got %d, want %d", g.Gateway, g.Revision, want)
		}
	}
	progress = r.collectRollout(100*clock.Ms, map[string]uint64{"a": 2, "b": 2})
	if len(progress) != 1 || !progress[0].Done || progress[0].ElapsedUs < 5*clock.Sec {
		t.Fatalf("rollout progress after gateway b caught up: got %+v, want one completion after at least 5 s", progress)
	}
	if s := r.controller.Rollout(r.nowUs); s.CompletedAfterMs != progress[0].ElapsedUs/clock.Ms || len(s.Behind) > 0 {
		t.Errorf("rollout status after completion: got %+v, want completion after %d ms, none behind", s, progress[0].ElapsedUs/clock.Ms)
	}
}

// The rollout does not wait for a gateway that no longer reports. A gateway that returns later with an older revision is
// shown as behind.
func TestRolloutIgnoresGatewayWithoutRecentReports(t *testing.T) {
	r := newHarness(t, "one", newTestState())
	r.advance(100 * clock.Ms)
	r.collectRollout(100*clock.Ms, map[string]uint64{"a": 1, "b": 1})
	r.state.Revision = 2
	progress := r.collectRollout(gatewayTimeoutUs+100*clock.Ms, map[string]uint64{"a": 2})
	if last := progress[len(progress)-1]; !last.Done || last.Gateways != 1 {
		t.Fatalf("rollout progress without gateway b: got %+v, want completion with one gateway last", progress)
	}
	r.collectRollout(100*clock.Ms, map[string]uint64{"a": 2, "b": 1})
	if s := r.controller.Rollout(r.nowUs); !slices.Equal(s.Behind, []string{"b"}) {
		t.Errorf("rollout status after gateway b returned: got %+v, want behind [b]", s)
	}
}
