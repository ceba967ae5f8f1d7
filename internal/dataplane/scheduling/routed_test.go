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

// routeSpec describes a route of a test declaration.
type routeSpec struct {
	name         string
	retryClass   configuration.RetryClass
	attemptLimit int
	split        []configuration.WeightedService
	resumable    bool
}

// pathOf returns a path within the prefix that routedDeclaration gives a route of this name.
func pathOf(route string) string { return "/" + route + "/x" }

// onlyService returns a split that leads to one service.
func onlyService(service string) []configuration.WeightedService {
	return []configuration.WeightedService{{Service: service, Weight: 1}}
}

// routedDeclaration returns a declaration for routed mode with the services "s" and "other", without engines, and
// "engine", whose engine has the models "m" and "n".
func routedDeclaration(routes ...routeSpec) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{
		{Name: "s"}, {Name: "other"},
		{Name: "engine", Engine: &configuration.Engine{Slots: 4, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 1, LoadMs: 1}, {Name: "n", SizeMB: 1, LoadMs: 1}}}},
	}}
	for _, r := range routes {
		doc.Routes = append(doc.Routes, configuration.Route{
			Name: r.name, Host: "h", Prefix: "/" + r.name + "/", RetryClass: r.retryClass, Resumable: r.resumable, TimeoutMs: 20_000, MaxAttempts: r.attemptLimit, Split: r.split,
		})
	}
	return doc.Indexed()
}

// snapshotCount is the number of snapshots from newRoutedSnapshot, so that each has a higher number and revision.
var snapshotCount uint64

// newRoutedSnapshot returns a snapshot for routed mode. The ID of each replica is also its incarnation and address, and the
// default is 4 slots.
func newRoutedSnapshot(doc *configuration.Declaration, gateways int, updates ...wire.ReplicaUpdate) *Snapshot {
	snapshotCount++
	s := &Snapshot{Number: snapshotCount, Revision: snapshotCount, Declaration: doc, Gateways: gateways, Replicas: map[string]*wire.ReplicaUpdate{}, ByService: map[string][]*wire.ReplicaUpdate{}}
	for _, r := range updates {
		r.Incarnation, r.Addr = r.ID, r.ID
		if r.Slots == 0 {
			r.Slots = 4
		}
		s.Replicas[r.ID] = &r
		s.IDs = append(s.IDs, r.ID)
		s.ByService[r.Service] = append(s.ByService[r.Service], &r)
	}
	return s
}

// replicaUpdates returns replicas of a service that have model "m" loaded.
func replicaUpdates(service string, ids ...string) []wire.ReplicaUpdate {
	updates := []wire.ReplicaUpdate{}
	for _, id := range ids {
		updates = append(updates, wire.ReplicaUpdate{ID: id, Service: service, Loaded: []string{"m"}})
	}
	return updates
}

// harness drives one decider and records the attempts and the final effect (*CallFailed or *CallFinished) of each call, by call ID.
// finalCount is the total number of final effects.
type harness struct {
	d          *Decider
	nowUs      int64
	attempts   map[string][]*AttemptStart
	final      map[string]Effect
	finalCount int
}

// newHarness returns a harness with the snapshot s. The default of QueueMax is 1000.
func newHarness(opts Options, s *Snapshot) *harness {
	if opts.QueueMax == 0 {
		opts.QueueMax = 1000
	}
	h := &harness{d: New(opts), nowUs: clock.Sec, attempts: map[string][]*AttemptStart{}, final: map[string]Effect{}}
	h.step(SnapshotReceived{Snapshot: s})
	return h
}

// step applies an event at the current time and records the effects.
func (h *harness) step(ev Event) []Effect {
	effects := h.d.Step(h.nowUs, ev)
	for _, e := range effects {
		switch {
		case asAttemptStart(e) != nil:
			h.attempts[asAttemptStart(e).Call.ID] = append(h.attempts[asAttemptStart(e).Call.ID], asAttemptStart(e))
		case asCallFailed(e) != nil:
			h.final[asCallFailed(e).Call.ID] = e
			h.finalCount++
		case asCallFinished(e) != nil:
			h.final[asCallFinished(e).Call.ID] = e
			h.finalCount++
		}
	}
	return effects
}

// sendCall lets a call with 100 prompt tokens arrive.
func (h *harness) sendCall(id, route, model string) *Call {
	c := &Call{ID: id, Kind: route, Model: model, Routed: &RoutedCall{Host: "h", Path: pathOf(route), PromptTokens: 100}}
	h.step(CallArrived{Call: c})
	return c
}

// endAttempt ends the newest attempt of a call.
func (h *harness) endAttempt(id string, e Outcome) []Effect {
	attempts := h.attempts[id]
	return h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e})
}

// advance moves the time on by us microseconds and applies a Tick.
func (h *harness) advance(us int64) {
	h.nowUs += us
	h.step(Tick{})
}

func TestCallIsRetriedOnItsOnlyReplicaAfterBackoff(t *testing.T) {
	for _, c := range []struct {
		outcome   Outcome
		backoffUs int64
	}{{OutcomeRejected, rejectedBackoffUs}, {OutcomeModelMissing, missingBackoffUs}, {OutcomeUnsent, minConnectBackoffUs}} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"once", configuration.NonIdempotent, 2, onlyService("engine"), false}), 1, replicaUpdates("engine", "r1")...))
		h.sendCall("c", "once", "m")
		h.endAttempt("c", c.outcome)
		h.advance(c.backoffUs - clock.Ms)
		if n := len(h.attempts["c"]); n != 1 {
			t.Errorf("%s: attempts before the backoff ended: got %d, want 1", c.outcome, n)
		}
		h.advance(2 * clock.Ms)
		if n := len(h.attempts["c"]); n != 2 {
			t.Fatalf("%s: attempts after the backoff: got %d, want 2", c.outcome, n)
		}
		h.endAttempt("c", OutcomeDone)
		if f := h.final["c"]; f == nil || asCallFinished(f) == nil || asCallFinished(f).Outcome != OutcomeDone {
			t.Errorf("%s: answer after the retry: got %+v, want a call finished as done", c.outcome, f)
		}
	}
}

func TestRetryPrefersUntriedReplica(t *testing.T) {
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"once", configuration.NonIdempotent, 3, onlyService("s"), false}), 1, replicaUpdates("s", "r1", "r2")...))
	h.sendCall("c", "once", "")
	h.endAttempt("c", OutcomeRejected)
	if attempts := h.attempts["c"]; len(attempts) != 2 || attempts[0].Replica == attempts[1].Replica {
		t.Fatalf("attempts: got %v, want 2 at different replicas", attempts)
	}
}

func TestCallIsAnsweredAtOnceAfterLastAttempt(t *testing.T) {
	for _, c := range []struct {
		retryClass configuration.RetryClass
		outcomes   []Outcome
		wantRun    string
		wantFailed bool
	}{
		{configuration.NonIdempotent, []Outcome{OutcomeRejected, OutcomeModelMissing}, fault.RunNone, true},
		{configuration.NonIdempotent, []Outcome{OutcomeRejected, OutcomeUnknown}, "", false},
		{configuration.NonIdempotent, []Outcome{OutcomeUnknown}, "", false},
		{configuration.NonIdempotent, []Outcome{OutcomeFailed}, "", false},
		{configuration.Idempotent, []Outcome{OutcomeUnknown, OutcomeBroken}, "", false},
		{configuration.Idempotent, []Outcome{OutcomeBroken, OutcomeRejected}, "", false},
	} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", c.retryClass, 2, onlyService("s"), false}), 1, replicaUpdates("s", "r1", "r2", "r3")...))
		h.sendCall("c", "r", "")
		for i, e := range c.outcomes {
			if len(h.attempts["c"]) != i+1 {
				t.Fatalf("%v: attempts before outcome %d: got %d, want %d", c.outcomes, i, len(h.attempts["c"]), i+1)
			}
			h.endAttempt("c", e)
		}
		f := h.final["c"]
		switch {
		case f == nil:
			t.Errorf("%s %v: no answer after the last attempt", c.retryClass, c.outcomes)
		case c.wantFailed && (asCallFailed(f) == nil || asCallFailed(f).Fault.Run != c.wantRun || asCallFailed(f).Fault.RetryMs <= 0):
			t.Errorf("%s %v: got %+v, want a fault with run %q and a retry delay", c.retryClass, c.outcomes, asCallFailed(f), c.wantRun)
		case !c.wantFailed && asCallFinished(f) == nil:
			t.Errorf("%s %v: got fault %+v, want a finished call", c.retryClass, c.outcomes, asCallFailed(f).Fault)
		}
	}
}

// The declaration changes while a call is queued or running.
func TestCallFollowsChangedRoute(t *testing.T) {
	base := routeSpec{"r", configuration.NonIdempotent, 3, onlyService("s"), false}
	moved := routeSpec{"r", configuration.NonIdempotent, 3, onlyService("other"), false}
	updates := append(replicaUpdates("s", "r1"), replicaUpdates("other", "o1")...)
	queued := func(next *configuration.Declaration) *harness {
		unreachable := append([]wire.ReplicaUpdate(nil), updates...)
		unreachable[0].Unreachable, unreachable[1].Unreachable = true, true
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(base), 1, unreachable...))
		h.sendCall("c", "r", "")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(next, 1, updates...)})
		return h
	}
	if h := queued(routedDeclaration()); h.final["c"] == nil || asCallFailed(h.final["c"]) == nil || asCallFailed(h.final["c"]).Fault.Code != fault.UnknownKind || asCallFailed(h.final["c"]).Fault.Run != fault.RunNone {
		t.Errorf("route removed while the call is queued: got %+v, want an unknown kind fault that states that the call has not run",
			h.final["c"])
	}
	if h := queued(routedDeclaration(moved)); len(h.attempts["c"]) != 1 || h.attempts["c"][0].Replica != "o1" {
		t.Errorf("route moved while the call is queued: got attempts %v, want 1 at o1", h.attempts["c"])
	}
	if h := queued(routedDeclaration(routeSpec{"r", configuration.NonIdempotent, 3, []configuration.WeightedService{{Service: "s", Weight: 0}, {Service: "other", Weight: 1}}, false})); len(h.attempts["c"]) != 1 || h.attempts["c"][0].Replica != "o1" {
		t.Errorf("weight of the service set to 0 while the call is queued: got attempts %v, want 1 at o1", h.attempts["c"])
	}

	running := func(next *configuration.Declaration, e Outcome) *harness {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(base), 1, updates...))
		h.sendCall("c", "r", "")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(next, 1, updates...)})
		h.endAttempt("c", e)
		return h
	}
	if h := running(routedDeclaration(), OutcomeDone); asCallFinished(h.final["c"]) == nil || asCallFinished(h.final["c"]).Outcome != OutcomeDone {
		t.Errorf("route removed while the attempt runs: got %+v, want a call finished as done", h.final["c"])
	}
	if h := running(routedDeclaration(), OutcomeRejected); h.final["c"] == nil || asCallFailed(h.final["c"]) == nil || asCallFailed(h.final["c"]).Fault.Run != fault.RunNone || len(h.attempts["c"]) != 1 {
		t.Errorf("route removed while the attempt runs, then rejected: got %+v, want a fault after 1 attempt that states that the call has not run",
			h.final["c"])
	}
	if h := running(routedDeclaration(moved), OutcomeRejected); len(h.attempts["c"]) != 2 || h.attempts["c"][1].Replica != "o1" {
		t.Errorf("route moved while the attempt runs, then rejected: got attempts %v, want the second at o1", h.attempts["c"])
	}
	if h := running(routedDeclaration(moved), OutcomeUnknown); len(h.attempts["c"]) != 1 || asCallFinished(h.final["c"]) == nil {
		t.Errorf("route moved while the attempt runs, then unknown outcome: got attempts %v, want 1 and a finished call", h.attempts["c"])
	}
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}), 1, updates...))
	h.sendCall("c", "r", "")
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(routedDeclaration(base), 1, updates...)})
	if h.endAttempt("c", OutcomeUnknown); len(h.attempts["c"]) != 1 {
		t.Errorf("route no longer idempotent, then unknown outcome: got attempts %v, want 1", h.attempts["c"])
	}

	for name, newer := range map[string]*Snapshot{
		"route removed":              newRoutedSnapshot(routedDeclaration(), 1, updates...),
		"route moved":                newRoutedSnapshot(routedDeclaration(moved), 1, updates...),
		"replica removed":            newRoutedSnapshot(routedDeclaration(base), 1, updates[1:]...),
		"replica draining":           newRoutedSnapshot(routedDeclaration(base), 1, wire.ReplicaUpdate{ID: "r1", Service: "s", Draining: true}),
		"replica of another service": newRoutedSnapshot(routedDeclaration(base), 1, replicaUpdates("other", "r1")...),
	} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(base), 1, updates...))
		h.sendCall("c", "r", "")
		st := *h.attempts["c"][0]
		if !st.MaySend(h.d.snapshot, h.nowUs, 0) || st.MaySend(newer, h.nowUs, 0) || st.MaySend(h.d.snapshot, st.DeadlineUs, 0) {
			t.Errorf("%s before the first byte: MaySend must be true only under the older snapshot and before the deadline", name)
		}
	}
}

// The outcome of an attempt determines for how long its replica gets no further attempt, and whether this holds for other models too.
func TestReplicaBackoffScopeDependsOnOutcome(t *testing.T) {
	doc := routedDeclaration(routeSpec{"r", configuration.NonIdempotent, 3, onlyService("engine"), false})
	update := wire.ReplicaUpdate{ID: "r1", Service: "engine", Loaded: []string{"m", "n"}}
	for _, c := range []struct {
		outcome               Outcome
		sameModel, otherModel bool
		backoffUs             int64
	}{{OutcomeModelMissing, false, true, missingBackoffUs}, {OutcomeRejected, false, false, rejectedBackoffUs}, {OutcomeWrongIncarnation, false, false, wrongIncarnationBackoffUs}, {OutcomeDone, true, true, 0}} {
		h := newHarness(Options{}, newRoutedSnapshot(doc, 1, update))
		h.sendCall("first", "r", "m")
		h.endAttempt("first", c.outcome)
		h.sendCall("same", "r", "m")
		h.sendCall("beside", "r", "n")
		if sameModel, otherModel := len(h.attempts["same"]) > 0, len(h.attempts["beside"]) > 0; sameModel != c.sameModel || otherModel != c.otherModel {
			t.Errorf("%s: replica gets calls for the same model %t and for another %t, want %t and %t",
				c.outcome, sameModel, otherModel, c.sameModel, c.otherModel)
		}
		if h.advance(c.backoffUs + clock.Ms); c.backoffUs < 15*clock.Sec && len(h.attempts["same"]) == 0 {
			t.Errorf("%s: replica gets no call for the same model after the backoff", c.outcome)
		}
	}
}

// For any order of events:
//
//  1. A call that is not retryable is retried only if it certainly has not run.
//  2. A fault that states that a call has not run is true.
//  3. Each call is answered exactly once and has at most one attempt at a time.
//  4. Attempts go only to services that the newest declaration routes the call to, at replicas that are reachable, not draining
//     and of the incarnation in the snapshot.
//  5. No call has more than maxCallAttempts attempts.
func TestSeededCallInvariantsUnderChangingRoutes(t *testing.T) {
	outcomes := []Outcome{OutcomeDone, OutcomeDone, OutcomeFailed, OutcomeRejected, OutcomeRejected, OutcomeModelMissing, OutcomeWrongIncarnation, OutcomeUnsent, OutcomeBroken, OutcomeUnknown, OutcomeTimedOut}
	retries, failures, answered := 0, 0, 0
	for seed := int64(0); seed < 300; seed++ {
		r := rand.New(rand.NewSource(seed))
		names := []string{"a", "b", "c"}
		nextSnapshot := func() *Snapshot {
			routes := []routeSpec{}
			for _, n := range names {
				if r.Intn(8) == 0 {
					continue
				}
				split := [][]configuration.WeightedService{onlyService("s"), onlyService("other"), {{Service: "s", Weight: r.Intn(3)}, {Service: "other", Weight: 1}}}[r.Intn(3)]
				retryClass := []configuration.RetryClass{configuration.Idempotent, configuration.NonIdempotent, configuration.Streaming}[r.Intn(3)]
				routes = append(routes, routeSpec{n, retryClass, 1 + r.Intn(3), split, r.Intn(2) == 0})
			}
			updates := []wire.ReplicaUpdate{}
			for i := range 5 {
				if r.Intn(4) > 0 {
					updates = append(updates, wire.ReplicaUpdate{ID: fmt.Sprint("r", i), Service: []string{"s", "other"}[i%2], Draining: r.Intn(6) == 0, Unreachable: r.Intn(6) == 0, Slots: 1 + r.Intn(3)})
				}
			}
			return newRoutedSnapshot(routedDeclaration(routes...), 1+r.Intn(4), updates...)
		}
		h := newHarness(Options{QueueMax: 6}, nextSnapshot())
		mayHaveRun, open := map[string]bool{}, map[string]bool{}
		check := func(effects []Effect) {
			for _, e := range effects {
				switch {
				case asAttemptStart(e) != nil:
					id, route, update := asAttemptStart(e).Call.ID, h.d.snapshot.Declaration.Route(asAttemptStart(e).Call.Kind), h.d.snapshot.Replicas[asAttemptStart(e).Replica]
					if route == nil || update == nil || update.Draining || update.Unreachable || !route.SendsTo(update.Service) || asAttemptStart(e).Incarnation != update.Incarnation {
						t.Fatalf("seed %d: attempt of call %s at replica %+v is not allowed by route %+v", seed, id, update, route)
					}
					if mayHaveRun[id] {
						if retries++; !route.Retryable() {
							t.Fatalf("seed %d: non-retryable call %s may have run and is retried", seed, id)
						}
					}
					if open[id] {
						t.Fatalf("seed %d: call %s has two attempts at once", seed, id)
					}
					open[id] = true
				case asCallFailed(e) != nil:
					if failures++; asCallFailed(e).Fault.Run == fault.RunNone && mayHaveRun[asCallFailed(e).Call.ID] {
						t.Fatalf("seed %d: call %s may have run, but its fault states that it has not: %+v",
							seed, asCallFailed(e).Call.ID, asCallFailed(e).Fault)
					}
				}
			}
		}
		calls := 0
		for n := 0; n < 250; n++ {
			h.nowUs += r.Int63n(200 * clock.Ms)
			switch r.Intn(6) {
			case 0, 1:
				calls++
				name := names[r.Intn(3)]
				c := &Call{ID: fmt.Sprint("c", calls), Kind: name, Routed: &RoutedCall{Host: "h", Path: pathOf(name)}}
				check(h.step(CallArrived{Call: c}))
			case 2:
				check(h.step(SnapshotReceived{Snapshot: nextSnapshot()}))
			default:
				for id := range open {
					if open[id] {
						attempts := h.attempts[id]
						e := outcomes[r.Intn(len(outcomes))]
						mayHaveRun[id], open[id] = mayHaveRun[id] || !hasNotRun(e), false
						check(h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e}))
						break
					}
				}
			}
		}
		for round := 0; round < 20 && len(h.final) < calls; round++ {
			for id := range open {
				if open[id] {
					attempts := h.attempts[id]
					open[id], mayHaveRun[id] = false, true
					check(h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: OutcomeTimedOut}))
				}
			}
			h.nowUs += 21 * clock.Sec
			check(h.step(Tick{}))
		}
		if len(h.final) != calls || h.finalCount != calls || len(h.d.calls) != 0 || h.d.queued != 0 {
			t.Fatalf("seed %d: %d calls: got %d answered with %d answers, %d left and %d queued, want each answered once and none left",
				seed, calls, len(h.final), h.finalCount, len(h.d.calls), h.d.queued)
		}
		answered += calls
		for id, attempts := range h.attempts {
			if len(attempts) > maxCallAttempts {
				t.Fatalf("seed %d: attempts of call %s: got %d, want at most %d", seed, id, len(attempts), maxCallAttempts)
			}
		}
	}
	t.Logf("%d calls, %d failed, %d retries", answered, failures, retries)
	if retries < 100 || failures < 100 {
		t.Errorf("the runs cover too little: got %d retries and %d failed calls, want at least 100 each", retries, failures)
	}
}

// All gateways together stay within the retry budget in every window, whatever fails and however long calls are queued between
// attempts.
func TestSeededRetryBudgetHoldsAcrossGateways(t *testing.T) {
	const windowUs, ratio, slack = 10 * clock.Sec, 0.2, 58.0
	maxUsedFraction := 0.0
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		gateways := 1 + r.Intn(9)
		doc := routedDeclaration(routeSpec{"many", configuration.Idempotent, 3, onlyService("s"), false})
		opts := Options{RetryBudget: RetryBudgetOptions{Ratio: ratio, Slack: slack, WindowUs: windowUs}}
		var harnesses []*harness
		updates := replicaUpdates("s", "r1", "r2", "r3", "r4")
		for i := range updates {
			updates[i].Slots = 1000
		}
		for range gateways {
			harnesses = append(harnesses, newHarness(opts, newRoutedSnapshot(doc, gateways, updates...)))
		}
		rate, failurePercent := 5+r.Intn(60), 0
		var callTimes, retryTimes []int64
		open := make([][]string, gateways)
		for ms := int64(0); ms < 60_000; ms += 20 {
			unreachable, snapshotDue := false, ms%2_000 == 0
			if ms%5_000 == 0 {
				rate, failurePercent = 1+r.Intn(80), r.Intn(101)
			}
			if snapshotDue {
				unreachable = r.Intn(3) == 0
				for i := range updates {
					updates[i].Unreachable = unreachable
				}
			}
			for i, h := range harnesses {
				h.nowUs = clock.Sec + ms*clock.Ms
				record := func(effects []Effect) {
					for _, e := range effects {
						if asAttemptStart(e) != nil {
							open[i] = append(open[i], asAttemptStart(e).Call.ID)
							if len(h.attempts[asAttemptStart(e).Call.ID]) > 1 {
								retryTimes = append(retryTimes, h.nowUs)
							}
						}
					}
				}
				if snapshotDue {
					record(h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc, gateways, updates...)}))
				}
				record(h.step(Tick{}))
				if r.Intn(50*gateways) < rate {
					callTimes = append(callTimes, h.nowUs)
					id := fmt.Sprint("c", ms)
					record(h.step(CallArrived{Call: &Call{ID: id, Kind: "many", Routed: &RoutedCall{Host: "h", Path: pathOf("many")}}}))
				}
				endedIDs := open[i]
				open[i] = nil
				for _, id := range endedIDs {
					attempts := h.attempts[id]
					e := OutcomeDone
					if r.Intn(100) < failurePercent {
						e = []Outcome{OutcomeRejected, OutcomeBroken, OutcomeUnknown}[r.Intn(3)]
					}
					record(h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e}))
				}
			}
		}
		countWithin := func(times []int64, fromUs int64) (n int) {
			for _, us := range times {
				if us >= fromUs && us < fromUs+windowUs {
					n++
				}
			}
			return n
		}
		for fromUs := int64(0); fromUs < 62*clock.Sec; fromUs += 500 * clock.Ms {
			retries := countWithin(retryTimes, fromUs)
			maxCalls := max(countWithin(callTimes, fromUs), countWithin(callTimes, fromUs-windowUs), countWithin(callTimes, fromUs-windowUs/2))
			limit := ratio*float64(maxCalls) + slack
			maxUsedFraction = max(maxUsedFraction, float64(retries)/limit)
			if float64(retries) > limit {
				t.Fatalf("seed %d: %d gateways sent %d retries in a window of %d calls, want at most %.1f",
					seed, gateways, retries, maxCalls, limit)
			}
		}
	}
	t.Logf("at most %.2f of the budget was used", maxUsedFraction)
	if maxUsedFraction < 0.5 {
		t.Errorf("the runs cover too little: at most %.2f of the budget was used, want at least 0.5", maxUsedFraction)
	}
}
