package statemachine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

func keyClaim(i int) Change {
	return Change{ID: fmt.Sprint("key-", i), Key: &KeyChange{Key: fmt.Sprintf("family-%032d", i), Gateway: "front-3", GatewayIncarnation: "0123456789ab", Call: fmt.Sprintf("front-3-%016d", i)}}
}

// newFullKeyTable returns a state in which the given number of idempotency keys are claimed.
func newFullKeyTable(t testing.TB, keys int) *State {
	s := NewState()
	for i := 0; i < keys; i++ {
		if out := s.Apply(s.Index+1, keyClaim(i)); out.Fault != nil {
			t.Fatal(out.Fault)
		}
	}
	return s
}

// A full key table refuses new keys and evicts none: a claim of an old key still returns its record. Keys leave the table
// only when the leader asks to forget them.
func TestFullKeyTableRefusesAndEvictsNothing(t *testing.T) {
	s := newFullKeyTable(t, MaxKeys)
	if out := s.Apply(s.Index+1, keyClaim(MaxKeys)); out.Fault == nil || out.Fault.Code != fault.KeysFull {
		t.Fatalf("claim on a full key table: got %+v, want fault %s", out, fault.KeysFull)
	}
	for _, i := range []int{0, 1, MaxKeys / 2, MaxKeys - 1} {
		resent := keyClaim(i)
		resent.Key.Call = "another"
		if out := s.Apply(s.Index+1, resent); !out.Repeated || out.Key == nil {
			t.Fatalf("second claim of key %d: got %+v, want a repeated outcome with the key's record", i, out)
		}
	}
	if len(s.Keys) != MaxKeys || len(s.KeyOrder) != MaxKeys {
		t.Fatalf("got %d keys, %d of them in order, want %d", len(s.Keys), len(s.KeyOrder), MaxKeys)
	}
	s.Apply(s.Index+1, Change{ID: "claim", Epoch: 1, Claim: &Claim{Leader: "one"}})
	s.Apply(s.Index+1, Change{ID: "forget", Epoch: 1, LeaderUpdate: &LeaderUpdate{ForgetKeysBefore: s.Keys[s.KeyOrder[100]].Index}})
	if len(s.Keys) != MaxKeys-100 {
		t.Fatalf("after forgetting 100 keys: got %d keys, want %d", len(s.Keys), MaxKeys-100)
	}
	if out := s.Apply(s.Index+1, keyClaim(MaxKeys)); out.Fault != nil {
		t.Fatal(out.Fault)
	}
}

// Outcomes are remembered for the last MaxOutcomes changes. An older change that is resent is answered as in doubt, as it
// may have been applied, and is never applied a second time.
func TestChangeOlderThanRememberedOutcomesIsNotAppliedTwice(t *testing.T) {
	s := NewState()
	doc := &configuration.Declaration{}
	first := Change{ID: "c0", Config: &ConfigChange{Base: 0, Doc: doc}}
	for i := 0; i <= MaxOutcomes; i++ {
		s.Apply(s.Index+1, Change{ID: fmt.Sprint("c", i), Config: &ConfigChange{Base: uint64(i), Doc: doc}})
	}
	if len(s.Outcomes) != MaxOutcomes || s.Revision != MaxOutcomes+1 {
		t.Fatalf("got %d outcomes at revision %d, want %d at revision %d", len(s.Outcomes), s.Revision, MaxOutcomes, MaxOutcomes+1)
	}
	if out := s.Apply(s.Index+1, first); out.Fault == nil || out.Fault.Code != fault.InDoubt || s.Revision != MaxOutcomes+1 {
		t.Fatalf("forgotten change resent: got %+v at revision %d, want fault %s at revision %d",
			out, s.Revision, fault.InDoubt, MaxOutcomes+1)
	}
}

func TestSnapshotIsUnchangedByLaterChanges(t *testing.T) {
	s := newReadyState(t)
	mustApply(t, s, loadCommand("r0", "a"))
	mustApply(t, s, keyClaim(1))
	before := string(s.Encode())
	snapshot := s.Snapshot()
	if diff := cmp.Diff(before, string(snapshot.Encode())); diff != "" {
		t.Fatalf("snapshot differs from the state (-state +snapshot):\n%s", diff)
	}
	mustApply(t, s, Change{ID: "s", Epoch: 1, LeaderUpdate: &LeaderUpdate{Results: []CommandResult{{Number: 1, Succeeded: true}}, Quotas: map[string]map[string]int{"r1": {"d": 2}},
		Grants: []GrantRequest{{Gateway: "d", GatewayIncarnation: "i", Replica: "r1", Incarnation: "i", Model: "a", Count: 9}}, RemovedReplicas: []string{"r2"}}})
	for i := 2; i < 40; i++ {
		mustApply(t, s, keyClaim(i))
	}
	mustApply(t, s, Change{ID: "end", Key: &KeyChange{Key: keyClaim(1).Key.Key, Gateway: "front-3", GatewayIncarnation: "0123456789ab", Call: keyClaim(1).Key.Call, End: "yes"}})
	mustApply(t, s, Change{ID: "f", Epoch: 1, LeaderUpdate: &LeaderUpdate{ForgetKeysBefore: s.Index}})
	mustApply(t, s, Change{ID: "c2", Config: &ConfigChange{Base: 1, Doc: &configuration.Declaration{Name: "next"}}})
	if diff := cmp.Diff(before, string(snapshot.Encode())); diff != "" {
		t.Fatalf("later changes modified the snapshot (-before +after):\n%s", diff)
	}
}

func BenchmarkSnapshotFullKeyTable(b *testing.B) {
	s := newFullKeyTable(b, MaxKeys)
	for b.Loop() {
		s.Snapshot()
	}
}

func BenchmarkEncodeFullKeyTable(b *testing.B) {
	s := newFullKeyTable(b, MaxKeys)
	for b.Loop() {
		s.Encode()
	}
}

// The edits retained for gateways that are behind are bounded by their size too. An edit larger than the bound leaves none
// retained, so every gateway that is behind gets the complete declaration.
func TestRetainedEditsAreBoundedByBytes(t *testing.T) {
	route := func(i int) []configuration.Route {
		return []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1000, MaxAttempts: 1,
			Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(fmt.Sprintf(`"%d %s"`, i, strings.Repeat("x", 200<<10)))}}
	}
	s := NewState()
	out := s.Apply(1, Change{ID: "v1", Config: &ConfigChange{Version: 1, Doc: &configuration.Declaration{Version: 1, Routes: route(0), Services: []configuration.Service{{Name: "s"}}}}})
	if out.Fault != nil {
		t.Fatal(out.Fault)
	}
	for i := uint64(1); i <= 40; i++ {
		if out := s.Apply(i+1, Change{ID: fmt.Sprint("e", i), Config: &ConfigChange{Base: i, Version: i + 1, Edit: &configuration.Edit{Version: i + 1, Routes: route(int(i))}}}); out.Fault != nil {
			t.Fatal(out.Fault)
		}
		if raw := len(s.Encode()); raw > maxEditBytes+300<<10 {
			t.Fatalf("size of the state after %d edits: got %d bytes, want at most %d", i, raw, maxEditBytes+300<<10)
		}
	}
	if edits, ok := s.EditsSince(s.Revision - 3); !ok || len(edits) != 3 || edits[2].Version != 41 {
		t.Fatalf("edits of the last three revisions: got %d, %v, want 3 that end at version 41", len(edits), ok)
	}
	if _, ok := s.EditsSince(s.Revision - 20); ok {
		t.Fatal("EditsSince reports edits that are no longer retained")
	}
	s.Apply(50, Change{ID: "e50", Config: &ConfigChange{Base: 41, Version: 42, Edit: &configuration.Edit{Version: 42, Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent,
		TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`"` + strings.Repeat("x", 2<<20) + `"`)}}}}})
	if _, ok := s.EditsSince(s.Revision - 1); ok || len(s.Edits) != 0 || s.Version() != 42 {
		t.Fatalf("after an edit beyond the bound: got %d edits at version %d, want none at version 42", len(s.Edits), s.Version())
	}
}

func TestRememberedRefusalKeepsBoundedFaults(t *testing.T) {
	s := newReadyState(t)
	doc := &configuration.Declaration{}
	for i := range 10 * maxRememberedFaults {
		doc.Models = append(doc.Models, configuration.Model{Name: fmt.Sprint("m", i), SizeMB: 1 << 40})
	}
	change := Change{ID: "large", Config: &ConfigChange{Base: s.Revision, Doc: doc}}
	if out := s.Apply(s.Index+1, change); out.Fault == nil || len(out.Fault.Faults) != 10*maxRememberedFaults {
		t.Fatalf("first refusal: got %+v, want %d faults", out.Fault, 10*maxRememberedFaults)
	}
	if out := s.Apply(s.Index+1, change); out.Fault == nil || !out.Repeated || len(out.Fault.Faults) != maxRememberedFaults {
		t.Fatalf("remembered refusal: got %+v, want %d faults", out.Fault, maxRememberedFaults)
	}
}
