package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// tenanted is a declaration whose routes "own" and "open", which is public, go to service s, with tenants by their keys.
func declarationWithTenants(keys map[string]string) *configuration.Declaration {
	doc := routedDeclaration(routeSpec{"own", configuration.Idempotent, 3, onlyService("s"), false}, routeSpec{"open", configuration.Idempotent, 3, onlyService("s"), false})
	doc.RequireKeys, doc.Index = true, nil
	doc.Routes[1].Public = true
	for name, key := range keys {
		doc.Tenants = append(doc.Tenants, configuration.Tenant{Name: name, KeyDigests: []string{configuration.KeyDigest(key)}})
	}
	return doc.Indexed()
}

func TestLookupRouteFindsRouteAndTenantOfKey(t *testing.T) {
	s := newRoutedSnapshot(declarationWithTenants(map[string]string{"school": "k1", "club": "k2"}), 1)
	keyless := newRoutedSnapshot(routedDeclaration(routeSpec{"own", configuration.Idempotent, 3, onlyService("s"), false}), 1)
	for _, c := range []struct {
		what   string
		in     *Snapshot
		lookup RouteLookup
		route  string
		tenant string
		code   fault.Code
	}{
		{"its key", s, RouteLookup{Host: "h", Path: "/own/x", Key: "k1"}, "own", "school", ""},
		{"another's key", s, RouteLookup{Host: "h", Path: "/own/x", Key: "k2"}, "own", "club", ""},
		{"no key", s, RouteLookup{Host: "h", Path: "/own/x", Key: ""}, "", "", fault.Unauthenticated},
		{"an unknown key", s, RouteLookup{Host: "h", Path: "/own/x", Key: "k3"}, "", "", fault.Unauthenticated},
		{"a digest", s, RouteLookup{Host: "h", Path: "/own/x", Key: configuration.KeyDigest("k1")}, "", "", fault.Unauthenticated},
		{"public, its key", s, RouteLookup{Host: "h", Path: "/open/x", Key: "k1"}, "open", "school", ""},
		{"public, no key", s, RouteLookup{Host: "h", Path: "/open/x", Key: ""}, "open", "", ""},
		{"public, an unknown key", s, RouteLookup{Host: "h", Path: "/open/x", Key: "k3"}, "", "", fault.Unauthenticated},
		{"no route, its key", s, RouteLookup{Host: "h", Path: "/none/x", Key: "k1"}, "", "", fault.NotFound},
		{"no route, no key", s, RouteLookup{Host: "h", Path: "/none/x", Key: ""}, "", "", fault.NotFound},
		{"no tenants are declared", keyless, RouteLookup{Host: "h", Path: "/own/x", Key: "k1"}, "own", "", ""},
		{"the last tenant is gone", newRoutedSnapshot(declarationWithTenants(nil), 1), RouteLookup{Host: "h", Path: "/own/x", Key: "k1"}, "", "", fault.Unauthenticated},
	} {
		route, tenant, bad := c.in.LookupRoute(c.lookup)
		name, code := "", fault.Code("")
		if route != nil {
			name = route.Name
		}
		if bad != nil {
			code = bad.Code
		}
		if name != c.route || tenant != c.tenant || code != c.code {
			t.Errorf("%s: route %q of tenant %q, %v", c.what, name, tenant, bad)
		}
	}
}

// A tenant that was removed since its call was taken: what has not run is never sent, and is refused as not run.
func TestCallOfRemovedTenantIsNotSent(t *testing.T) {
	before, after := declarationWithTenants(map[string]string{"school": "k1"}), declarationWithTenants(map[string]string{"club": "k2"})
	rows := replicaUpdates("s", "r1", "r2")
	unreachable := append([]wire.ReplicaUpdate(nil), rows...)
	for i := range unreachable {
		unreachable[i].Unreachable = true
	}
	call := func(h *harness, route string) {
		h.step(CallArrived{Call: &Call{ID: "c", Kind: route, Routed: &RoutedCall{Tenant: "school"}}})
	}
	refused := func(t *testing.T, h *harness, run string) {
		t.Helper()
		if f := asCallFailed(h.final["c"]); f == nil || f.Fault.Code != fault.Unauthenticated || f.Fault.Run != run {
			t.Errorf("%+v", h.final["c"])
		}
	}
	t.Run("while it waits", func(t *testing.T) {
		h := newHarness(Options{}, newRoutedSnapshot(before, 1, unreachable...))
		call(h, "own")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(after, 1, rows...)})
		refused(t, h, fault.RunNone)
		if n := len(h.attempts["c"]); n > 0 {
			t.Errorf("%d attempts", n)
		}
	})
	t.Run("before it comes", func(t *testing.T) {
		h := newHarness(Options{}, newRoutedSnapshot(after, 1, rows...))
		call(h, "own")
		refused(t, h, fault.RunNone)
	})
	t.Run("before its first byte", func(t *testing.T) {
		h := newHarness(Options{}, newRoutedSnapshot(before, 1, rows...))
		call(h, "own")
		start := *h.attempts["c"][0]
		if !start.MaySend(newRoutedSnapshot(before, 1, rows...), h.nowUs, 0) {
			t.Error("it may not be sent while its tenant is known")
		}
		if start.MaySend(newRoutedSnapshot(after, 1, rows...), h.nowUs, 0) {
			t.Error("it may be sent")
		}
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(after, 1, rows...)})
		h.endAttempt("c", OutcomeUnsent)
		refused(t, h, fault.RunNone)
	})
	t.Run("after it may have run", func(t *testing.T) {
		h := newHarness(Options{}, newRoutedSnapshot(before, 1, rows...))
		call(h, "own")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(after, 1, rows...)})
		h.endAttempt("c", OutcomeUnknown)
		refused(t, h, fault.RunUnknown)
		if n := len(h.attempts["c"]); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
	t.Run("on a public route", func(t *testing.T) {
		h := newHarness(Options{}, newRoutedSnapshot(before, 1, unreachable...))
		call(h, "open")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(after, 1, rows...)})
		if n := len(h.attempts["c"]); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
}

// declarationWithPriorities is tenanted with a priority for each tenant; its key is its name.
func declarationWithPriorities(of map[string]int) *configuration.Declaration {
	keys := map[string]string{}
	for name := range of {
		keys[name] = name
	}
	doc := declarationWithTenants(keys)
	doc.Index = nil
	for i := range doc.Tenants {
		priority := of[doc.Tenants[i].Name]
		doc.Tenants[i].Priority = &priority
	}
	for i := range doc.Routes {
		doc.Routes[i].Priority = 3
	}
	return doc.Indexed()
}

// Two tenants of different priorities on one route: the more urgent one's calls go first, the other's are not starved.
func TestQueueFollowsTenantPriority(t *testing.T) {
	rows := []wire.ReplicaUpdate{{ID: "r1", Service: "s", Slots: 1}}
	crowd := func(doc *configuration.Declaration) *harness {
		h := newHarness(Options{}, newRoutedSnapshot(doc, 1, rows...))
		for i := range 60 {
			for _, name := range []string{"slow", "fast"} {
				h.step(CallArrived{Call: &Call{ID: fmt.Sprintf("%s-%d", name, i), Kind: "own", Routed: &RoutedCall{Tenant: name}}})
			}
		}
		return h
	}
	serve := func(t *testing.T, h *harness, calls int) map[string]int {
		t.Helper()
		served := map[string]int{}
		for range calls {
			ended := false
			for id := range h.attempts {
				if h.final[id] == nil {
					h.nowUs++
					served[id[:4]]++
					h.endAttempt(id, OutcomeDone)
					ended = true
					break
				}
			}
			if !ended {
				t.Fatal("nothing runs though calls wait")
			}
		}
		return served
	}
	t.Run("the more urgent one's go first", func(t *testing.T) {
		h := crowd(declarationWithPriorities(map[string]int{"fast": 0, "slow": 6}))
		if served := serve(t, h, 50); served["slow"] < 3 || served["fast"] < 6*served["slow"] {
			t.Errorf("%v were served", served)
		}
		for id, attempts := range h.attempts {
			if want := map[string]int{"fast": 0, "slow": 6}[id[:4]]; attempts[0].Priority != want {
				t.Errorf("%s is sent with priority %d, want %d", id, attempts[0].Priority, want)
			}
		}
	})
	t.Run("a change of priority reaches what waits", func(t *testing.T) {
		h := crowd(declarationWithPriorities(map[string]int{"fast": 6, "slow": 0}))
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(declarationWithPriorities(map[string]int{"fast": 0, "slow": 6}), 1, rows...)})
		if served := serve(t, h, 50); served["fast"] < 35 {
			t.Errorf("%v were served", served)
		}
	})
	t.Run("a full queue makes room for the one below its share", func(t *testing.T) {
		h := newHarness(Options{QueueMax: 10}, newRoutedSnapshot(declarationWithPriorities(map[string]int{"fast": 0, "slow": 6}), 1, rows...))
		for i := range 11 {
			h.step(CallArrived{Call: &Call{ID: fmt.Sprintf("slow-%d", i), Kind: "own", Routed: &RoutedCall{Tenant: "slow"}}})
		}
		if h.finalCount != 0 {
			t.Fatalf("%d were refused before the queue was full", h.finalCount)
		}
		h.step(CallArrived{Call: &Call{ID: "fast", Kind: "own", Routed: &RoutedCall{Tenant: "fast"}}})
		if h.finalCount != 1 || h.final["fast"] != nil {
			t.Errorf("%d were refused: %v", h.finalCount, h.final)
		}
	})
}
