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

type declared struct {
	name   string
	repeat configuration.RetryClass
	most   int
	split  []configuration.WeightedService
	resume bool
}

func one(service string) []configuration.WeightedService {
	return []configuration.WeightedService{{Service: service, Weight: 1}}
}

func declaration(routes ...declared) *configuration.Declaration {
	doc := &configuration.Declaration{Version: 1, Services: []configuration.Service{
		{Name: "s"}, {Name: "other"},
		{Name: "engine", Engine: &configuration.Engine{Slots: 4, CapacityMB: 10, Models: []configuration.EngineModel{{Name: "m", SizeMB: 1, LoadMs: 1}, {Name: "n", SizeMB: 1, LoadMs: 1}}}},
	}}
	for _, r := range routes {
		doc.Routes = append(doc.Routes, configuration.Route{
			Name: r.name, Host: "h", Prefix: "/" + r.name + "/", RetryClass: r.repeat, Resumable: r.resume, TimeoutMs: 20_000, MaxAttempts: r.most, Split: r.split,
		})
	}
	return doc.Indexed()
}

var snaps uint64

func stands(doc *configuration.Declaration, gateways int, rows ...wire.ReplicaUpdate) *Snapshot {
	snaps++
	s := &Snapshot{Number: snaps, Revision: snaps, Declaration: doc, Gateways: gateways, Replicas: map[string]*wire.ReplicaUpdate{}, ByService: map[string][]*wire.ReplicaUpdate{}}
	for _, r := range rows {
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

func at(service string, ids ...string) []wire.ReplicaUpdate {
	rows := []wire.ReplicaUpdate{}
	for _, id := range ids {
		rows = append(rows, wire.ReplicaUpdate{ID: id, Service: service, Loaded: []string{"m"}})
	}
	return rows
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
	k := &harness{d: New(opts), nowUs: clock.Sec, attempts: map[string][]*AttemptStart{}, final: map[string]Effect{}}
	k.step(SnapshotReceived{Snapshot: s})
	return k
}

func (k *harness) step(ev Event) []Effect {
	effects := k.d.Step(k.nowUs, ev)
	for _, e := range effects {
		switch {
		case started(e) != nil:
			k.attempts[started(e).Call.ID] = append(k.attempts[started(e).Call.ID], started(e))
		case failed(e) != nil:
			k.final[failed(e).Call.ID] = e
			k.finalCount++
		case finished(e) != nil:
			k.final[finished(e).Call.ID] = e
			k.finalCount++
		}
	}
	return effects
}

func (k *harness) call(id, route, model string) *Call {
	c := &Call{ID: id, Kind: route, Model: model, Routed: &RoutedCall{PromptTokens: 100}}
	k.step(CallArrived{Call: c})
	return c
}

// end ends the newest attempt of a call.
func (k *harness) end(id string, e Outcome) []Effect {
	attempts := k.attempts[id]
	return k.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e})
}

func (k *harness) after(us int64) {
	k.nowUs += us
	k.step(Tick{})
}

func TestACallThatItsOnlyReplicaDidNotRunIsSentThereAgain(t *testing.T) {
	for _, c := range []struct {
		ending  Outcome
		afterUs int64
	}{{OutcomeRejected, rejectedBackoffUs}, {OutcomeModelMissing, missingBackoffUs}, {OutcomeUnsent, minConnectBackoffUs}} {
		k := newHarness(Options{}, stands(declaration(declared{"once", configuration.NonIdempotent, 2, one("engine"), false}), 1, at("engine", "r1")...))
		k.call("c", "once", "m")
		k.end("c", c.ending)
		k.after(c.afterUs - clock.Ms)
		if n := len(k.attempts["c"]); n != 1 {
			t.Errorf("%s: it was sent %d times before its pause", c.ending, n)
		}
		k.after(2 * clock.Ms)
		if n := len(k.attempts["c"]); n != 2 {
			t.Fatalf("%s: it waits for a replica that does not come, sent %d times", c.ending, n)
		}
		k.end("c", OutcomeDone)
		if f := k.final["c"]; f == nil || finished(f) == nil || finished(f).Outcome != OutcomeDone {
			t.Errorf("%s: %+v", c.ending, f)
		}
	}
}

func TestAnotherReplicaComesBeforeOneThatHadTheCall(t *testing.T) {
	k := newHarness(Options{}, stands(declaration(declared{"once", configuration.NonIdempotent, 3, one("s"), false}), 1, at("s", "r1", "r2")...))
	k.call("c", "once", "")
	k.end("c", OutcomeRejected)
	if attempts := k.attempts["c"]; len(attempts) != 2 || attempts[0].Replica == attempts[1].Replica {
		t.Fatalf("%v", attempts)
	}
}

func TestTheLastAttemptIsAnsweredAtOnceWithATime(t *testing.T) {
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
		k := newHarness(Options{}, stands(declaration(declared{"r", c.repeat, 2, one("s"), false}), 1, at("s", "r1", "r2", "r3")...))
		k.call("c", "r", "")
		for i, e := range c.endings {
			if len(k.attempts["c"]) != i+1 {
				t.Fatalf("%v: %d attempts before the ending %d", c.endings, len(k.attempts["c"]), i)
			}
			k.end("c", e)
		}
		f := k.final["c"]
		switch {
		case f == nil:
			t.Errorf("%s %v: no answer at once", c.repeat, c.endings)
		case c.given && (failed(f) == nil || failed(f).Fault.Run != c.run || failed(f).Fault.RetryMs <= 0):
			t.Errorf("%s %v: %+v", c.repeat, c.endings, failed(f))
		case !c.given && finished(f) == nil:
			t.Errorf("%s %v: %+v", c.repeat, c.endings, failed(f).Fault)
		}
	}
}

// What the declaration changes while a call waits or runs.
func TestRoutesThatChangeUnderACall(t *testing.T) {
	base := declared{"r", configuration.NonIdempotent, 3, one("s"), false}
	moved := declared{"r", configuration.NonIdempotent, 3, one("other"), false}
	rows := append(at("s", "r1"), at("other", "o1")...)
	waiting := func(next *configuration.Declaration) *harness {
		full := append([]wire.ReplicaUpdate(nil), rows...)
		full[0].Unreachable, full[1].Unreachable = true, true
		k := newHarness(Options{}, stands(declaration(base), 1, full...))
		k.call("c", "r", "")
		k.step(SnapshotReceived{Snapshot: stands(next, 1, rows...)})
		return k
	}
	if k := waiting(declaration()); k.final["c"] == nil || failed(k.final["c"]) == nil || failed(k.final["c"]).Fault.Code != fault.UnknownKind || failed(k.final["c"]).Fault.Run != fault.RunNone {
		t.Errorf("dropped while it waits: %+v", k.final["c"])
	}
	if k := waiting(declaration(moved)); len(k.attempts["c"]) != 1 || k.attempts["c"][0].Replica != "o1" {
		t.Errorf("moved while it waits: %v", k.attempts["c"])
	}
	if k := waiting(declaration(declared{"r", configuration.NonIdempotent, 3, []configuration.WeightedService{{Service: "s", Weight: 0}, {Service: "other", Weight: 1}}, false})); len(k.attempts["c"]) != 1 || k.attempts["c"][0].Replica != "o1" {
		t.Errorf("weighed down to 0 while it waits: %v", k.attempts["c"])
	}

	running := func(next *configuration.Declaration, e Outcome) *harness {
		k := newHarness(Options{}, stands(declaration(base), 1, rows...))
		k.call("c", "r", "")
		k.step(SnapshotReceived{Snapshot: stands(next, 1, rows...)})
		k.end("c", e)
		return k
	}
	if k := running(declaration(), OutcomeDone); finished(k.final["c"]) == nil || finished(k.final["c"]).Outcome != OutcomeDone {
		t.Errorf("dropped while it runs: %+v", k.final["c"])
	}
	if k := running(declaration(), OutcomeRejected); k.final["c"] == nil || failed(k.final["c"]) == nil || failed(k.final["c"]).Fault.Run != fault.RunNone || len(k.attempts["c"]) != 1 {
		t.Errorf("dropped while it runs, then refused: %+v", k.final["c"])
	}
	if k := running(declaration(moved), OutcomeRejected); len(k.attempts["c"]) != 2 || k.attempts["c"][1].Replica != "o1" {
		t.Errorf("moved while it runs, then refused: %v", k.attempts["c"])
	}
	if k := running(declaration(moved), OutcomeUnknown); len(k.attempts["c"]) != 1 || finished(k.final["c"]) == nil {
		t.Errorf("moved while it runs, then in doubt: %v", k.attempts["c"])
	}
	k := newHarness(Options{}, stands(declaration(declared{"r", configuration.Idempotent, 3, one("s"), false}), 1, rows...))
	k.call("c", "r", "")
	k.step(SnapshotReceived{Snapshot: stands(declaration(base), 1, rows...)})
	if k.end("c", OutcomeUnknown); len(k.attempts["c"]) != 1 {
		t.Errorf("no longer repeatable, then in doubt: %v", k.attempts["c"])
	}

	for name, now := range map[string]*Snapshot{
		"a route dropped":   stands(declaration(), 1, rows...),
		"a route moved":     stands(declaration(moved), 1, rows...),
		"a replica gone":    stands(declaration(base), 1, rows[1:]...),
		"a replica leaving": stands(declaration(base), 1, wire.ReplicaUpdate{ID: "r1", Service: "s", Draining: true}),
		"another service":   stands(declaration(base), 1, at("other", "r1")...),
	} {
		k := newHarness(Options{}, stands(declaration(base), 1, rows...))
		k.call("c", "r", "")
		st := *k.attempts["c"][0]
		if !st.MaySend(k.d.snapshot, k.nowUs, 0) || st.MaySend(now, k.nowUs, 0) || st.MaySend(k.d.snapshot, st.DeadlineUs, 0) {
			t.Errorf("%s between the decision and the first byte", name)
		}
	}
}

// How long a replica is left alone hangs on what it said.
func TestWhatAReplicaSaidHoldsForWhatItConcerns(t *testing.T) {
	doc := declaration(declared{"r", configuration.NonIdempotent, 3, one("engine"), false})
	row := wire.ReplicaUpdate{ID: "r1", Service: "engine", Loaded: []string{"m", "n"}}
	for _, c := range []struct {
		ending       Outcome
		same, beside bool
		backUs       int64
	}{{OutcomeModelMissing, false, true, missingBackoffUs}, {OutcomeRejected, false, false, rejectedBackoffUs}, {OutcomeWrongIncarnation, false, false, wrongIncarnationBackoffUs}, {OutcomeDone, true, true, 0}} {
		k := newHarness(Options{}, stands(doc, 1, row))
		k.call("first", "r", "m")
		k.end("first", c.ending)
		k.call("same", "r", "m")
		k.call("beside", "r", "n")
		if same, beside := len(k.attempts["same"]) > 0, len(k.attempts["beside"]) > 0; same != c.same || beside != c.beside {
			t.Errorf("%s: the same model is sent there %v, another %v", c.ending, same, beside)
		}
		if k.after(c.backUs + clock.Ms); c.backUs < 15*clock.Sec && len(k.attempts["same"]) == 0 {
			t.Errorf("%s: never asked again", c.ending)
		}
	}
}

// Whatever comes in whatever order: a call that is not repeatable is never sent again after anything but a
// sure word that it has not run; a refusal that says so is true; each call is answered once; attempts go only
// where the newest declaration sends them, to replicas that are there and not leaving; attempts hold.
func TestSeededCallsUnderChangingRoutes(t *testing.T) {
	endings := []Outcome{OutcomeDone, OutcomeDone, OutcomeFailed, OutcomeRejected, OutcomeRejected, OutcomeModelMissing, OutcomeWrongIncarnation, OutcomeUnsent, OutcomeBroken, OutcomeUnknown, OutcomeTimedOut}
	repeats, given, answered := 0, 0, 0
	for seed := int64(0); seed < 300; seed++ {
		r := rand.New(rand.NewSource(seed))
		names := []string{"a", "b", "c"}
		draw := func() *Snapshot {
			routes := []declared{}
			for _, n := range names {
				if r.Intn(8) == 0 {
					continue
				}
				split := [][]configuration.WeightedService{one("s"), one("other"), {{Service: "s", Weight: r.Intn(3)}, {Service: "other", Weight: 1}}}[r.Intn(3)]
				repeat := []configuration.RetryClass{configuration.Idempotent, configuration.NonIdempotent, configuration.Streaming}[r.Intn(3)]
				routes = append(routes, declared{n, repeat, 1 + r.Intn(3), split, r.Intn(2) == 0})
			}
			rows := []wire.ReplicaUpdate{}
			for i := range 5 {
				if r.Intn(4) > 0 {
					rows = append(rows, wire.ReplicaUpdate{ID: fmt.Sprint("r", i), Service: []string{"s", "other"}[i%2], Draining: r.Intn(6) == 0, Unreachable: r.Intn(6) == 0, Slots: 1 + r.Intn(3)})
				}
			}
			return stands(declaration(routes...), 1+r.Intn(4), rows...)
		}
		k := newHarness(Options{QueueMax: 6}, draw())
		ran, open := map[string]bool{}, map[string]bool{}
		look := func(effects []Effect) {
			for _, e := range effects {
				switch {
				case started(e) != nil:
					id, route, row := started(e).Call.ID, k.d.snapshot.Declaration.Route(started(e).Call.Kind), k.d.snapshot.Replicas[started(e).Replica]
					if route == nil || row == nil || row.Draining || row.Unreachable || !route.SendsTo(row.Service) || started(e).Incarnation != row.Incarnation {
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
				case failed(e) != nil:
					if given++; failed(e).Fault.Run == fault.RunNone && ran[failed(e).Call.ID] {
						t.Fatalf("seed %d: %s may have run and is told that it has not: %+v", seed, failed(e).Call.ID, failed(e).Fault)
					}
				}
			}
		}
		calls := 0
		for n := 0; n < 250; n++ {
			k.nowUs += r.Int63n(200 * clock.Ms)
			switch r.Intn(6) {
			case 0, 1:
				calls++
				c := &Call{ID: fmt.Sprint("c", calls), Kind: names[r.Intn(3)], Routed: &RoutedCall{}}
				look(k.step(CallArrived{Call: c}))
			case 2:
				look(k.step(SnapshotReceived{Snapshot: draw()}))
			default:
				for id := range open {
					if open[id] {
						attempts := k.attempts[id]
						e := endings[r.Intn(len(endings))]
						ran[id], open[id] = ran[id] || !notRun(e), false
						look(k.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e}))
						break
					}
				}
			}
		}
		for round := 0; round < 20 && len(k.final) < calls; round++ {
			for id := range open {
				if open[id] {
					attempts := k.attempts[id]
					open[id], ran[id] = false, true
					look(k.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: OutcomeTimedOut}))
				}
			}
			k.nowUs += 21 * clock.Sec
			look(k.step(Tick{}))
		}
		if len(k.final) != calls || k.finalCount != calls || len(k.d.calls) != 0 || k.d.queued != 0 {
			t.Fatalf("seed %d: %d calls, %d of them answered with %d answers, %d left over", seed, calls, len(k.final), k.finalCount, len(k.d.calls))
		}
		answered += calls
		for id, attempts := range k.attempts {
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
func TestSeededBudgetOfManyGateways(t *testing.T) {
	const windowUs, ratio, slack = 10 * clock.Sec, 0.2, 58.0
	tight := 0.0
	for seed := int64(0); seed < 20; seed++ {
		r := rand.New(rand.NewSource(seed))
		gateways := 1 + r.Intn(9)
		doc := declaration(declared{"many", configuration.Idempotent, 3, one("s"), false})
		opts := Options{RetryBudget: RetryBudgetOptions{Ratio: ratio, Slack: slack, WindowUs: windowUs}}
		var all []*harness
		rows := at("s", "r1", "r2", "r3", "r4")
		for i := range rows {
			rows[i].Slots = 1000
		}
		for range gateways {
			all = append(all, newHarness(opts, stands(doc, gateways, rows...)))
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
			for i, k := range all {
				k.nowUs = clock.Sec + ms*clock.Ms
				note := func(effects []Effect) {
					for _, e := range effects {
						if started(e) != nil {
							open[i] = append(open[i], started(e).Call.ID)
							if len(k.attempts[started(e).Call.ID]) > 1 {
								extra = append(extra, k.nowUs)
							}
						}
					}
				}
				if turns {
					note(k.step(SnapshotReceived{Snapshot: stands(doc, gateways, rows...)}))
				}
				note(k.step(Tick{}))
				if r.Intn(50*gateways) < rate {
					calls = append(calls, k.nowUs)
					id := fmt.Sprint("c", ms)
					note(k.step(CallArrived{Call: &Call{ID: id, Kind: "many", Routed: &RoutedCall{}}}))
				}
				ended := open[i]
				open[i] = nil
				for _, id := range ended {
					attempts := k.attempts[id]
					e := OutcomeDone
					if r.Intn(100) < bad {
						e = []Outcome{OutcomeRejected, OutcomeBroken, OutcomeUnknown}[r.Intn(3)]
					}
					note(k.step(AttemptEnded{Call: id, Attempt: attempts[len(attempts)-1].Attempt, Outcome: e}))
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
