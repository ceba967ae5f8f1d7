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

// Full is a ledger with every key it may keep.
func newFullKeyTable(t testing.TB, keys int) *State {
	s := NewState()
	for i := 0; i < keys; i++ {
		if out := s.Apply(s.Index+1, keyClaim(i)); out.Fault != nil {
			t.Fatal(out.Fault)
		}
	}
	return s
}

// A full table refuses; it never forgets a key before its time, and an old key still answers.
func TestFullKeyTableRefusesAndEvictsNothing(t *testing.T) {
	s := newFullKeyTable(t, MaxKeys)
	if out := s.Apply(s.Index+1, keyClaim(MaxKeys)); out.Fault == nil || out.Fault.Code != fault.KeysFull {
		t.Fatalf("%+v", out)
	}
	for _, i := range []int{0, 1, MaxKeys / 2, MaxKeys - 1} {
		resent := keyClaim(i)
		resent.Key.Call = "another"
		if out := s.Apply(s.Index+1, resent); !out.Repeated || out.Key == nil {
			t.Fatalf("key %d: %+v", i, out)
		}
	}
	if len(s.Keys) != MaxKeys || len(s.KeyOrder) != MaxKeys {
		t.Fatalf("%d keys, %d in order", len(s.Keys), len(s.KeyOrder))
	}
	s.Apply(s.Index+1, Change{ID: "claim", Epoch: 1, Claim: &Claim{Leader: "one"}})
	s.Apply(s.Index+1, Change{ID: "forget", Epoch: 1, LeaderUpdate: &LeaderUpdate{ForgetKeysBefore: s.Keys[s.KeyOrder[100]].Index}})
	if len(s.Keys) != MaxKeys-100 {
		t.Fatalf("%d keys after 100 were forgotten", len(s.Keys))
	}
	if out := s.Apply(s.Index+1, keyClaim(MaxKeys)); out.Fault != nil {
		t.Fatal(out.Fault)
	}
}

// The history of changes answers for the last MaxOutcomes; an older change sent again gets no clear answer, as it may
// have been taken, and is never taken a second time.
func TestChangeOlderThanRememberedOutcomesIsNotAppliedTwice(t *testing.T) {
	s := NewState()
	doc := &configuration.Declaration{}
	first := Change{ID: "c0", Config: &ConfigChange{Base: 0, Doc: doc}}
	for i := 0; i <= MaxOutcomes; i++ {
		s.Apply(s.Index+1, Change{ID: fmt.Sprint("c", i), Config: &ConfigChange{Base: uint64(i), Doc: doc}})
	}
	if len(s.Outcomes) != MaxOutcomes || s.Revision != MaxOutcomes+1 {
		t.Fatalf("%d changes kept at revision %d", len(s.Outcomes), s.Revision)
	}
	if out := s.Apply(s.Index+1, first); out.Fault == nil || out.Fault.Code != fault.InDoubt || s.Revision != MaxOutcomes+1 {
		t.Fatalf("%+v at revision %d", out, s.Revision)
	}
}

func TestSnapshotIsUnchangedByLaterChanges(t *testing.T) {
	s := newReadyState(t)
	mustApply(t, s, loadCommand("r0", "a"))
	mustApply(t, s, keyClaim(1))
	before := string(s.Encode())
	snapshot := s.Snapshot()
	if diff := cmp.Diff(before, string(snapshot.Encode())); diff != "" {
		t.Fatal(diff)
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
		t.Fatalf("what went on changed the frozen one: %s", diff)
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

// The edits kept for those that are behind are bounded by bytes too: who is further behind gets the whole.
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
			t.Fatalf("%d bytes after %d edits", raw, i)
		}
	}
	if edits, ok := s.EditsSince(s.Revision - 3); !ok || len(edits) != 3 || edits[2].Version != 41 {
		t.Fatalf("%d edits since three revisions ago, %v", len(edits), ok)
	}
	if _, ok := s.EditsSince(s.Revision - 20); ok {
		t.Fatal("edits that are not kept are given out")
	}
	s.Apply(50, Change{ID: "e50", Config: &ConfigChange{Base: 41, Version: 42, Edit: &configuration.Edit{Version: 42, Routes: []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent,
		TimeoutMs: 1000, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`"` + strings.Repeat("x", 2<<20) + `"`)}}}}})
	if _, ok := s.EditsSince(s.Revision - 1); ok || len(s.Edits) != 0 || s.Version() != 42 {
		t.Fatalf("%d edits kept at version %d", len(s.Edits), s.Version())
	}
}

func TestRememberedOutcomesNameOnlyTheirFirstFaults(t *testing.T) {
	s := newReadyState(t)
	doc := &configuration.Declaration{}
	for i := range 10 * maxRememberedFaults {
		doc.Models = append(doc.Models, configuration.Model{Name: fmt.Sprint("m", i), SizeMB: 1 << 40})
	}
	change := Change{ID: "large", Config: &ConfigChange{Base: s.Revision, Doc: doc}}
	if out := s.Apply(s.Index+1, change); out.Fault == nil || len(out.Fault.Faults) != 10*maxRememberedFaults {
		t.Fatalf("%+v", out.Fault)
	}
	if out := s.Apply(s.Index+1, change); out.Fault == nil || !out.Repeated || len(out.Fault.Faults) != maxRememberedFaults {
		t.Fatalf("%+v", out.Fault)
	}
}
