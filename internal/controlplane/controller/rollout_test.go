package controller

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// follow reports for gateways at their revisions, lets time pass, and gives what was told of the rollout.
func (r *rig) follow(us int64, revisions map[string]uint64) (told []RolloutProgress) {
	for end := r.nowUs + us; r.nowUs < end; r.nowUs += 25 * clock.Ms {
		events := []Event{Tick{}}
		for _, id := range sortedKeys(revisions) {
			events = append(events, GatewayReport{Report: &wire.Report{Gateway: id, Incarnation: "i", Revision: revisions[id]}})
		}
		for _, ev := range events {
			for _, e := range r.f.Step(r.seen(), ev) {
				if p, ok := e.(RolloutProgress); ok {
					told = append(told, p)
				}
			}
		}
	}
	return told
}

func TestRolloutTellsWhenAllGatewaysAreCurrentAndNamesTheLate(t *testing.T) {
	r := newRig(t, "one", freshState())
	r.pass(100 * clock.Ms)
	if !r.f.IsLeader(r.s) {
		t.Fatal("it does not lead")
	}
	first := r.follow(100*clock.Ms, map[string]uint64{"a": 1, "b": 1})
	if len(first) != 1 || !first[0].Done || first[0].Revision != 1 {
		t.Fatalf("the first declaration: %+v", first)
	}
	r.s.Revision = 2
	told := r.follow(5*clock.Sec, map[string]uint64{"a": 2, "b": 1})
	if want := []RolloutProgress{{Revision: 2, ElapsedUs: rolloutLateUs, Gateways: 2, Behind: []string{"b"}}}; !cmp.Equal(told, want) {
		t.Fatalf("a late gateway is named once: %s", cmp.Diff(want, told))
	}
	if s := r.f.Rollout(r.nowUs); s.Revision != 2 || s.CompletedAfterMs >= 0 || s.AgeMs != 5000 || !slices.Equal(s.Behind, []string{"b"}) {
		t.Errorf("%+v", s)
	}
	for _, g := range r.f.Gateways(r.nowUs) {
		if want := map[string]uint64{"a": 2, "b": 1}[g.Gateway]; g.Revision != want {
			t.Errorf("%s is shown at revision %d, want %d", g.Gateway, g.Revision, want)
		}
	}
	told = r.follow(100*clock.Ms, map[string]uint64{"a": 2, "b": 2})
	if len(told) != 1 || !told[0].Done || told[0].ElapsedUs < 5*clock.Sec {
		t.Fatalf("the last one has come: %+v", told)
	}
	if s := r.f.Rollout(r.nowUs); s.CompletedAfterMs != told[0].ElapsedUs/clock.Ms || len(s.Behind) > 0 {
		t.Errorf("%+v", s)
	}
}

// A gateway that is gone is not waited for, and one that has not caught up and comes back late is shown as behind.
func TestRolloutDoesNotWaitForAGatewayThatIsGone(t *testing.T) {
	r := newRig(t, "one", freshState())
	r.pass(100 * clock.Ms)
	r.follow(100*clock.Ms, map[string]uint64{"a": 1, "b": 1})
	r.s.Revision = 2
	told := r.follow(gatewayLiveUs+100*clock.Ms, map[string]uint64{"a": 2})
	if last := told[len(told)-1]; !last.Done || last.Gateways != 1 {
		t.Fatalf("%+v", told)
	}
	r.follow(100*clock.Ms, map[string]uint64{"a": 2, "b": 1})
	if s := r.f.Rollout(r.nowUs); !slices.Equal(s.Behind, []string{"b"}) {
		t.Errorf("%+v", s)
	}
}
