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
		t.Fatalf("change %s: got fault %v, part faults %v; want none", c.ID, out.Fault, out.Faults)
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
		t.Fatalf("second command at a replica: got code %q, want %q", got, fault.ReplicaBusy)
	}
	mustApply(t, s, loadCommand("r1", "a"))
	if got := code(s.Apply(s.Index+1, loadCommand("r2", "a"))); got != fault.StoreRateLimited {
		t.Fatalf("third load with a store that serves two: got code %q, want %q", got, fault.StoreRateLimited)
	}
	mustApply(t, s, Change{ID: "d", Epoch: 1, LeaderUpdate: &LeaderUpdate{Results: []CommandResult{{Number: 1, Succeeded: true}, {Number: 2}}}})
	if diff := cmp.Diff(map[string]int64{"a": 60}, s.Replicas["r0"].Resident); diff != "" {
		t.Fatalf("units at r0 after its load (-want +got):\n%s", diff)
	}
	if got := code(s.Apply(s.Index+1, loadCommand("r0", "b"))); got != fault.InsufficientCapacity {
		t.Fatalf("load beyond the capacity: got code %q, want %q", got, fault.InsufficientCapacity)
	}
	mustApply(t, s, Change{ID: "u", Epoch: 1, LeaderUpdate: &LeaderUpdate{Commands: []ReplicaCommand{{Replica: "r0", Incarnation: "i", Revision: 1, Action: Unload, Unit: "a"}}}})
	if s.ReservedMB("r0") != 60 {
		t.Fatalf("reserved memory while an unload is pending: got %d MB, want 60 MB", s.ReservedMB("r0"))
	}
	if len(s.Replicas["r1"].Resident) != 0 {
		t.Fatalf("units at r1 after a failed load: got %v, want none", s.Replicas["r1"].Resident)
	}
}

func TestStaleEpochsAreRefused(t *testing.T) {
	s := newReadyState(t)
	mustApply(t, s, Change{ID: "claim2", Epoch: 2, Claim: &Claim{Leader: "two"}})
	if got := code(s.Apply(s.Index+1, loadCommand("r0", "a"))); got != fault.StaleEpoch {
		t.Fatalf("command of a former leader: got code %q, want %q", got, fault.StaleEpoch)
	}
	if got := code(s.Apply(s.Index+1, Change{ID: "claim2b", Epoch: 2, Claim: &Claim{Leader: "one"}})); got != fault.StaleEpoch {
		t.Fatalf("second claim of an epoch: got code %q, want %q", got, fault.StaleEpoch)
	}
	if s.Leader != "two" || len(s.Pending) != 0 {
		t.Fatalf("after refused changes: got leader %q, %d pending commands; want two, none", s.Leader, len(s.Pending))
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
		t.Fatalf("grants: got %+v, then %+v, want different numbers, no overlap, and the second from 16 or later", first, second)
	}
	if _, kept := s.Grants[Grant{Gateway: "y", Replica: "r0", Model: "a"}.Key()]; kept {
		t.Fatal("removed gateway y still has a grant")
	}
	mustApply(t, s, Change{ID: "n2", Epoch: 1, LeaderUpdate: &LeaderUpdate{Replicas: []ReplicaUpdate{{ID: "r0", Incarnation: "new", CapacityMB: 100, Slots: 4}}}})
	if len(s.Grants) != 0 {
		t.Fatalf("grants after the incarnation of r0 was replaced: got %v, want none", s.Grants)
	}
}

func TestOneOfRacingConfigurationsIsAppliedOnce(t *testing.T) {
	s := newReadyState(t)
	doc := s.Doc
	won := mustApply(t, s, Change{ID: "x", Config: &ConfigChange{Base: 1, Doc: doc}})
	lost := s.Apply(s.Index+1, Change{ID: "y", Config: &ConfigChange{Base: 1, Doc: doc}})
	if code(lost) != fault.StaleBase || lost.Fault.Revision != 2 || s.Revision != 2 {
		t.Fatalf("second change on one base: got %+v at revision %d, want code %q at revision 2", lost, s.Revision, fault.StaleBase)
	}
	resent := s.Apply(s.Index+1, Change{ID: "x", Config: &ConfigChange{Base: 1, Doc: doc}})
	if !resent.Repeated || resent.Revision != won.Revision || s.Revision != 2 {
		t.Fatalf("applied change resent: got %+v at revision %d, want a repeated outcome with revision %d",
			resent, s.Revision, won.Revision)
	}
}

func TestIdempotencyKeyIsClaimedOnce(t *testing.T) {
	s := newReadyState(t)
	claim := func(key, call string) Outcome {
		return s.Apply(s.Index+1, Change{ID: call, Key: &KeyChange{Key: key, Gateway: "d", GatewayIncarnation: "i", Call: call}})
	}
	if out := claim("k", "one"); out.Repeated || out.Key == nil {
		t.Fatalf("first claim: got %+v, want a new key record", out)
	}
	if out := claim("k", "one"); out.Repeated {
		t.Fatalf("call's own claim resent: got %+v, want an outcome that is not repeated", out)
	}
	if out := claim("k", "two"); !out.Repeated || out.Key.Call != "one" {
		t.Fatalf("claim by another call: got %+v, want a repeated outcome with the record of call one", out)
	}
	s.Apply(s.Index+1, Change{ID: "e", Key: &KeyChange{Key: "k", Gateway: "d", GatewayIncarnation: "i", Call: "one", End: "yes"}})
	s.Apply(s.Index+1, Change{ID: "f", Key: &KeyChange{Key: "k", Gateway: "d", GatewayIncarnation: "i", Call: "one", Release: true}})
	if out := claim("k", "three"); !out.Repeated || out.Key.Ended != "yes" {
		t.Fatalf("claim of an ended key after its release: got %+v, want a repeated outcome, ended \"yes\"", out)
	}
	for i := len(s.Keys); i < MaxKeys; i++ {
		s.Keys[fmt.Sprint("x", i)] = KeyRecord{}
	}
	if out := claim("new", "four"); code(out) != fault.KeysFull {
		t.Fatalf("claim on a full key table: got %+v, want code %q", out, fault.KeysFull)
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
		t.Fatalf("decoded state differs (-state +decoded):\n%s", diff)
	}
}

func TestCommandsOfAnotherRevisionAreRefused(t *testing.T) {
	s := newReadyState(t)
	for _, revision := range []uint64{0, 2} {
		out := s.Apply(s.Index+1, Change{ID: "t", Epoch: 1, LeaderUpdate: &LeaderUpdate{Commands: []ReplicaCommand{{Replica: "r0", Incarnation: "i", Revision: revision, Action: Load, Unit: "a"}}}})
		if len(out.Faults) != 1 || out.Faults[0].Code != fault.StaleBase || len(s.Pending) != 0 {
			t.Fatalf("command under revision %d: got faults %+v, pending %v; want one fault with code %s, none pending",
				revision, out.Faults, s.Pending, fault.StaleBase)
		}
	}
}
