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

type routeSpec struct {
	name        string
	retryClass  configuration.RetryClass
	maxAttempts int
	split       []configuration.WeightedService
	resumable   bool
}

func onlyService(service string) []configuration.WeightedService {
	return []configuration.WeightedService{{Service: service, Weight: 1}}
}

func routedDeclaration(routes ...routeSpec) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{
		{Name: "s"}, {Name: "other"},
		{Name: "engine", Engine: &configuration.Engine{Slots: 4, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 1, LoadMs: 1}, {Name: "n", SizeMB: 1, LoadMs: 1}}}},
	}}
	for _, r := range routes {
		doc.Routes = append(doc.Routes, configuration.Route{
			Name: r.name, Host: "h", Prefix: "/" + r.name + "/", RetryClass: r.retryClass, Resumable: r.resumable, TimeoutMs: 20_000, MaxAttempts: r.maxAttempts, Split: r.split,
		})
	}
	return doc.Indexed()
}

var snapshotCount uint64

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

func replicaUpdates(service string, ids ...string) []wire.ReplicaUpdate {
	updates := []wire.ReplicaUpdate{}
	for _, id := range ids {
		updates = append(updates, wire.ReplicaUpdate{ID: id, Service: service, Loaded: []string{"m"}})
	}
	return updates
}

// harness drives one decider and holds what it did with each call.
type harness struct {
	d          *Decider
	nowUs      int64
	attempts   map[string][]*AttemptStart
	final      map[string]Effect
	finalCount int
}

func newHarness(opts Options, s *Snapshot) *harness {
	if opts.QueueMax == 0 {
		opts.QueueMax = 1000
	}
	h := &harness{d: New(opts), nowUs: clock.Sec, attempts: map[string][]*AttemptStart{}, final: map[string]Effect{}}
	h.step(SnapshotReceived{Snapshot: s})
	return h
}

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

func (h *harness) sendCall(id, route, model string) *Call {
	c := &Call{ID: id, Kind: route, Model: model, Routed: &RoutedCall{PromptTokens: 100}}
	h.step(CallArrived{Call: c})
	return c
}

// end ends the newest attempt of a call.
func (h *harness) endAttempt(id string, e Outcome) []Effect {
	attempts := h.attempts[id]
	return h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e})
}

func (h *harness) advance(us int64) {
	h.nowUs += us
	h.step(Tick{})
}

func TestCallIsRetriedOnItsOnlyReplicaAfterBackoff(t *testing.T) {
	for _, c := range []struct {
		ending  Outcome
		afterUs int64
	}{{OutcomeRejected, rejectedBackoffUs}, {OutcomeModelMissing, missingBackoffUs}, {OutcomeUnsent, minConnectBackoffUs}} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"once", configuration.NonIdempotent, 2, onlyService("engine"), false}), 1, replicaUpdates("engine", "r1")...))
		h.sendCall("c", "once", "m")
		h.endAttempt("c", c.ending)
		h.advance(c.afterUs - clock.Ms)
		if n := len(h.attempts["c"]); n != 1 {
			t.Errorf("%s: it was sent %d times before its pause", c.ending, n)
		}
		h.advance(2 * clock.Ms)
		if n := len(h.attempts["c"]); n != 2 {
			t.Fatalf("%s: it waits for a replica that does not come, sent %d times", c.ending, n)
		}
		h.endAttempt("c", OutcomeDone)
		if f := h.final["c"]; f == nil || asCallFinished(f) == nil || asCallFinished(f).Outcome != OutcomeDone {
			t.Errorf("%s: %+v", c.ending, f)
		}
	}
}

func TestRetryPrefersUntriedReplica(t *testing.T) {
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"once", configuration.NonIdempotent, 3, onlyService("s"), false}), 1, replicaUpdates("s", "r1", "r2")...))
	h.sendCall("c", "once", "")
	h.endAttempt("c", OutcomeRejected)
	if attempts := h.attempts["c"]; len(attempts) != 2 || attempts[0].Replica == attempts[1].Replica {
		t.Fatalf("%v", attempts)
	}
}

func TestCallIsAnsweredAtOnceAfterLastAttempt(t *testing.T) {
	for _, c := range []struct {
		repeat  configuration.RetryClass
		endings []Outcome
		run     string
		given   bool
	}{
		{configuration.NonIdempotent, []Outcome{OutcomeRejected, OutcomeModelMissing}, fault.RunNone, true},
		{configuration.NonIdempotent, []Outcome{OutcomeRejected, OutcomeUnknown}, "", false},
		{configuration.NonIdempotent, []Outcome{OutcomeUnknown}, "", false},
		{configuration.NonIdempotent, []Outcome{OutcomeFailed}, "", false},
		{configuration.Idempotent, []Outcome{OutcomeUnknown, OutcomeBroken}, "", false},
		{configuration.Idempotent, []Outcome{OutcomeBroken, OutcomeRejected}, "", false},
	} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", c.repeat, 2, onlyService("s"), false}), 1, replicaUpdates("s", "r1", "r2", "r3")...))
		h.sendCall("c", "r", "")
		for i, e := range c.endings {
			if len(h.attempts["c"]) != i+1 {
				t.Fatalf("%v: %d attempts before the ending %d", c.endings, len(h.attempts["c"]), i)
			}
			h.endAttempt("c", e)
		}
		f := h.final["c"]
		switch {
		case f == nil:
			t.Errorf("%s %v: no answer at once", c.repeat, c.endings)
		case c.given && (asCallFailed(f) == nil || asCallFailed(f).Fault.Run != c.run || asCallFailed(f).Fault.RetryMs <= 0):
			t.Errorf("%s %v: %+v", c.repeat, c.endings, asCallFailed(f))
		case !c.given && asCallFinished(f) == nil:
			t.Errorf("%s %v: %+v", c.repeat, c.endings, asCallFailed(f).Fault)
		}
	}
}

// What the declaration changes while a call waits or runs.
func TestCallFollowsChangedRoute(t *testing.T) {
	base := routeSpec{"r", configuration.NonIdempotent, 3, onlyService("s"), false}
	moved := routeSpec{"r", configuration.NonIdempotent, 3, onlyService("other"), false}
	rows := append(replicaUpdates("s", "r1"), replicaUpdates("other", "o1")...)
	waiting := func(next *configuration.Declaration) *harness {
		full := append([]wire.ReplicaUpdate(nil), rows...)
		full[0].Unreachable, full[1].Unreachable = true, true
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(base), 1, full...))
		h.sendCall("c", "r", "")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(next, 1, rows...)})
		return h
	}
	if h := waiting(routedDeclaration()); h.final["c"] == nil || asCallFailed(h.final["c"]) == nil || asCallFailed(h.final["c"]).Fault.Code != fault.UnknownKind || asCallFailed(h.final["c"]).Fault.Run != fault.RunNone {
		t.Errorf("dropped while it waits: %+v", h.final["c"])
	}
	if h := waiting(routedDeclaration(moved)); len(h.attempts["c"]) != 1 || h.attempts["c"][0].Replica != "o1" {
		t.Errorf("moved while it waits: %v", h.attempts["c"])
	}
	if h := waiting(routedDeclaration(routeSpec{"r", configuration.NonIdempotent, 3, []configuration.WeightedService{{Service: "s", Weight: 0}, {Service: "other", Weight: 1}}, false})); len(h.attempts["c"]) != 1 || h.attempts["c"][0].Replica != "o1" {
		t.Errorf("weighed down to 0 while it waits: %v", h.attempts["c"])
	}

	running := func(next *configuration.Declaration, e Outcome) *harness {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(base), 1, rows...))
		h.sendCall("c", "r", "")
		h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(next, 1, rows...)})
		h.endAttempt("c", e)
		return h
	}
	if h := running(routedDeclaration(), OutcomeDone); asCallFinished(h.final["c"]) == nil || asCallFinished(h.final["c"]).Outcome != OutcomeDone {
		t.Errorf("dropped while it runs: %+v", h.final["c"])
	}
	if h := running(routedDeclaration(), OutcomeRejected); h.final["c"] == nil || asCallFailed(h.final["c"]) == nil || asCallFailed(h.final["c"]).Fault.Run != fault.RunNone || len(h.attempts["c"]) != 1 {
		t.Errorf("dropped while it runs, then refused: %+v", h.final["c"])
	}
	if h := running(routedDeclaration(moved), OutcomeRejected); len(h.attempts["c"]) != 2 || h.attempts["c"][1].Replica != "o1" {
		t.Errorf("moved while it runs, then refused: %v", h.attempts["c"])
	}
	if h := running(routedDeclaration(moved), OutcomeUnknown); len(h.attempts["c"]) != 1 || asCallFinished(h.final["c"]) == nil {
		t.Errorf("moved while it runs, then in doubt: %v", h.attempts["c"])
	}
	h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(routeSpec{"r", configuration.Idempotent, 3, onlyService("s"), false}), 1, rows...))
	h.sendCall("c", "r", "")
	h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(routedDeclaration(base), 1, rows...)})
	if h.endAttempt("c", OutcomeUnknown); len(h.attempts["c"]) != 1 {
		t.Errorf("no longer repeatable, then in doubt: %v", h.attempts["c"])
	}

	for name, now := range map[string]*Snapshot{
		"a route dropped":   newRoutedSnapshot(routedDeclaration(), 1, rows...),
		"a route moved":     newRoutedSnapshot(routedDeclaration(moved), 1, rows...),
		"a replica gone":    newRoutedSnapshot(routedDeclaration(base), 1, rows[1:]...),
		"a replica leaving": newRoutedSnapshot(routedDeclaration(base), 1, wire.ReplicaUpdate{ID: "r1", Service: "s", Draining: true}),
		"another service":   newRoutedSnapshot(routedDeclaration(base), 1, replicaUpdates("other", "r1")...),
	} {
		h := newHarness(Options{}, newRoutedSnapshot(routedDeclaration(base), 1, rows...))
		h.sendCall("c", "r", "")
		st := *h.attempts["c"][0]
		if !st.MaySend(h.d.snapshot, h.nowUs, 0) || st.MaySend(now, h.nowUs, 0) || st.MaySend(h.d.snapshot, st.DeadlineUs, 0) {
			t.Errorf("%s between the decision and the first byte", name)
		}
	}
}

// How long a replica is left alone hangs on what it said.
func TestReplicaBackoffScopeDependsOnOutcome(t *testing.T) {
	doc := routedDeclaration(routeSpec{"r", configuration.NonIdempotent, 3, onlyService("engine"), false})
	row := wire.ReplicaUpdate{ID: "r1", Service: "engine", Loaded: []string{"m", "n"}}
	for _, c := range []struct {
		ending       Outcome
		same, beside bool
		backUs       int64
	}{{OutcomeModelMissing, false, true, missingBackoffUs}, {OutcomeRejected, false, false, rejectedBackoffUs}, {OutcomeWrongIncarnation, false, false, wrongIncarnationBackoffUs}, {OutcomeDone, true, true, 0}} {
		h := newHarness(Options{}, newRoutedSnapshot(doc, 1, row))
		h.sendCall("first", "r", "m")
		h.endAttempt("first", c.ending)
		h.sendCall("same", "r", "m")
		h.sendCall("beside", "r", "n")
		if same, beside := len(h.attempts["same"]) > 0, len(h.attempts["beside"]) > 0; same != c.same || beside != c.beside {
			t.Errorf("%s: the same model is sent there %v, another %v", c.ending, same, beside)
		}
		if h.advance(c.backUs + clock.Ms); c.backUs < 15*clock.Sec && len(h.attempts["same"]) == 0 {
			t.Errorf("%s: never asked again", c.ending)
		}
	}
}

// Whatever comes in whatever order: a call that is not repeatable is never sent again after anything but a
// sure word that it has not run; a refusal that says so is true; each call is answered once; attempts go only
// where the newest declaration sends them, to replicas that are there and not leaving; attempts hold.
func TestSeededCallInvariantsUnderChangingRoutes(t *testing.T) {
	endings := []Outcome{OutcomeDone, OutcomeDone, OutcomeFailed, OutcomeRejected, OutcomeRejected, OutcomeModelMissing, OutcomeWrongIncarnation, OutcomeUnsent, OutcomeBroken, OutcomeUnknown, OutcomeTimedOut}
	repeats, given, answered := 0, 0, 0
	for seed := int64(0); seed < 300; seed++ {
		r := rand.New(rand.NewSource(seed))
		names := []string{"a", "b", "c"}
		draw := func() *Snapshot {
			routes := []routeSpec{}
			for _, n := range names {
				if r.Intn(8) == 0 {
					continue
				}
				split := [][]configuration.WeightedService{onlyService("s"), onlyService("other"), {{Service: "s", Weight: r.Intn(3)}, {Service: "other", Weight: 1}}}[r.Intn(3)]
				repeat := []configuration.RetryClass{configuration.Idempotent, configuration.NonIdempotent, configuration.Streaming}[r.Intn(3)]
				routes = append(routes, routeSpec{n, repeat, 1 + r.Intn(3), split, r.Intn(2) == 0})
			}
			rows := []wire.ReplicaUpdate{}
			for i := range 5 {
				if r.Intn(4) > 0 {
					rows = append(rows, wire.ReplicaUpdate{ID: fmt.Sprint("r", i), Service: []string{"s", "other"}[i%2], Draining: r.Intn(6) == 0, Unreachable: r.Intn(6) == 0, Slots: 1 + r.Intn(3)})
				}
			}
			return newRoutedSnapshot(routedDeclaration(routes...), 1+r.Intn(4), rows...)
		}
		h := newHarness(Options{QueueMax: 6}, draw())
		ran, open := map[string]bool{}, map[string]bool{}
		look := func(effects []Effect) {
			for _, e := range effects {
				switch {
				case asAttemptStart(e) != nil:
					id, route, row := asAttemptStart(e).Call.ID, h.d.snapshot.Declaration.Route(asAttemptStart(e).Call.Kind), h.d.snapshot.Replicas[asAttemptStart(e).Replica]
					if route == nil || row == nil || row.Draining || row.Unreachable || !route.SendsTo(row.Service) || asAttemptStart(e).Incarnation != row.Incarnation {
						t.Fatalf("seed %d: %s goes to %+v by %+v", seed, id, row, route)
					}
					if ran[id] {
						if repeats++; !route.Retryable() {
							t.Fatalf("seed %d: %s may have run and is sent again", seed, id)
						}
					}
					if open[id] {
						t.Fatalf("seed %d: %s has two attempts at once", seed, id)
					}
					open[id] = true
				case asCallFailed(e) != nil:
					if given++; asCallFailed(e).Fault.Run == fault.RunNone && ran[asCallFailed(e).Call.ID] {
						t.Fatalf("seed %d: %s may have run and is told that it has not: %+v", seed, asCallFailed(e).Call.ID, asCallFailed(e).Fault)
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
				c := &Call{ID: fmt.Sprint("c", calls), Kind: names[r.Intn(3)], Routed: &RoutedCall{}}
				look(h.step(CallArrived{Call: c}))
			case 2:
				look(h.step(SnapshotReceived{Snapshot: draw()}))
			default:
				for id := range open {
					if open[id] {
						attempts := h.attempts[id]
						e := endings[r.Intn(len(endings))]
						ran[id], open[id] = ran[id] || !hasNotRun(e), false
						look(h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e}))
						break
					}
				}
			}
		}
		for round := 0; round < 20 && len(h.final) < calls; round++ {
			for id := range open {
				if open[id] {
					attempts := h.attempts[id]
					open[id], ran[id] = false, true
					look(h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: OutcomeTimedOut}))
				}
			}
			h.nowUs += 21 * clock.Sec
			look(h.step(Tick{}))
		}
		if len(h.final) != calls || h.finalCount != calls || len(h.d.calls) != 0 || h.d.queued != 0 {
			t.Fatalf("seed %d: %d calls, %d of them answered with %d answers, %d left over", seed, calls, len(h.final), h.finalCount, len(h.d.calls))
		}
		answered += calls
		for id, attempts := range h.attempts {
			if len(attempts) > maxCallAttempts {
				t.Fatalf("seed %d: %s had %d attempts", seed, id, len(attempts))
			}
		}
	}
	t.Logf("%d calls, %d given up on, %d repeats", answered, given, repeats)
	if repeats < 100 || given < 100 {
		t.Errorf("%d repeats and %d given up on: it proves little", repeats, given)
	}
}

// All gateways together hold to the budget in every span, whatever fails and however long calls wait between.
func TestSeededRetryBudgetHoldsAcrossGateways(t *testing.T) {
	const windowUs, ratio, slack = 10 * clock.Sec, 0.2, 58.0
	tight := 0.0
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		gateways := 1 + r.Intn(9)
		doc := routedDeclaration(routeSpec{"many", configuration.Idempotent, 3, onlyService("s"), false})
		opts := Options{RetryBudget: RetryBudgetOptions{Ratio: ratio, Slack: slack, WindowUs: windowUs}}
		var all []*harness
		rows := replicaUpdates("s", "r1", "r2", "r3", "r4")
		for i := range rows {
			rows[i].Slots = 1000
		}
		for range gateways {
			all = append(all, newHarness(opts, newRoutedSnapshot(doc, gateways, rows...)))
		}
		rate, bad := 5+r.Intn(60), 0
		var calls, extra []int64
		open := make([][]string, gateways)
		for ms := int64(0); ms < 60_000; ms += 20 {
			unreachable, turns := false, ms%2_000 == 0
			if ms%5_000 == 0 {
				rate, bad = 1+r.Intn(80), r.Intn(101)
			}
			if turns {
				unreachable = r.Intn(3) == 0
				for i := range rows {
					rows[i].Unreachable = unreachable
				}
			}
			for i, h := range all {
				h.nowUs = clock.Sec + ms*clock.Ms
				note := func(effects []Effect) {
					for _, e := range effects {
						if asAttemptStart(e) != nil {
							open[i] = append(open[i], asAttemptStart(e).Call.ID)
							if len(h.attempts[asAttemptStart(e).Call.ID]) > 1 {
								extra = append(extra, h.nowUs)
							}
						}
					}
				}
				if turns {
					note(h.step(SnapshotReceived{Snapshot: newRoutedSnapshot(doc, gateways, rows...)}))
				}
				note(h.step(Tick{}))
				if r.Intn(50*gateways) < rate {
					calls = append(calls, h.nowUs)
					id := fmt.Sprint("c", ms)
					note(h.step(CallArrived{Call: &Call{ID: id, Kind: "many", Routed: &RoutedCall{}}}))
				}
				ended := open[i]
				open[i] = nil
				for _, id := range ended {
					attempts := h.attempts[id]
					e := OutcomeDone
					if r.Intn(100) < bad {
						e = []Outcome{OutcomeRejected, OutcomeBroken, OutcomeUnknown}[r.Intn(3)]
					}
					note(h.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e}))
				}
			}
		}
		within := func(times []int64, fromUs int64) (n int) {
			for _, us := range times {
				if us >= fromUs && us < fromUs+windowUs {
					n++
				}
			}
			return n
		}
		for fromUs := int64(0); fromUs < 62*clock.Sec; fromUs += 500 * clock.Ms {
			spent := within(extra, fromUs)
			most := max(within(calls, fromUs), within(calls, fromUs-windowUs), within(calls, fromUs-windowUs/2))
			may := ratio*float64(most) + slack
			tight = max(tight, float64(spent)/may)
			if float64(spent) > may {
				t.Fatalf("seed %d: %d gateways sent %d further attempts within a window of %d calls", seed, gateways, spent, most)
			}
		}
	}
	t.Logf("at most %.2f of the budget was used", tight)
	if tight < 0.5 {
		t.Errorf("at most %.2f of the budget was used: it proves little", tight)
	}
}
