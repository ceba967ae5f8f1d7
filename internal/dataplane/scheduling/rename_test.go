package scheduling

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// placedRoute describes a route of a test declaration whose name and place are independent of each other.
type placedRoute struct {
	name, prefix, service string
	retryClass            configuration.RetryClass
	timeoutMs             int64
}

// placedDeclaration returns a declaration of routes on host "h". Zero values stand for an idempotent route and 20 s.
func placedDeclaration(routes ...placedRoute) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s"}, {Name: "other"}}}
	for _, r := range routes {
		route := configuration.Route{Name: r.name, Host: "h", Prefix: r.prefix, RetryClass: configuration.Idempotent, TimeoutMs: 20_000, MaxAttempts: 3, Split: onlyService(r.service)}
		if r.retryClass != "" {
			route.RetryClass = r.retryClass
		}
		if r.timeoutMs > 0 {
			route.TimeoutMs = r.timeoutMs
		}
		doc.Routes = append(doc.Routes, route)
	}
	return doc.Indexed()
}

// Guards against ROUTE and DENIED of review case 1: a call that waited was bound to its route's name, so it ran at the service of
// the route that got the name next, or was refused with 404 when the name was dropped.
func TestWaitingCallFollowsHostAndPathWhenRoutesAreRenamed(t *testing.T) {
	before := []placedRoute{{name: "r-1", prefix: "/drafts/", service: "s"}, {name: "r-2", prefix: "/letters/", service: "other"}}
	for _, c := range []struct {
		name  string
		after []placedRoute
		// service is where the call has to run; "" if no route matches it any more.
		service string
	}{
		{"numbered anew after a new first route", []placedRoute{{name: "r-1", prefix: "/archive/", service: "other"}, {name: "r-2", prefix: "/drafts/", service: "s"}, {name: "r-3", prefix: "/letters/", service: "other"}}, "s"},
		{"names exchanged", []placedRoute{{name: "r-2", prefix: "/drafts/", service: "s"}, {name: "r-1", prefix: "/letters/", service: "other"}}, "s"},
		{"another name at the same place", []placedRoute{{name: "r-3", prefix: "/drafts/", service: "s"}, {name: "r-2", prefix: "/letters/", service: "other"}}, "s"},
		{"names exchanged and both routes moved", []placedRoute{{name: "r-2", prefix: "/drafts/", service: "other"}, {name: "r-1", prefix: "/letters/", service: "s"}}, "other"},
		{"a longer prefix takes the path", []placedRoute{{name: "r-1", prefix: "/drafts/", service: "s"}, {name: "r-9", prefix: "/drafts/new/", service: "other"}}, "other"},
		{"the name stays and the place goes", []placedRoute{{name: "r-1", prefix: "/archive/", service: "s"}}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			updates := append(replicaUpdates("s", "s1", "s2"), replicaUpdates("other", "o1", "o2")...)
			unreachable := replicaUpdates("s", "s1")
			unreachable[0].Unreachable = true
			doc := placedDeclaration(c.after...)
			newAfter := func() *Snapshot { return newRoutedSnapshot(doc, 1, updates...) }
			check := func(situation string, attempts []*AttemptStart, final Effect) {
				t.Helper()
				if c.service == "" {
					if f := asCallFailed(final); len(attempts) > 0 || f == nil || f.Fault.Code != fault.UnknownKind || f.Fault.Run != fault.RunNone {
						t.Errorf("%s: got %d attempts and %+v, want none and the fault that there is no route", situation, len(attempts), final)
					}
					return
				}
				if len(attempts) != 1 || attempts[0].Service != c.service || !doc.Match("h", "/drafts/new/1").SendsTo(newAfter().Replicas[attempts[0].Replica].Service) {
					t.Errorf("%s: got attempts %+v and %+v, want one at service %s", situation, attempts, final, c.service)
				}
			}
			send := func(h *harness) {
				h.step(CallArrived{Call: &Call{ID: "c", Kind: "r-1", Routed: &RoutedCall{Host: "h", Path: "/drafts/new/1"}}})
			}

			h := newHarness(Options{}, newRoutedSnapshot(placedDeclaration(before...), 1, unreachable...))
			send(h)
			h.step(SnapshotReceived{Snapshot: newAfter()})
			check("queued", h.attempts["c"], h.final["c"])

			h = newHarness(Options{}, newRoutedSnapshot(placedDeclaration(before...), 1, updates...))
			send(h)
			first := *h.attempts["c"][0]
			if mayStay := c.service == first.Service; first.MaySend(newAfter(), h.nowUs, 0) != mayStay {
				t.Errorf("right before the first byte: MaySend is %t, want %t", !mayStay, mayStay)
			}
			h.step(SnapshotReceived{Snapshot: newAfter()})
			h.endAttempt("c", OutcomeRejected)
			check("rejected by its first replica", h.attempts["c"][1:], h.final["c"])
		})
	}
}

// Guards against terms that become laxer on the way: a renamed call keeps that it may run only once, and gets the timeout of the
// route that it matches now.
func TestRenamedCallKeepsItsTerms(t *testing.T) {
	updates := replicaUpdates("s", "s1", "s2")
	once := placedRoute{name: "r-1", prefix: "/drafts/", service: "s", retryClass: configuration.NonIdempotent}
	h := newHarness(Options{}, newRoutedSnapshot(placedDeclaration(once), 1, updates...))
	h.step(CallArrived{Call: &Call{ID: "c", Kind: "r-1", Routed: &RoutedCall{Host: "h", Path: "/drafts/1"}}})
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(placedDeclaration(placedRoute{name: "r-2", prefix: "/drafts/", service: "s"}), 1, updates...)})
	h.endAttempt("c", OutcomeUnknown)
	if len(h.attempts["c"]) != 1 || asCallFinished(h.final["c"]) == nil {
		t.Errorf("call that was once non-idempotent: got attempts %v, want 1 and a finished call", h.attempts["c"])
	}

	unreachable := replicaUpdates("s", "s1")
	unreachable[0].Unreachable = true
	h = newHarness(Options{}, newRoutedSnapshot(placedDeclaration(placedRoute{name: "r-1", prefix: "/drafts/", service: "s"}), 1, unreachable...))
	arrivedUs := h.nowUs
	h.step(CallArrived{Call: &Call{ID: "c", Kind: "r-1", Routed: &RoutedCall{Host: "h", Path: "/drafts/1"}}})
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(placedDeclaration(
		placedRoute{name: "r-1", prefix: "/archive/", service: "s", timeoutMs: 60_000}, placedRoute{name: "r-2", prefix: "/drafts/", service: "s", timeoutMs: 3000}), 1, unreachable...)})
	h.nowUs = arrivedUs + 3000*clock.Ms - 1
	h.step(Tick{})
	if h.final["c"] != nil {
		t.Fatalf("call was answered before the timeout of its route: %+v", h.final["c"])
	}
	h.advance(1)
	if f := asCallFailed(h.final["c"]); f == nil || f.Fault.Code != fault.Expired {
		t.Errorf("answer at the timeout of the route that matches now: got %+v, want expired", h.final["c"])
	}
}

// Guards against calls of different urgency in one queue: calls queue by the place of their route, not by its name.
func TestCallsOfRoutesThatExchangedNamesDoNotShareAQueue(t *testing.T) {
	doc := func(first, second string) *configuration.Declaration {
		doc := placedDeclaration(placedRoute{name: first, prefix: "/drafts/", service: "s"}, placedRoute{name: second, prefix: "/letters/", service: "s"})
		doc.Routes[1].Priority = 8
		return doc
	}
	unreachable := replicaUpdates("s", "s1")
	unreachable[0].Unreachable = true
	h := newHarness(Options{}, newRoutedSnapshot(doc("r-1", "r-2"), 1, unreachable...))
	h.step(CallArrived{Call: &Call{ID: "old", Kind: "r-1", Routed: &RoutedCall{Host: "h", Path: "/drafts/1"}}})
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc("r-2", "r-1"), 1, unreachable...)})
	h.step(CallArrived{Call: &Call{ID: "new", Kind: "r-1", Routed: &RoutedCall{Host: "h", Path: "/letters/1"}}})
	for key, q := range h.d.queues {
		for _, c := range q.calls {
			if c.urgency != q.calls[0].urgency {
				t.Errorf("queue %+v holds calls of urgency %d and %d", key, q.calls[0].urgency, c.urgency)
			}
		}
	}
}

// Guards against the same failure in any series of changes: routes and tenants are renamed, renumbered, exchanged, dropped and
// added back while calls wait and run. Every attempt goes to a service that the newest declaration gives to what the client sent; a
// call that the newest declaration allows is never refused for its route or its key.
func TestSeededCallsFollowWhatTheirClientsSentThroughRenames(t *testing.T) {
	prefixes, services, keys := []string{"/a/", "/b/", "/a/deep/"}, []string{"s", "other"}, []string{"k0", "k1", "k2"}
	attempts, refusals, renames := 0, 0, 0
	for seed := int64(0); seed < 300; seed++ {
		r := rand.New(rand.NewSource(seed))
		nextSnapshot := func() *Snapshot {
			doc := placedDeclaration()
			doc.Index, doc.RequireKeys = nil, true
			names, tenants := r.Perm(5), r.Perm(5)
			for i, prefix := range prefixes {
				if r.Intn(6) > 0 {
					doc.Routes = append(doc.Routes, configuration.Route{Name: fmt.Sprint("r-", names[i]), Host: "h", Prefix: prefix, RetryClass: configuration.Idempotent,
						TimeoutMs: 20_000, MaxAttempts: 3, Split: onlyService(services[r.Intn(2)])})
				}
			}
			for i, key := range keys {
				if r.Intn(6) > 0 {
					doc.Tenants = append(doc.Tenants, configuration.Tenant{Name: fmt.Sprint("t-", tenants[i]), KeyDigests: []string{configuration.KeyDigest(key)}})
				}
			}
			updates := []wire.ReplicaUpdate{}
			for i := range 4 {
				updates = append(updates, wire.ReplicaUpdate{ID: fmt.Sprint("r", i), Service: services[i%2], Unreachable: r.Intn(3) == 0, Slots: 1})
			}
			return newRoutedSnapshot(doc.Indexed(), 1, updates...)
		}
		h := newHarness(Options{QueueMax: 50}, nextSnapshot())
		check := func(effects []Effect) {
			for _, e := range effects {
				doc := h.d.snapshot.Declaration
				if st := asAttemptStart(e); st != nil {
					attempts++
					route, holder := doc.Match("h", st.Call.Routed.Path), doc.TenantOfKeyDigest(st.Call.Routed.KeyDigest)
					if route == nil || !route.SendsTo(h.d.snapshot.Replicas[st.Replica].Service) {
						t.Fatalf("seed %d: call to %s was started at %s, route is %+v", seed, st.Call.Routed.Path, st.Replica, route)
					}
					if holder == nil && doc.Tenant(st.Call.Routed.Tenant) == nil {
						t.Fatalf("seed %d: call of tenant %q was started, and neither its key nor its tenant is there", seed, st.Call.Routed.Tenant)
					}
					if route.Name != st.Call.Kind {
						renames++
					}
				}
				if f := asCallFailed(e); f != nil {
					refusals++
					route, holder := doc.Match("h", f.Call.Routed.Path), doc.TenantOfKeyDigest(f.Call.Routed.KeyDigest)
					if route != nil && holder != nil && (f.Fault.Code == fault.UnknownKind || f.Fault.Code == fault.Unauthenticated) {
						t.Fatalf("seed %d: call to %s was refused with %s, and route %s and tenant %s are there", seed, f.Call.Routed.Path, f.Fault.Code, route.Name, holder.Name)
					}
				}
			}
		}
		for n := range 200 {
			h.nowUs += r.Int63n(100 * clock.Ms)
			switch r.Intn(4) {
			case 0:
				check(h.step(SnapshotReceived{Snapshot: nextSnapshot()}))
			case 1:
				path, key := prefixes[r.Intn(3)]+"x", keys[r.Intn(3)]
				route, tenant, failure := h.d.snapshot.LookupRoute(RouteLookup{Host: "h", Path: path, Key: key})
				if failure == nil {
					check(h.step(CallArrived{Call: &Call{ID: fmt.Sprint("c", n), Kind: route.Name, Routed: &RoutedCall{Host: "h", Path: path, KeyDigest: configuration.KeyDigest(key), Route: route, Tenant: tenant}}}))
				}
			default:
				for id, started := range h.attempts {
					if c := h.d.calls[id]; c != nil && c.attempt == started[len(started)-1].Attempt {
						check(h.endAttempt(id, []Outcome{OutcomeDone, OutcomeRejected, OutcomeUnsent, OutcomeUnknown}[r.Intn(4)]))
						break
					}
				}
			}
		}
	}
	t.Logf("%d attempts, %d of them under another name than at arrival, %d refusals", attempts, renames, refusals)
	if attempts < 1000 || renames < 300 || refusals < 300 {
		t.Errorf("the runs cover too little: %d attempts, %d under another name, %d refusals", attempts, renames, refusals)
	}
}

// Guards against 401 for a key that the configuration holds: a call that waits is admitted by its key, not by the name that the
// key's tenant had. It runs under the name at its arrival, by which it was counted, and with the priority of the key's holder.
func TestWaitingCallIsAdmittedByItsKeyWhenTenantsAreRenamed(t *testing.T) {
	urgent := 0
	declare := func(keys map[string]string) *configuration.Declaration {
		doc := declarationWithTenants(keys)
		doc.Index = nil
		for i := range doc.Tenants {
			if keys[doc.Tenants[i].Name] == "k1" {
				doc.Tenants[i].Priority = &urgent
			}
		}
		doc.Routes[0].Priority = 7
		return doc.Indexed()
	}
	before := declare(map[string]string{"school": "k1"})
	for _, c := range []struct {
		name     string
		after    *configuration.Declaration
		admitted bool
		priority int
	}{
		{"the tenant gets another name", declare(map[string]string{"college": "k1"}), true, 0},
		{"the name goes to another tenant", declare(map[string]string{"college": "k1", "school": "k9"}), true, 0},
		{"the key goes to another tenant", declare(map[string]string{"school": "k9", "club": "k1"}), true, 0},
		{"the key is revoked, its tenant stays", declare(map[string]string{"school": "k9"}), true, 7},
		{"the key is revoked with its tenant", declare(map[string]string{"club": "k2"}), false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			updates, unreachable := replicaUpdates("s", "s1", "s2"), replicaUpdates("s", "s1", "s2")
			for i := range unreachable {
				unreachable[i].Unreachable = true
			}
			newAfter := func() *Snapshot { return newRoutedSnapshot(c.after, 1, updates...) }
			check := func(situation string, attempts []*AttemptStart, final Effect) {
				t.Helper()
				if !c.admitted {
					if f := asCallFailed(final); len(attempts) > 0 || f == nil || f.Fault.Code != fault.Unauthenticated || f.Fault.Run != fault.RunNone {
						t.Errorf("%s: got %d attempts and %+v, want none and an unauthenticated fault that says that it has not run", situation, len(attempts), final)
					}
					return
				}
				if len(attempts) != 1 || attempts[0].Call.Routed.Tenant != "school" || attempts[0].Priority != c.priority {
					t.Errorf("%s: got attempts %+v and %+v, want one in the name of school with priority %d", situation, attempts, final, c.priority)
				}
			}
			send := func(h *harness) {
				h.step(CallArrived{Call: &Call{ID: "c", Kind: "own", Routed: &RoutedCall{Host: "h", Path: pathOf("own"), KeyDigest: configuration.KeyDigest("k1"), Tenant: "school"}}})
			}

			h := newHarness(Options{}, newRoutedSnapshot(before, 1, unreachable...))
			send(h)
			h.step(SnapshotReceived{Snapshot: newAfter()})
			check("queued", h.attempts["c"], h.final["c"])

			h = newHarness(Options{}, newRoutedSnapshot(before, 1, updates...))
			send(h)
			first := *h.attempts["c"][0]
			if first.MaySend(newAfter(), h.nowUs, 0) != c.admitted {
				t.Errorf("right before the first byte: MaySend is %t, want %t", !c.admitted, c.admitted)
			}
			h.step(SnapshotReceived{Snapshot: newAfter()})
			h.endAttempt("c", OutcomeRejected)
			check("rejected by its first replica", h.attempts["c"][1:], h.final["c"])
		})
	}
}
