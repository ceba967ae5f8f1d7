package statemachine

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

func versionRoute(name string, timeoutMs int64, service string) configuration.Route {
	return configuration.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", RetryClass: configuration.Idempotent, TimeoutMs: timeoutMs, MaxAttempts: 1,
		Split: []configuration.WeightedService{{Service: service, Weight: 1}}, Source: json.RawMessage(fmt.Sprintf(`{"name":%q,"ms":%d}`, name, timeoutMs)),
	}
}

func versionDoc(version uint64, routes ...configuration.Route) *configuration.Declaration {
	return &configuration.Declaration{Version: version, Routes: routes, Services: []configuration.Service{{Name: "s"}, {Name: "t"}}}
}

// versionChange returns an operator's change whose ID is derived from its content.
func versionChange(base, version uint64, doc *configuration.Declaration, edit *configuration.Edit) Change {
	raw, err := json.Marshal([]any{base, version, doc, edit})
	if err != nil {
		panic(err)
	}
	return Change{ID: "op-" + configuration.Digest(raw), Config: &ConfigChange{Base: base, Version: version, Doc: doc, Edit: edit}}
}

func TestStateAppliesOnlyRisingVersionsOnCurrentBase(t *testing.T) {
	a, b := versionRoute("a", 100, "s"), versionRoute("b", 200, "s")
	first := versionChange(0, 5, versionDoc(5, a), nil)
	second := versionChange(5, 8, nil, &configuration.Edit{Version: 8, Routes: []configuration.Route{b}})
	type testCase struct {
		name         string
		change       Change
		wantCode     fault.Code
		wantRepeated bool
		wantVersion  uint64
	}
	s := NewState()
	for i, c := range []testCase{
		{"edit without a declaration in force", versionChange(0, 4, nil, &configuration.Edit{Version: 4}), fault.InvalidConfig, false, 0},
		{"first version", first, "", false, 5},
		{"first version resent", first, "", true, 5},
		{"other declaration with the first version's base and number", versionChange(0, 5, versionDoc(5, b), nil), fault.StaleBase, false, 5},
		{"number equal to the one in force", versionChange(5, 5, versionDoc(5, b), nil), fault.InvalidConfig, false, 5},
		{"number below the one in force", versionChange(5, 4, versionDoc(4, b), nil), fault.InvalidConfig, false, 5},
		{"base that was never in force", versionChange(6, 9, versionDoc(9, b), nil), fault.StaleBase, false, 5},
		{"edit that refers to an undeclared service", versionChange(5, 8, nil, &configuration.Edit{Version: 8, Routes: []configuration.Route{versionRoute("b", 1, "none")}}), fault.InvalidConfig, false, 5},
		{"edit that removes a service in use", versionChange(5, 8, nil, &configuration.Edit{Version: 8, RemoveServices: []string{"s"}}), fault.InvalidConfig, false, 5},
		{"edit that names a route twice", versionChange(5, 8, nil, &configuration.Edit{Version: 8, Routes: []configuration.Route{b, b}}), fault.InvalidConfig, false, 5},
		{"neither declaration nor edit", versionChange(5, 8, nil, nil), fault.InvalidConfig, false, 5},
		{"second version", second, "", false, 8},
		{"competing edit with the same number", versionChange(5, 8, nil, &configuration.Edit{Version: 8, RemoveRoutes: []string{"a"}}), fault.StaleBase, false, 8},
		{"competing edit with a higher number", versionChange(5, 9, nil, &configuration.Edit{Version: 9, RemoveRoutes: []string{"a"}}), fault.StaleBase, false, 8},
		{"first version resent after the second", first, "", true, 8},
		{"second version resent", second, "", true, 8},
		{"third version", versionChange(8, 20, versionDoc(20, b), nil), "", false, 20},
		{"second version resent after the third", second, "", true, 20},
	} {
		before, revisionBefore := s.Encode(), s.Revision
		out := s.Apply(uint64(i+1), c.change)
		code := fault.Code("")
		if out.Fault != nil {
			code = out.Fault.Code
		}
		if code != c.wantCode || out.Repeated != c.wantRepeated || s.Version() != c.wantVersion {
			t.Errorf("%s: got code %q (%v), repeated %v, version %d in force; want code %q, repeated %v, version %d",
				c.name, code, out.Fault, out.Repeated, s.Version(), c.wantCode, c.wantRepeated, c.wantVersion)
		}
		if changed := s.Revision > revisionBefore; changed != (c.wantCode == "" && !c.wantRepeated) {
			t.Errorf("%s: declaration in force replaced: got %v, want %v", c.name, changed, !changed)
		}
		if c.wantCode != "" {
			stateBefore, err := Decode(before)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(stateBefore.Doc, s.Doc, cmpopts.IgnoreFields(configuration.Declaration{}, "Index")); diff != "" {
				t.Errorf("%s: refused change modified the declaration (-before +after):\n%s", c.name, diff)
			}
		}
		if c.wantRepeated && out.Revision == 0 {
			t.Errorf("%s: repeated outcome has revision 0, want the version that was applied", c.name)
		}
	}
}

// Random versions check three properties:
//  1. The retained edits lead from their revision to the declaration in force.
//  2. A decoded state applies changes exactly as the state that was encoded.
//  3. Of the changes that compete on one base version, exactly one is applied.
func TestSeededRetainedEditsReproduceDeclarationAndOneCompetingChangeIsApplied(t *testing.T) {
	ignored := cmp.Options{cmpopts.IgnoreFields(configuration.Declaration{}, "Index"), cmpopts.EquateEmpty()}
	folds, races := 0, 0
	for seed := int64(0); seed < 12; seed++ {
		r := rand.New(rand.NewSource(seed))
		s, index := NewState(), uint64(0)
		docByRevision := map[uint64]*configuration.Declaration{}
		randomChange := func(base uint64) Change {
			version := base + 1 + uint64(r.Intn(4))
			routes := []configuration.Route{}
			for _, name := range []string{"a", "b", "c", "d", "e"} {
				if r.Intn(3) == 0 {
					routes = append(routes, versionRoute(name, 1+r.Int63n(1000), []string{"s", "t"}[r.Intn(2)]))
				}
			}
			if base == 0 || r.Intn(15) == 0 {
				return versionChange(base, version, versionDoc(version, routes...), nil)
			}
			e := &configuration.Edit{Version: version, Routes: routes}
			for _, name := range []string{"a", "b", "c", "d", "e", "none"} {
				if r.Intn(4) == 0 {
					e.RemoveRoutes = append(e.RemoveRoutes, name)
				}
			}
			if r.Intn(5) == 0 {
				e.Limits = &configuration.Limits{MaxBodyBytes: r.Int63n(100)}
			}
			return versionChange(base, version, nil, e)
		}
		for n := 0; n < 60; n++ {
			base, applied := s.Version(), 0
			competing := []Change{randomChange(base), randomChange(base), randomChange(base)}
			decoded, err := Decode(s.Encode())
			if err != nil {
				t.Fatal(err)
			}
			seen := map[string]bool{}
			for _, c := range competing {
				index++
				out, other := s.Apply(index, c), decoded.Apply(index, c)
				if diff := cmp.Diff(out, other); diff != "" {
					t.Fatalf("seed %d: outcomes of the state and of the decoded state differ (-state +decoded):\n%s", seed, diff)
				}
				if out.Fault == nil && !seen[c.ID] {
					applied++
				}
				seen[c.ID] = true
			}
			if n%10 == 0 {
				if diff := cmp.Diff(s, decoded, ignored...); diff != "" {
					t.Fatalf("seed %d: decoded state differs after the same changes (-state +decoded):\n%s", seed, diff)
				}
			}
			if races++; applied != 1 {
				t.Fatalf("seed %d: changes applied of three based on version %d: got %d, want 1", seed, base, applied)
			}
			docByRevision[s.Revision] = s.Doc
			for from := range docByRevision {
				edits, ok := s.EditsSince(from)
				if !ok || (from+s.Revision)%5 > 0 {
					continue
				}
				doc := docByRevision[from]
				for _, e := range edits {
					next, invalid := doc.Apply(e)
					if invalid != nil {
						t.Fatal(invalid)
					}
					doc = next
				}
				if folds++; len(edits) > maxEdits {
					t.Fatalf("seed %d: retained edits: got %d, want at most %d", seed, len(edits), maxEdits)
				}
				if diff := cmp.Diff(s.Doc, doc, ignored...); diff != "" {
					t.Fatalf("seed %d: edits since revision %d do not lead to the declaration in force (-in force +edited):\n%s",
						seed, from, diff)
				}
			}
		}
	}
	t.Logf("%d rounds of competing changes, %d edit sequences checked", races, folds)
	if folds < 500 {
		t.Errorf("edit sequences checked: got %d, want at least 500", folds)
	}
}

// For replicas of a service, capacity and the adapter limit count pending commands, unloading a model unloads its adapters,
// and a model that an incarnation has loaded once is recorded in EverLoaded, as it reloads from the replica's own disk.
func TestServiceCommandsRespectCapacityAndAdapters(t *testing.T) {
	s, index := NewState(), uint64(0)
	applyUpdate := func(d LeaderUpdate) []fault.Fault {
		index++
		return s.Apply(index, Change{LeaderUpdate: &d}).Faults
	}
	doc := versionDoc(1, versionRoute("a", 1, "s"))
	doc.Services[0].Engine = &configuration.Engine{Slots: 1, CacheTokens: 1, CapacityMB: 100, MaxAdapters: 2, LoadsPerSecond: 1, Models: []configuration.EngineModel{
		{Name: "m", SizeMB: 60, LoadMs: 1, Adapters: 3, AdapterMB: 5}, {Name: "n", SizeMB: 35, LoadMs: 1, Adapters: 1, AdapterMB: 5}, {Name: "o", SizeMB: 30, LoadMs: 1}}}
	index++
	if out := s.Apply(index, versionChange(0, 1, doc, nil)); out.Fault != nil {
		t.Fatal(out.Fault)
	}
	applyUpdate(LeaderUpdate{Replicas: []ReplicaUpdate{{ID: "r", Incarnation: "r", CapacityMB: 100, Slots: 1, Service: "s", ResidentKnown: true}}})
	command := func(step Action, unit string) ReplicaCommand {
		return ReplicaCommand{Replica: "r", Incarnation: "r", Revision: s.Revision, Action: step, Unit: unit}
	}
	for _, c := range []struct {
		action    Action
		unit      string
		wantCode  fault.Code
		succeeded bool
	}{
		{Load, "m/a1", fault.UnitNotLoaded, false}, {Load, "m", "", true}, {Load, "m", fault.UnitAlreadyLoaded, false}, {Load, "what", fault.PolicyInvalidResult, false},
		{Load, "m/a9", fault.PolicyInvalidResult, false}, {Load, "m/a1", "", true}, {Load, "n", "", false}, {Load, "n", "", true}, {Load, "m/a2", fault.InsufficientCapacity, false},
		{Unload, "n", "", true}, {Load, "m/a2", "", true}, {Load, "m/a3", fault.InsufficientCapacity, false}, {Unload, "m/a1", "", true}, {Load, "m/a3", "", true},
		{Unload, "m", "", true}, {Unload, "m/a3", fault.UnitNotLoaded, false}, {Load, "o", "", true},
	} {
		faults := applyUpdate(LeaderUpdate{Commands: []ReplicaCommand{command(c.action, c.unit)}})
		code := fault.Code("")
		if len(faults) > 0 {
			code = faults[0].Code
		}
		if code != c.wantCode {
			t.Fatalf("%s %s: got faults %v, want code %q", c.action, c.unit, faults, c.wantCode)
		}
		if code != "" {
			continue
		}
		pending := s.Pending["r"]
		if c.action == Load && s.ReservedMB("r") < s.Replicas["r"].Resident["m"]+pending.SizeMB {
			t.Errorf("reserved memory while the load of %s is pending: got %d MB, want at least %d MB",
				c.unit, s.ReservedMB("r"), s.Replicas["r"].Resident["m"]+pending.SizeMB)
		}
		if busy := applyUpdate(LeaderUpdate{Commands: []ReplicaCommand{command(Load, "o")}}); len(busy) != 1 || busy[0].Code != fault.ReplicaBusy {
			t.Errorf("second command while one is pending: got faults %v, want code %s", busy, fault.ReplicaBusy)
		}
		applyUpdate(LeaderUpdate{Results: []CommandResult{{Number: pending.Number, Succeeded: c.succeeded}}})
	}
	want := &Replica{ID: "r", Incarnation: "r", CapacityMB: 100, Slots: 1, Service: "s", Resident: map[string]int64{"o": 30}, EverLoaded: map[string]bool{"m": true, "n": true, "o": true}, NextAttempt: 1}
	if diff := cmp.Diff(want, s.Replicas["r"], cmpopts.IgnoreFields(Replica{}, "ModifiedIndex")); diff != "" {
		t.Errorf("replica after all commands (-want +got):\n%s", diff)
	}
	stale := command(Load, "n")
	stale.Revision--
	if faults := applyUpdate(LeaderUpdate{Commands: []ReplicaCommand{stale}}); len(faults) != 1 || faults[0].Code != fault.StaleBase {
		t.Errorf("command proposed under an older revision: got faults %v, want code %s", faults, fault.StaleBase)
	}
	if faults := applyUpdate(LeaderUpdate{Replicas: []ReplicaUpdate{{ID: "r", Incarnation: "r2", CapacityMB: 100, Slots: 1, Service: "s"}}, Commands: []ReplicaCommand{command(Load, "n")}}); len(faults) != 1 || faults[0].Code != fault.ReplicaUnknown || len(s.Replicas["r"].EverLoaded) != 0 {
		t.Errorf("command for a former incarnation: got faults %v, models ever loaded %v; want code %s, none",
			faults, s.Replicas["r"].EverLoaded, fault.ReplicaUnknown)
	}
}

// The routes of a declaration without a version are not checked when it comes into force, so an edit of it has the whole
// result checked.
func TestEditOfUncheckedDeclarationIsCheckedInFull(t *testing.T) {
	s := NewState()
	unchecked := &configuration.Declaration{Services: []configuration.Service{{Name: "s"}}, Routes: []configuration.Route{{
		Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Streaming, MaxAttempts: 1, Split: []configuration.WeightedService{{Service: "s", Weight: 1}},
	}}}
	if out := s.Apply(1, Change{ID: "a", Config: &ConfigChange{Doc: unchecked}}); out.Fault != nil {
		t.Fatal(out.Fault)
	}
	out := s.Apply(2, Change{ID: "b", Config: &ConfigChange{Version: 1, Edit: &configuration.Edit{Version: 1, Services: []configuration.Service{{Name: "s2"}}}}})
	if out.Fault == nil {
		t.Error("edit of a declaration with a route without a timeout: got no fault, want a refusal")
	}
}
