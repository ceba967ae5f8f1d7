package statemachine

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// apply applies a change as the next log entry.
func apply(s *State, c Change) Outcome { return s.Apply(s.Index+1, c) }

// applyVersions applies successive versions up to lastVersion and returns the changes.
func applyVersions(t *testing.T, s *State, lastVersion uint64) []Change {
	t.Helper()
	changes := []Change{}
	for version := s.Version() + 1; version <= lastVersion; version++ {
		c := versionChange(version-1, version, versionDoc(version, versionRoute("a", int64(version), "s")), nil)
		if out := apply(s, c); out.Fault != nil {
			t.Fatal(out.Fault)
		}
		changes = append(changes, c)
	}
	return changes
}

// An applied change that is resent is acknowledged again, or is in doubt where its outcome is no longer remembered; it is
// never refused. A change that was never applied is refused only while the remembered outcomes reach back to its number.
func TestAppliedVersionIsNeverRefusedWhenSentAgain(t *testing.T) {
	s := NewState()
	const forgottenCount = 100
	changes := applyVersions(t, s, MaxOutcomes+forgottenCount)
	version := s.Version()
	for i, c := range changes {
		want := fault.Code("")
		if i < forgottenCount {
			want = fault.InDoubt
		}
		out := apply(s, c)
		if code(out) != want || out.Repeated != (want == "") {
			t.Fatalf("change %d of %d resent: got %+v, want code %q, repeated %v", i+1, len(changes), out, want, want == "")
		}
	}
	for _, other := range []struct {
		version uint64
		want    fault.Code
	}{{1, fault.InDoubt}, {forgottenCount, fault.InDoubt}, {forgottenCount + 1, fault.StaleBase}, {version, fault.StaleBase}, {version + 1, fault.StaleBase}} {
		c := versionChange(other.version-1, other.version, versionDoc(other.version, versionRoute("b", 1, "t")), nil)
		if other.version == version+1 {
			c = versionChange(version-1, other.version, versionDoc(other.version, versionRoute("b", 1, "t")), nil)
		}
		if out := apply(s, c); code(out) != other.want {
			t.Errorf("other change with number %d: got %+v, want code %q", other.version, out, other.want)
		}
	}
	if s.Version() != version || len(s.Outcomes) > MaxOutcomes {
		t.Errorf("after resends: got version %d, %d outcomes; want version %d, at most %d outcomes",
			s.Version(), len(s.Outcomes), version, MaxOutcomes)
	}
	decoded, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if out := apply(decoded, changes[0]); code(out) != fault.InDoubt {
		t.Errorf("first change resent to a decoded state: got %+v, want code %q", out, fault.InDoubt)
	}
}

// The refusal of a change whose base version is not in force yet is final: a copy of the change that is still in flight must
// not be applied once that version is in force.
func TestChangeRefusedAheadOfItsBaseStaysRefused(t *testing.T) {
	s := NewState()
	applyVersions(t, s, 5)
	early := versionChange(6, 7, versionDoc(7, versionRoute("b", 1, "s")), nil)
	if out := apply(s, early); code(out) != fault.StaleBase {
		t.Fatalf("change ahead of its base: got %+v, want code %q", out, fault.StaleBase)
	}
	applyVersions(t, s, 6)
	decoded, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"original state": s, "decoded state": decoded} {
		if out := apply(state, early); code(out) != fault.StaleBase || state.Version() != 6 {
			t.Errorf("%s: change refused before: got %+v, version %d in force; want code %q, version 6",
				name, out, state.Version(), fault.StaleBase)
		}
	}
	renumbered := versionChange(6, 8, versionDoc(8, versionRoute("b", 1, "s")), nil)
	if out := apply(s, renumbered); out.Fault != nil {
		t.Errorf("same content with another number: got %+v, want no fault", out)
	}
}

// The remembered refusals of changes ahead of their base are bounded, and dropped once the base is passed. Beyond the bound
// the outcome is in doubt, as the change may still be applied later.
func TestRememberedRefusalsOfChangesAheadOfBaseAreBounded(t *testing.T) {
	s := NewState()
	applyVersions(t, s, 1)
	early := func(n int) Change {
		version := uint64(10 + n)
		return versionChange(2, version, versionDoc(version, versionRoute("b", 1, "s")), nil)
	}
	for n := range MaxEarlyRefusals {
		if out := apply(s, early(n)); code(out) != fault.StaleBase {
			t.Fatalf("early change %d: got %+v, want code %q", n, out, fault.StaleBase)
		}
	}
	snapshot := s.Snapshot()
	if out := apply(s, early(MaxEarlyRefusals)); code(out) != fault.InDoubt {
		t.Fatalf("early change beyond the bound: got %+v, want code %q", out, fault.InDoubt)
	}
	if out := apply(s, early(0)); code(out) != fault.StaleBase || !out.Repeated {
		t.Fatalf("early change 0 resent: got %+v, want code %q, repeated", out, fault.StaleBase)
	}
	notAboveBase := versionChange(9, 9, versionDoc(9, versionRoute("b", 1, "s")), nil)
	if out := apply(s, notAboveBase); code(out) != fault.StaleBase {
		t.Fatalf("change with a number not above its base: got %+v, want code %q", out, fault.StaleBase)
	}
	applyVersions(t, s, 2)
	for n := range MaxEarlyRefusals {
		if out := apply(s, early(n)); code(out) != fault.StaleBase {
			t.Fatalf("early change %d resent with its base in force: got %+v, want code %q", n, out, fault.StaleBase)
		}
	}
	if out := apply(s, early(MaxEarlyRefusals)); out.Fault != nil {
		t.Fatalf("change that was in doubt, resent with its base in force: got %+v, want no fault", out)
	}
	if diff := cmp.Diff(0, len(s.EarlyRefusals)); diff != "" {
		t.Errorf("early refusals remembered after their base was passed (-want +got):\n%s", diff)
	}
	if len(snapshot.EarlyRefusals) != MaxEarlyRefusals || snapshot.EarlyRefusals[0].Base != 2 {
		t.Errorf("early refusals in an older snapshot: got %d, want %d based on version 2", len(snapshot.EarlyRefusals), MaxEarlyRefusals)
	}
}

// Once a numbered version is in force, a declaration without a version is refused, as it would reset the version to 0.
func TestUnnumberedDeclarationDoesNotReplaceNumberedOne(t *testing.T) {
	s := NewState()
	changes := applyVersions(t, s, 3)
	out := apply(s, Change{ID: "op-whole", Config: &ConfigChange{Base: s.Revision, Doc: versionDoc(0)}})
	if code(out) != fault.InvalidConfig || s.Version() != 3 {
		t.Fatalf("declaration without a version: got %+v, version %d in force; want code %q, version 3",
			out, s.Version(), fault.InvalidConfig)
	}
	for i, c := range changes {
		if out := apply(s, c); out.Fault != nil || !out.Repeated {
			t.Errorf("change %s resent: got %+v, want a repeated outcome without a fault", fmt.Sprint(i+1), out)
		}
	}
}

// A numbered change that was refused while no numbered version was in force stays refused, whatever declaration without a
// version comes into force: version 0 does not identify one declaration, unlike a numbered version.
func TestRefusalWithoutVersionInForceIsRemembered(t *testing.T) {
	edit := versionChange(0, 5, nil, &configuration.Edit{Version: 5, Routes: []configuration.Route{versionRoute("b", 1, "s")}})
	removesUsedService := versionChange(0, 6, nil, &configuration.Edit{Version: 6, RemoveServices: []string{"s"}})
	s := NewState()
	if out := apply(s, edit); code(out) != fault.InvalidConfig {
		t.Fatalf("edit without a declaration in force: got %+v, want code %q", out, fault.InvalidConfig)
	}
	whole := versionDoc(0, versionRoute("a", 1, "s"))
	if out := apply(s, Change{ID: "op-whole", Config: &ConfigChange{Doc: whole}}); out.Fault != nil {
		t.Fatalf("first declaration without a version: got %+v, want no fault", out)
	}
	if out := apply(s, removesUsedService); code(out) != fault.InvalidConfig {
		t.Fatalf("edit that removes a service in use: got %+v, want code %q", out, fault.InvalidConfig)
	}
	if out := apply(s, Change{ID: "op-bare", Config: &ConfigChange{Base: s.Revision, Doc: versionDoc(0)}}); out.Fault != nil {
		t.Fatalf("second declaration without a version: got %+v, want no fault", out)
	}
	for _, c := range []Change{edit, removesUsedService} {
		if out := apply(s, c); code(out) != fault.InvalidConfig || s.Version() != 0 {
			t.Errorf("refused change %s resent: got %+v, version %d in force; want code %q, version 0",
				c.ID, out, s.Version(), fault.InvalidConfig)
		}
	}
}

// A change ID that is reused with different content is refused, and the change that used it first stays acknowledged. This
// also holds for a state that replayed the log, was decoded from a snapshot, or is a copy. A state without the digests of
// its outcomes must fail the check.
func TestChangeIDWithOtherContentIsRefused(t *testing.T) {
	declared := func(id, digest string, base uint64, name string) Change {
		return Change{ID: id, Digest: digest, Config: &ConfigChange{Base: base, Doc: &configuration.Declaration{Name: name}}}
	}
	membership := func(digest, name string) Change {
		return Change{ID: "op-m", Digest: digest, Membership: &MembershipChange{Action: AddMember, Name: name}}
	}
	log := []Change{
		declared("op-1", "d1", 0, "first"),
		declared("op-early", "e1", 7, "early"),
		membership("m1", "core-4"),
	}
	check := func(s *State) []string {
		wrong := []string{}
		for _, c := range []struct {
			name         string
			change       Change
			want         fault.Code
			wantRepeated bool
		}{
			{"same content", declared("op-1", "d1", 0, "first"), "", true},
			{"different content", declared("op-1", "d2", 1, "second"), fault.ForeignChange, false},
			{"no digest, as sent by older versions", declared("op-1", "", 0, "first"), "", true},
			{"early refusal, same content", declared("op-early", "e1", 7, "early"), fault.StaleBase, true},
			{"early refusal, different content", declared("op-early", "e2", 1, "early"), fault.ForeignChange, false},
			{"membership change, same content", membership("m1", "core-4"), "", true},
			{"membership change, different content", membership("m2", "core-5"), fault.ForeignChange, false},
		} {
			if out := apply(s, c.change); code(out) != c.want || out.Repeated != c.wantRepeated {
				wrong = append(wrong, fmt.Sprintf("%s: got %+v, want code %q, repeated %v", c.name, out, c.want, c.wantRepeated))
			}
		}
		if s.Doc.Name != "first" || s.Membership.Name != "core-4" {
			wrong = append(wrong, fmt.Sprintf("in force: got declaration %q, membership change of %q; want first, core-4", s.Doc.Name, s.Membership.Name))
		}
		return wrong
	}
	replayed := func() *State {
		s := NewState()
		for _, c := range log {
			apply(s, c)
		}
		return s
	}
	restored, err := Decode(replayed().Encode())
	if err != nil {
		t.Fatal(err)
	}
	for name, s := range map[string]*State{"replayed": replayed(), "decoded from a snapshot": restored, "copied": replayed().Snapshot()} {
		for _, wrong := range check(s) {
			t.Errorf("%s: %s", name, wrong)
		}
	}
	withoutDigests := replayed()
	for id, out := range withoutDigests.Outcomes {
		out.Digest = ""
		withoutDigests.Outcomes[id] = out
	}
	if len(check(withoutDigests)) < 2 {
		t.Error("state without digests: got fewer than two violations, want the check to find them")
	}
}
