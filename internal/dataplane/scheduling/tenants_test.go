package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
)

// tenanted is a declaration whose routes "own" and "open", which is public, go to service s, with tenants by their keys.
func tenanted(keys map[string]string) *configuration.Declaration {
	doc := declaration(declared{"own", configuration.Idempotent, 3, one("s"), false}, declared{"open", configuration.Idempotent, 3, one("s"), false})
	doc.RequireKeys, doc.Index = true, nil
	doc.Routes[1].Public = true
	for name, key := range keys {
		doc.Tenants = append(doc.Tenants, configuration.Tenant{Name: name, KeyDigests: []string{configuration.KeyDigest(key)}})
	}
	return doc.Indexed()
}

func TestARequestIsFoundItsRouteAndTheTenantOfItsKey(t *testing.T) {
	s := stands(tenanted(map[string]string{"school": "k1", "club": "k2"}), 1)
	keyless := stands(declaration(declared{"own", configuration.Idempotent, 3, one("s"), false}), 1)
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
		{"the last tenant is gone", stands(tenanted(nil), 1), RouteLookup{Host: "h", Path: "/own/x", Key: "k1"}, "", "", fault.Unauthenticated},
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
func TestACallOfATenantThatWasRemovedIsNotSent(t *testing.T) {
	before, after := tenanted(map[string]string{"school": "k1"}), tenanted(map[string]string{"club": "k2"})
	rows := at("s", "r1", "r2")
	unreachable := append([]wire.ReplicaUpdate(nil), rows...)
	for i := range unreachable {
		unreachable[i].Unreachable = true
	}
	call := func(k *harness, route string) {
		k.step(CallArrived{Call: &Call{ID: "c", Kind: route, Routed: &RoutedCall{Tenant: "school"}}})
	}
	refused := func(t *testing.T, k *harness, run string) {
		t.Helper()
		if f := failed(k.final["c"]); f == nil || f.Fault.Code != fault.Unauthenticated || f.Fault.Run != run {
			t.Errorf("%+v", k.final["c"])
		}
	}
	t.Run("while it waits", func(t *testing.T) {
		k := newHarness(Options{}, stands(before, 1, unreachable...))
		call(k, "own")
		k.step(SnapshotReceived{Snapshot: stands(after, 1, rows...)})
		refused(t, k, fault.RunNone)
		if n := len(k.attempts["c"]); n > 0 {
			t.Errorf("%d attempts", n)
		}
	})
	t.Run("before it comes", func(t *testing.T) {
		k := newHarness(Options{}, stands(after, 1, rows...))
		call(k, "own")
		refused(t, k, fault.RunNone)
	})
	t.Run("before its first byte", func(t *testing.T) {
		k := newHarness(Options{}, stands(before, 1, rows...))
		call(k, "own")
		start := *k.attempts["c"][0]
		if !start.MaySend(stands(before, 1, rows...), k.nowUs, 0) {
			t.Error("it may not be sent while its tenant is known")
		}
		if start.MaySend(stands(after, 1, rows...), k.nowUs, 0) {
			t.Error("it may be sent")
		}
		k.step(SnapshotReceived{Snapshot: stands(after, 1, rows...)})
		k.end("c", OutcomeUnsent)
		refused(t, k, fault.RunNone)
	})
	t.Run("after it may have run", func(t *testing.T) {
		k := newHarness(Options{}, stands(before, 1, rows...))
		call(k, "own")
		k.step(SnapshotReceived{Snapshot: stands(after, 1, rows...)})
		k.end("c", OutcomeUnknown)
		refused(t, k, fault.RunUnknown)
		if n := len(k.attempts["c"]); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
	t.Run("on a public route", func(t *testing.T) {
		k := newHarness(Options{}, stands(before, 1, unreachable...))
		call(k, "open")
		k.step(SnapshotReceived{Snapshot: stands(after, 1, rows...)})
		if n := len(k.attempts["c"]); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
}

// withPriorities is tenanted with a priority for each tenant; its key is its name.
func withPriorities(of map[string]int) *configuration.Declaration {
	keys := map[string]string{}
	for name := range of {
		keys[name] = name
	}
	doc := tenanted(keys)
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
func TestATenantsPriorityDecidesItsTurnInTheQueue(t *testing.T) {
	rows := []wire.ReplicaUpdate{{ID: "r1", Service: "s", Slots: 1}}
	crowd := func(doc *configuration.Declaration) *harness {
		k := newHarness(Options{}, stands(doc, 1, rows...))
		for i := range 60 {
			for _, name := range []string{"slow", "fast"} {
				k.step(CallArrived{Call: &Call{ID: fmt.Sprintf("%s-%d", name, i), Kind: "own", Routed: &RoutedCall{Tenant: name}}})
			}
		}
		return k
	}
	serve := func(t *testing.T, k *harness, calls int) map[string]int {
		t.Helper()
		served := map[string]int{}
		for range calls {
			ended := false
			for id := range k.attempts {
				if k.final[id] == nil {
					k.nowUs++
					served[id[:4]]++
					k.end(id, OutcomeDone)
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
		k := crowd(withPriorities(map[string]int{"fast": 0, "slow": 6}))
		if served := serve(t, k, 50); served["slow"] < 3 || served["fast"] < 6*served["slow"] {
			t.Errorf("%v were served", served)
		}
		for id, attempts := range k.attempts {
			if want := map[string]int{"fast": 0, "slow": 6}[id[:4]]; attempts[0].Priority != want {
				t.Errorf("%s is sent with priority %d, want %d", id, attempts[0].Priority, want)
			}
		}
	})
	t.Run("a change of priority reaches what waits", func(t *testing.T) {
		k := crowd(withPriorities(map[string]int{"fast": 6, "slow": 0}))
		k.step(SnapshotReceived{Snapshot: stands(withPriorities(map[string]int{"fast": 0, "slow": 6}), 1, rows...)})
		if served := serve(t, k, 50); served["fast"] < 35 {
			t.Errorf("%v were served", served)
		}
	})
	t.Run("a full queue makes room for the one below its share", func(t *testing.T) {
		k := newHarness(Options{QueueMax: 10}, stands(withPriorities(map[string]int{"fast": 0, "slow": 6}), 1, rows...))
		for i := range 11 {
			k.step(CallArrived{Call: &Call{ID: fmt.Sprintf("slow-%d", i), Kind: "own", Routed: &RoutedCall{Tenant: "slow"}}})
		}
		if k.finalCount != 0 {
			t.Fatalf("%d were refused before the queue was full", k.finalCount)
		}
		k.step(CallArrived{Call: &Call{ID: "fast", Kind: "own", Routed: &RoutedCall{Tenant: "fast"}}})
		if k.finalCount != 1 || k.final["fast"] != nil {
			t.Errorf("%d were refused: %v", k.finalCount, k.final)
		}
	})
}
