package statemachine

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// apply hands one change to the state as the next entry of the log.
func apply(s *State, c Change) Outcome { return s.Apply(s.Index+1, c) }

// applyVersions takes versions up to a number, one on top of the other, and returns the orders.
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

// An order that was taken and is sent again is acknowledged again, or left without a clear answer where it is older
// than what is remembered; it is never refused. An order that was never taken gets a refusal only while the memory
// reaches back to its number.
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
			t.Fatalf("order %d of %d sent again: %+v", i+1, len(changes), out)
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
			t.Errorf("another order under number %d: %+v, want %q", other.version, out, other.want)
		}
	}
	if s.Version() != version || len(s.Outcomes) > MaxOutcomes {
		t.Errorf("version %d, %d outcomes", s.Version(), len(s.Outcomes))
	}
	decoded, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if out := apply(decoded, changes[0]); code(out) != fault.InDoubt {
		t.Errorf("after it was read back: %+v", out)
	}
}

// An order that builds on a version which is still to come is refused for good: a copy of it that is still under way
// must not be taken once that version is in force.
func TestVersionRefusedBeforeItsBaseIsNeverApplied(t *testing.T) {
	s := NewState()
	applyVersions(t, s, 5)
	early := versionChange(6, 7, versionDoc(7, versionRoute("b", 1, "s")), nil)
	if out := apply(s, early); code(out) != fault.StaleBase {
		t.Fatalf("ahead of its base: %+v", out)
	}
	applyVersions(t, s, 6)
	decoded, err := Decode(s.Encode())
	if err != nil {
		t.Fatal(err)
	}
	for name, state := range map[string]*State{"the state": s, "the state read back": decoded} {
		if out := apply(state, early); code(out) != fault.StaleBase || state.Version() != 6 {
			t.Errorf("%s: refused before, and now %+v, version %d in force", name, out, state.Version())
		}
	}
	renumbered := versionChange(6, 8, versionDoc(8, versionRoute("b", 1, "s")), nil)
	if out := apply(s, renumbered); out.Fault != nil {
		t.Errorf("the same under another number: %+v", out)
	}
}

// What is remembered of refusals ahead of their base is bounded, and dropped once the base is passed. Beyond the
// bound there is no clear answer, as the order may yet be taken.
func TestEarlyRefusalsAreBounded(t *testing.T) {
	s := NewState()
	applyVersions(t, s, 1)
	early := func(n int) Change {
		version := uint64(10 + n)
		return versionChange(2, version, versionDoc(version, versionRoute("b", 1, "s")), nil)
	}
	for n := range MaxEarlyRefusals {
		if out := apply(s, early(n)); code(out) != fault.StaleBase {
			t.Fatalf("refusal %d: %+v", n, out)
		}
	}
	snapshot := s.Snapshot()
	if out := apply(s, early(MaxEarlyRefusals)); code(out) != fault.InDoubt {
		t.Fatalf("beyond the bound: %+v", out)
	}
	if out := apply(s, early(0)); code(out) != fault.StaleBase || !out.Repeated {
		t.Fatalf("refused again: %+v", out)
	}
	notAboveBase := versionChange(9, 9, versionDoc(9, versionRoute("b", 1, "s")), nil)
	if out := apply(s, notAboveBase); code(out) != fault.StaleBase {
		t.Fatalf("a number that is not above its base can never be taken: %+v", out)
	}
	applyVersions(t, s, 2)
	for n := range MaxEarlyRefusals {
		if out := apply(s, early(n)); code(out) != fault.StaleBase {
			t.Fatalf("refused, and now %d: %+v", n, out)
		}
	}
	if out := apply(s, early(MaxEarlyRefusals)); out.Fault != nil {
		t.Fatalf("it was left without a clear answer and is fit now: %+v", out)
	}
	if diff := cmp.Diff(0, len(s.EarlyRefusals)); diff != "" {
		t.Errorf("refusals that stand for themselves are kept: %s", diff)
	}
	if len(snapshot.EarlyRefusals) != MaxEarlyRefusals || snapshot.EarlyRefusals[0].Base != 2 {
		t.Errorf("a frozen state has changed: %d refusals", len(snapshot.EarlyRefusals))
	}
}

// Once numbered versions are in force, a declaration without a number would set the numbers back.
func TestUnnumberedDeclarationDoesNotReplaceNumberedOne(t *testing.T) {
	s := NewState()
	changes := applyVersions(t, s, 3)
	out := apply(s, Change{ID: "op-whole", Config: &ConfigChange{Base: s.Revision, Doc: versionDoc(0)}})
	if code(out) != fault.InvalidConfig || s.Version() != 3 {
		t.Fatalf("%+v, version %d in force", out, s.Version())
	}
	for i, c := range changes {
		if out := apply(s, c); out.Fault != nil || !out.Repeated {
			t.Errorf("order %s sent again: %+v", fmt.Sprint(i+1), out)
		}
	}
}

// A numbered order that was refused on top of no numbered version stays refused, whatever comes into force without a
// number: only numbered versions never change.
func TestRefusalWithoutVersionInForceIsRemembered(t *testing.T) {
	edit := versionChange(0, 5, nil, &configuration.Edit{Version: 5, Routes: []configuration.Route{versionRoute("b", 1, "s")}})
	removesUsedService := versionChange(0, 6, nil, &configuration.Edit{Version: 6, RemoveServices: []string{"s"}})
	s := NewState()
	if out := apply(s, edit); code(out) != fault.InvalidConfig {
		t.Fatalf("an edit of nothing: %+v", out)
	}
	whole := versionDoc(0, versionRoute("a", 1, "s"))
	if out := apply(s, Change{ID: "op-whole", Config: &ConfigChange{Doc: whole}}); out.Fault != nil {
		t.Fatalf("%+v", out)
	}
	if out := apply(s, removesUsedService); code(out) != fault.InvalidConfig {
		t.Fatalf("an edit that takes away what is in use: %+v", out)
	}
	if out := apply(s, Change{ID: "op-bare", Config: &ConfigChange{Base: s.Revision, Doc: versionDoc(0)}}); out.Fault != nil {
		t.Fatalf("%+v", out)
	}
	for _, c := range []Change{edit, removesUsedService} {
		if out := apply(s, c); code(out) != fault.InvalidConfig || s.Version() != 0 {
			t.Errorf("%s was refused, and now %+v, version %d in force", c.ID, out, s.Version())
		}
	}
}

// A change ID that comes again with another content is refused, and what it named first stays acknowledged: also when the
// log is applied anew, and by a state that came from a snapshot. Each way to answer it goes through the same check.
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
			{"the same again", declared("op-1", "d1", 0, "first"), "", true},
			{"another content", declared("op-1", "d2", 1, "second"), fault.ForeignChange, false},
			{"no digest, as older versions send it", declared("op-1", "", 0, "first"), "", true},
			{"a refusal ahead of its base, the same", declared("op-early", "e1", 7, "early"), fault.StaleBase, true},
			{"a refusal ahead of its base, another", declared("op-early", "e2", 1, "early"), fault.ForeignChange, false},
			{"a change of members, the same", membership("m1", "core-4"), "", true},
			{"a change of members, another", membership("m2", "core-5"), fault.ForeignChange, false},
		} {
			if out := apply(s, c.change); code(out) != c.want || out.Repeated != c.wantRepeated {
				wrong = append(wrong, fmt.Sprintf("%s: %+v", c.name, out))
			}
		}
		if s.Doc.Name != "first" || s.Membership.Name != "core-4" {
			wrong = append(wrong, fmt.Sprintf("%s and %s are in force", s.Doc.Name, s.Membership.Name))
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
	for name, s := range map[string]*State{"replayed": replayed(), "from a snapshot": restored, "a copy": replayed().Snapshot()} {
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
		t.Error("a state that forgets the digests passes the check")
	}
}
