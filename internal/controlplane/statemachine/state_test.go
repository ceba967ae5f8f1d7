package statemachine

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

func newReadyState(t *testing.T) *State {
	t.Helper()
	s := NewState()
	doc := &configuration.Declaration{Store: configuration.Store{Loads: 2}, Models: []configuration.Model{{Name: "a", SizeMB: 60}, {Name: "b", SizeMB: 50}}}
	mustApply(t, s, Change{ID: "c1", Config: &ConfigChange{Doc: doc}})
	mustApply(t, s, Change{ID: "claim", Epoch: 1, Claim: &Claim{Leader: "one"}})
	updates := []ReplicaUpdate{}
	for i := 0; i < 4; i++ {
		updates = append(updates, ReplicaUpdate{ID: fmt.Sprintf("r%d", i), Incarnation: "i", CapacityMB: 100, Slots: 4})
	}
	mustApply(t, s, Change{ID: "n", Epoch: 1, LeaderUpdate: &LeaderUpdate{Replicas: updates}})
	return s
}

func mustApply(t *testing.T, s *State, c Change) Outcome {
	t.Helper()
	out := s.Apply(s.Index+1, c)
	if out.Fault != nil || len(out.Faults) > 0 {
		t.Fatalf("%s: %v %v", c.ID, out.Fault, out.Faults)
	}
	return out
}

func loadCommand(replica, unit string) Change {
	return Change{ID: replica + unit, Epoch: 1, LeaderUpdate: &LeaderUpdate{Commands: []ReplicaCommand{{Replica: replica, Incarnation: "i", Revision: 1, Action: Load, Unit: unit}}}}
}

func code(out Outcome) fault.Code {
	switch {
	case out.Fault != nil:
		return out.Fault.Code
	case len(out.Faults) > 0:
		return out.Faults[0].Code
	}
	return ""
}

func TestCommandsRespectCapacityStoreRateAndOnePending(t *testing.T) {
	s := newReadyState(t)
	mustApply(t, s, loadCommand("r0", "a"))
	if got := code(s.Apply(s.Index+1, loadCommand("r0", "b"))); got != fault.ReplicaBusy {
		t.Fatalf("a second order got %q", got)
	}
	mustApply(t, s, loadCommand("r1", "a"))
	if got := code(s.Apply(s.Index+1, loadCommand("r2", "a"))); got != fault.StoreRateLimited {
		t.Fatalf("a third load got %q", got)
	}
	mustApply(t, s, Change{ID: "d", Epoch: 1, LeaderUpdate: &LeaderUpdate{Results: []CommandResult{{Number: 1, Succeeded: true}, {Number: 2}}}})
	if diff := cmp.Diff(map[string]int64{"a": 60}, s.Replicas["r0"].Resident); diff != "" {
		t.Fatal(diff)
	}
	if got := code(s.Apply(s.Index+1, loadCommand("r0", "b"))); got != fault.InsufficientCapacity {
		t.Fatalf("beyond room got %q", got)
	}
	mustApply(t, s, Change{ID: "u", Epoch: 1, LeaderUpdate: &LeaderUpdate{Commands: []ReplicaCommand{{Replica: "r0", Incarnation: "i", Revision: 1, Action: Unload, Unit: "a"}}}})
	if s.ReservedMB("r0") != 60 {
		t.Fatal("an unconfirmed unload gave its room back")
	}
	if len(s.Replicas["r1"].Resident) != 0 {
		t.Fatal("a failed load is held")
	}
}

func TestStaleEpochsAreRefused(t *testing.T) {
	s := newReadyState(t)
	mustApply(t, s, Change{ID: "claim2", Epoch: 2, Claim: &Claim{Leader: "two"}})
	if got := code(s.Apply(s.Index+1, loadCommand("r0", "a"))); got != fault.StaleEpoch {
		t.Fatalf("a frozen controller's ticket got %q", got)
	}
	if got := code(s.Apply(s.Index+1, Change{ID: "claim2b", Epoch: 2, Claim: &Claim{Leader: "one"}})); got != fault.StaleEpoch {
		t.Fatalf("a second claim of one epoch got %q", got)
	}
	if s.Leader != "two" || len(s.Pending) != 0 {
		t.Fatal("a refused write took effect")
	}
}

func TestGrantsNeverOverlap(t *testing.T) {
	s := newReadyState(t)
	request := func(gateway string, n uint64) GrantRequest {
		return GrantRequest{Gateway: gateway, GatewayIncarnation: "d", Replica: "r0", Incarnation: "i", Model: "a", Count: n}
	}
	mustApply(t, s, Change{ID: "g1", Epoch: 1, LeaderUpdate: &LeaderUpdate{Grants: []GrantRequest{request("x", 10), request("y", 5)}}})
	first := s.Grants[Grant{Gateway: "x", Replica: "r0", Model: "a"}.Key()]
	mustApply(t, s, Change{ID: "g2", Epoch: 1, LeaderUpdate: &LeaderUpdate{Grants: []GrantRequest{request("x", 10)}, RemovedGateways: []string{"y"}}})
	second := s.Grants[Grant{Gateway: "x", Replica: "r0", Model: "a"}.Key()]
	if first.To > second.From || second.From < 16 || first.Number == second.Number {
		t.Fatalf("%+v then %+v", first, second)
	}
	if _, kept := s.Grants[Grant{Gateway: "y", Replica: "r0", Model: "a"}.Key()]; kept {
		t.Fatal("a gone gateway keeps its grant")
	}
	mustApply(t, s, Change{ID: "n2", Epoch: 1, LeaderUpdate: &LeaderUpdate{Replicas: []ReplicaUpdate{{ID: "r0", Incarnation: "new", CapacityMB: 100, Slots: 4}}}})
	if len(s.Grants) != 0 {
		t.Fatal("grants outlive the replica they were for")
	}
}

func TestOneOfRacingConfigurationsIsAppliedOnce(t *testing.T) {
	s := newReadyState(t)
	doc := s.Doc
	won := mustApply(t, s, Change{ID: "x", Config: &ConfigChange{Base: 1, Doc: doc}})
	lost := s.Apply(s.Index+1, Change{ID: "y", Config: &ConfigChange{Base: 1, Doc: doc}})
	if code(lost) != fault.StaleBase || lost.Fault.Revision != 2 || s.Revision != 2 {
		t.Fatalf("%+v", lost)
	}
	resent := s.Apply(s.Index+1, Change{ID: "x", Config: &ConfigChange{Base: 1, Doc: doc}})
	if !resent.Repeated || resent.Revision != won.Revision || s.Revision != 2 {
		t.Fatalf("the same change again: %+v", resent)
	}
}

func TestIdempotencyKeyIsClaimedOnce(t *testing.T) {
	s := newReadyState(t)
	claim := func(key, call string) Outcome {
		return s.Apply(s.Index+1, Change{ID: call, Key: &KeyChange{Key: key, Gateway: "d", GatewayIncarnation: "i", Call: call}})
	}
	if out := claim("k", "one"); out.Repeated || out.Key == nil {
		t.Fatalf("%+v", out)
	}
	if out := claim("k", "one"); out.Repeated {
		t.Fatal("a gateway's own claim, sent again, must not look like another's")
	}
	if out := claim("k", "two"); !out.Repeated || out.Key.Call != "one" {
		t.Fatalf("%+v", out)
	}
	s.Apply(s.Index+1, Change{ID: "e", Key: &KeyChange{Key: "k", Gateway: "d", GatewayIncarnation: "i", Call: "one", End: "yes"}})
	s.Apply(s.Index+1, Change{ID: "f", Key: &KeyChange{Key: "k", Gateway: "d", GatewayIncarnation: "i", Call: "one", Release: true}})
	if out := claim("k", "three"); !out.Repeated || out.Key.Ended != "yes" {
		t.Fatal("an ended key was freed")
	}
	for i := len(s.Keys); i < MaxKeys; i++ {
		s.Keys[fmt.Sprint("x", i)] = KeyRecord{}
	}
	if out := claim("new", "four"); code(out) != fault.KeysFull {
		t.Fatalf("a full table took a key: %+v", out)
	}
}

func TestStateRoundTripsThroughEncoding(t *testing.T) {
	s := newReadyState(t)
	mustApply(t, s, loadCommand("r0", "a"))
	decoded, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s, decoded); diff != "" {
		t.Fatal(diff)
	}
}

func TestCommandsOfAnotherRevisionAreRefused(t *testing.T) {
	s := newReadyState(t)
	for _, revision := range []uint64{0, 2} {
		out := s.Apply(s.Index+1, Change{ID: "t", Epoch: 1, LeaderUpdate: &LeaderUpdate{Commands: []ReplicaCommand{{Replica: "r0", Incarnation: "i", Revision: revision, Action: Load, Unit: "a"}}}})
		if len(out.Faults) != 1 || out.Faults[0].Code != fault.StaleBase || len(s.Pending) != 0 {
			t.Fatalf("revision %d: %+v, pending %v", revision, out.Faults, s.Pending)
		}
	}
}
