package scheduling

import (
	"fmt"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

func declaredSnapshot(number uint64, maxInFlight int, edit func(*wire.GatewayUpdate)) *Snapshot {
	n := wire.GatewayUpdate{Number: number, Revision: 1, Declaration: &configuration.Declaration{
		Zones:  []string{"a", "b"},
		Kinds:  []configuration.Kind{{Name: "pages", Urgency: 2, Resumable: true, DeadlineMs: 50_000}, {Name: "letters", Urgency: 5, DeadlineMs: 50_000}, {Name: "fixes", Urgency: 9, DeadlineMs: 50_000}},
		Models: []configuration.Model{{Name: "m"}, {Name: "other"}},
	}}
	for _, id := range []string{"r1", "r2"} {
		n.Replicas = append(n.Replicas, wire.ReplicaUpdate{ID: id, Incarnation: "i", Addr: id, Zone: map[string]string{"r1": "a", "r2": "b"}[id], Loaded: []string{"m"}, MaxInFlight: maxInFlight})
		n.Grants = append(n.Grants, wire.Grant{Number: 1, Replica: id, Incarnation: "i", Model: "m", From: 1, To: 1000})
	}
	if edit != nil {
		edit(&n)
	}
	return NewSnapshot(nil, n, 0)
}

func newLeasedDecider(maxInFlight, queueMax int) *Decider {
	d := New(Options{Gateway: "d", Incarnation: "i", QueueMax: queueMax})
	d.Step(1, SnapshotReceived{Snapshot: declaredSnapshot(1, maxInFlight, nil)})
	d.Step(1, LeaseExtended{UntilUs: 100 * clock.Sec})
	return d
}

func declaredCall(n int, kind string) *Call {
	return &Call{ID: fmt.Sprintf("%s-%d", kind, n), Kind: kind, Model: "m"}
}

func attemptStarts(effects []Effect) []*AttemptStart {
	out := []*AttemptStart{}
	for _, e := range effects {
		if asAttemptStart(e) != nil {
			out = append(out, asAttemptStart(e))
		}
	}
	return out
}

func TestDeciderStartsNoAttemptWithoutValidLease(t *testing.T) {
	d := New(Options{Gateway: "d", QueueMax: 10})
	d.Step(1, SnapshotReceived{Snapshot: declaredSnapshot(1, 2, nil)})
	if got := attemptStarts(d.Step(2, CallArrived{Call: declaredCall(1, "fixes")})); len(got) != 0 {
		t.Fatal("sent before any lease")
	}
	if got := attemptStarts(d.Step(3, LeaseExtended{UntilUs: 10})); len(got) != 1 {
		t.Fatal("not sent with a lease")
	}
	if got := attemptStarts(d.Step(11, CallArrived{Call: declaredCall(2, "fixes")})); len(got) != 0 {
		t.Fatal("sent after the lease ran out")
	}
}

func TestQueuePrefersUrgentKindWithoutStarvingOthers(t *testing.T) {
	d := newLeasedDecider(1, 1000)
	now := int64(10)
	running := []*AttemptStart{}
	for i := 0; i < 200; i++ {
		running = append(running, attemptStarts(d.Step(now, CallArrived{Call: declaredCall(i, "fixes")}))...)
		if i < 50 {
			running = append(running, attemptStarts(d.Step(now, CallArrived{Call: declaredCall(i, "pages")}))...)
		}
	}
	served := map[string]int{}
	for i := 0; i < 110; i++ {
		now++
		st := running[0]
		served[st.Call.Kind]++
		running = append(running[1:], attemptStarts(d.Step(now, AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: OutcomeDone}))...)
	}
	if served["pages"] < 4 || served["fixes"] < 3*served["pages"] {
		t.Fatalf("served %v: want fixes first, pages not starved", served)
	}
}

func TestFullQueueRejectsCallWithRetryAfter(t *testing.T) {
	d := newLeasedDecider(0, 4)
	for i := 0; i < 4; i++ {
		d.Step(5, CallArrived{Call: declaredCall(i, "fixes")})
	}
	effects := d.Step(6, CallArrived{Call: declaredCall(9, "fixes")})
	if len(effects) != 1 || asCallFailed(effects[0]) == nil || asCallFailed(effects[0]).Fault.Code != fault.Overloaded || asCallFailed(effects[0]).Fault.RetryMs <= 0 || asCallFailed(effects[0]).Fault.Run != fault.RunNone {
		t.Fatalf("%+v", effects)
	}
	effects = d.Step(7, CallArrived{Call: declaredCall(1, "letters")})
	if len(effects) != 1 || asCallFailed(effects[0]) == nil || asCallFailed(effects[0]).Call.Kind != "fixes" {
		t.Fatalf("a kind below its share was refused instead of one above: %+v", effects)
	}
	effects = d.Step(60*clock.Sec, Tick{})
	if len(effects) != 4 || asCallFailed(effects[0]).Fault.Code != fault.Expired {
		t.Fatalf("expired calls are not given up: %+v", effects)
	}
}

func TestCallWhoseEstimatedWaitExceedsDeadlineIsRejectedOnArrival(t *testing.T) {
	d := newLeasedDecider(1, 1000)
	now := int64(10)
	var running []*AttemptStart
	for i := 0; i < 40; i++ {
		running = append(running, attemptStarts(d.Step(now, CallArrived{Call: declaredCall(i, "fixes")}))...)
	}
	for i := 0; i < 20; i++ {
		now += 400 * clock.Ms
		st := running[0]
		running = append(running[1:], attemptStarts(d.Step(now, AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: OutcomeDone}))...)
	}
	soon := declaredCall(99, "fixes")
	soon.TimeoutMs = 1000
	effects := d.Step(now, CallArrived{Call: soon})
	if len(effects) != 1 || asCallFailed(effects[0]) == nil || asCallFailed(effects[0]).Fault.Code != fault.Overloaded || asCallFailed(effects[0]).Fault.RetryMs <= 0 {
		t.Fatalf("%+v", effects)
	}
	later := declaredCall(100, "fixes")
	if effects := d.Step(now, CallArrived{Call: later}); len(effects) != 0 {
		t.Fatalf("one with time was not kept waiting: %+v", effects)
	}
}

func TestNonResumableCallIsRetriedOnlyAfterOutcomeThatRuledOutExecution(t *testing.T) {
	for _, c := range []struct {
		kind   string
		ending Outcome
		again  bool
	}{
		{"letters", OutcomeUnknown, false}, {"letters", OutcomeBroken, false}, {"letters", OutcomeUnsent, true}, {"letters", OutcomeRejected, true},
		{"pages", OutcomeUnknown, true}, {"pages", OutcomeBroken, true}, {"pages", OutcomeMigrated, true}, {"pages", OutcomeTimedOut, false},
	} {
		d := newLeasedDecider(2, 10)
		st := attemptStarts(d.Step(2, CallArrived{Call: declaredCall(1, c.kind)}))[0]
		more := attemptStarts(d.Step(3, AttemptEnded{Call: st.Call.ID, Attempt: st.Attempt, Outcome: c.ending}))
		if len(more) > 0 != c.again {
			t.Errorf("%s after %s: %d more attempts", c.kind, c.ending, len(more))
		}
		if c.again && (more[0].Attempt == st.Attempt || more[0].Replica == st.Replica && c.ending == OutcomeRejected) {
			t.Errorf("%s after %s went back as %s", c.kind, c.ending, more[0].Attempt)
		}
	}
}

func TestUnavailableReplicaGetsNoAttempt(t *testing.T) {
	for name, edit := range map[string]func(*wire.GatewayUpdate){
		"leaving":   func(n *wire.GatewayUpdate) { n.Replicas[0].Draining = true },
		"dark":      func(n *wire.GatewayUpdate) { n.Replicas[0].Unreachable = true },
		"emptied":   func(n *wire.GatewayUpdate) { n.Declaration.DrainedZones = []string{"a"} },
		"unloading": func(n *wire.GatewayUpdate) { n.Replicas[0].Unloading = "m" },
		"new":       func(n *wire.GatewayUpdate) { n.Replicas[0].Incarnation = "j" },
	} {
		d := newLeasedDecider(4, 10)
		st := attemptStarts(d.Step(2, CallArrived{Call: declaredCall(1, "letters")}))[0]
		if st.Replica != "r1" {
			t.Fatal("the test wants r1 first")
		}
		newer := declaredSnapshot(2, 4, edit)
		if st.MaySend(newer, 3, 10) || !st.MaySend(d.snapshot, 3, 10) {
			t.Errorf("%s: the body would still leave", name)
		}
		d.Step(3, SnapshotReceived{Snapshot: newer})
		for i := 2; i < 6; i++ {
			for _, st := range attemptStarts(d.Step(4, CallArrived{Call: declaredCall(i, "letters")})) {
				if st.Replica == "r1" && name != "new" {
					t.Errorf("%s: an attempt went there", name)
				}
			}
		}
	}
}

func TestMigrationTakesCallWithMostProgressWithinFreeSlots(t *testing.T) {
	d := newLeasedDecider(3, 10)
	calls := map[string]*Call{}
	for i := 0; i < 6; i++ {
		c := declaredCall(i, "pages")
		for _, st := range attemptStarts(d.Step(2, CallArrived{Call: c})) {
			if st.Replica == "r1" {
				calls[c.ID] = c
			} else {
				d.Step(2, AttemptEnded{Call: c.ID, Attempt: st.Attempt, Outcome: OutcomeDone})
			}
		}
	}
	if len(calls) < 2 {
		t.Skip("too few went to r1")
	}
	n := int64(0)
	var most string
	for id, c := range calls {
		n += 5
		c.Progress.Store(n)
		most = id
	}
	cancelled := []string{}
	for _, e := range d.Step(3, SnapshotReceived{Snapshot: declaredSnapshot(2, 3, func(n *wire.GatewayUpdate) { n.Replicas[0].Draining = true; n.Replicas[1].MaxInFlight = 1 })}) {
		if canceledCallID(e) != "" {
			cancelled = append(cancelled, canceledCallID(e))
		}
	}
	if len(cancelled) != 1 || cancelled[0] != most {
		t.Fatalf("moved %v, want just %s", cancelled, most)
	}
}

func TestDeciderIgnoresOlderSnapshot(t *testing.T) {
	d := newLeasedDecider(2, 10)
	d.Step(2, SnapshotReceived{Snapshot: declaredSnapshot(5, 2, nil)})
	d.Step(3, SnapshotReceived{Snapshot: declaredSnapshot(4, 0, nil)})
	if d.Status().Number != 5 {
		t.Fatal("older news was taken")
	}
}

func TestAttemptNumberIsUsedOnce(t *testing.T) {
	d := newLeasedDecider(50, 100)
	seen := map[string]bool{}
	for i := 0; i < 60; i++ {
		for _, st := range attemptStarts(d.Step(2, CallArrived{Call: declaredCall(i, "fixes")})) {
			if seen[st.Attempt] {
				t.Fatalf("%s twice", st.Attempt)
			}
			seen[st.Attempt] = true
			d.Step(2, SnapshotReceived{Snapshot: declaredSnapshot(uint64(i+2), 50, nil)})
		}
	}
}

func TestCallsWithSharedPrefixGoToSameReplica(t *testing.T) {
	d := newLeasedDecider(8, 100)
	with := func(i int, prefix ...string) string {
		c := declaredCall(i, "fixes")
		c.Prefix = prefix
		return attemptStarts(d.Step(2, CallArrived{Call: c}))[0].Replica
	}
	first := with(1, "house", "school 1")
	other := with(2, "house 2", "school 2")
	if first == other {
		t.Fatal("two strangers on one replica while the other is idle")
	}
	if got := with(3, "house", "school 1"); got != first {
		t.Fatalf("a shared prefix went to %s", got)
	}
}

// A call that waits is served by the terms of the newest declaration, whatever held when it came.
func TestQueuedCallFollowsChangedKindModelAndAdapter(t *testing.T) {
	adapters := []configuration.Adapter{{Name: "a", Model: "m"}}
	for name, c := range map[string]struct {
		edit func(*wire.GatewayUpdate)
		code fault.Code
	}{
		"kind taken out":          {func(n *wire.GatewayUpdate) { n.Declaration.Kinds = n.Declaration.Kinds[:1] }, fault.UnknownKind},
		"model taken out":         {func(n *wire.GatewayUpdate) { n.Declaration.Models = n.Declaration.Models[1:] }, fault.UnknownModel},
		"adapter taken out":       {func(n *wire.GatewayUpdate) { n.Declaration.Adapters = nil }, fault.UnknownAdapter},
		"adapter of another":      {func(n *wire.GatewayUpdate) { n.Declaration.Adapters[0].Model = "other" }, fault.UnknownAdapter},
		"shorter deadline":        {func(n *wire.GatewayUpdate) { n.Declaration.Kinds[2].DeadlineMs = 100 }, fault.Expired},
		"nothing that touches it": {func(n *wire.GatewayUpdate) { n.Declaration.Kinds[0].DeadlineMs = 100 }, ""},
	} {
		with := func(number uint64, edit func(*wire.GatewayUpdate)) *Snapshot {
			return declaredSnapshot(number, 0, func(n *wire.GatewayUpdate) {
				n.Declaration.Adapters = append([]configuration.Adapter(nil), adapters...)
				if edit != nil {
					edit(n)
				}
			})
		}
		d := New(Options{Gateway: "d", QueueMax: 10})
		d.Step(1, SnapshotReceived{Snapshot: with(1, nil)})
		waits := declaredCall(1, "fixes")
		waits.Adapter = "a"
		d.Step(1, CallArrived{Call: waits})
		var got fault.Code
		for _, e := range d.Step(200*clock.Ms, SnapshotReceived{Snapshot: with(2, c.edit)}) {
			got = asCallFailed(e).Fault.Code
		}
		if got != c.code {
			t.Errorf("%s: given %q, want %q", name, got, c.code)
		}
		late := declaredCall(2, "fixes")
		late.Adapter, late.ArrivedUs = "a", 1
		got = ""
		for _, e := range d.Step(200*clock.Ms, CallArrived{Call: late}) {
			got = asCallFailed(e).Fault.Code
		}
		if got != c.code {
			t.Errorf("%s: a call read under the older news and come after the newer is given %q, want %q", name, got, c.code)
		}
	}
}

func TestQueuedCallsFollowChangedUrgencyOfKind(t *testing.T) {
	swap := func(n *wire.GatewayUpdate) { n.Declaration.Kinds[1].Urgency, n.Declaration.Kinds[2].Urgency = 9, 1 }
	d := New(Options{Gateway: "d", Incarnation: "i", QueueMax: 100})
	d.Step(1, SnapshotReceived{Snapshot: declaredSnapshot(1, 0, nil)})
	d.Step(1, LeaseExtended{UntilUs: 100 * clock.Sec})
	for i := 0; i < 20; i++ {
		d.Step(2, CallArrived{Call: declaredCall(i, "fixes")})
		d.Step(2, CallArrived{Call: declaredCall(i, "letters")})
	}
	served := map[string]int{}
	for _, st := range attemptStarts(d.Step(3, SnapshotReceived{Snapshot: declaredSnapshot(2, 10, swap)})) {
		served[st.Call.Kind]++
	}
	if served["letters"] < 4*served["fixes"] {
		t.Fatalf("served %v by the older urgency", served)
	}
}

// A kind that may no longer be resumed: what ran once does not run again, and is never called not run.
func TestCallIsNotRetriedOnceItsKindIsNoLongerResumable(t *testing.T) {
	never := func(n *wire.GatewayUpdate) { n.Declaration.Kinds[0].Resumable = false }
	for name, order := range map[string][]bool{"while it runs": {true, false}, "while it waits again": {false, true}} {
		d := newLeasedDecider(2, 10)
		c := declaredCall(1, "pages")
		st := attemptStarts(d.Step(2, CallArrived{Call: c}))[0]
		var effects []Effect
		for i, change := range order {
			if change {
				share := 2
				effects = append(effects, d.Step(int64(3+i), SnapshotReceived{Snapshot: declaredSnapshot(9, share, never)})...)
				continue
			}
			if !order[0] {
				d.Step(3, SnapshotReceived{Snapshot: declaredSnapshot(2, 0, nil)})
			}
			effects = append(effects, d.Step(int64(3+i), AttemptEnded{Call: c.ID, Attempt: st.Attempt, Outcome: OutcomeUnknown})...)
		}
		if n := len(attemptStarts(effects)); n != 0 {
			t.Errorf("%s: %d more attempts", name, n)
		}
		for _, e := range effects {
			if asCallFailed(e) != nil && asCallFailed(e).Fault.Run == fault.RunNone {
				t.Errorf("%s: told not run", name)
			}
		}
		if len(effects) != 1 || asCallFinished(effects[0]) == nil && asCallFailed(effects[0]) == nil {
			t.Errorf("%s: no final answer: %+v", name, effects)
		}
	}
}

func TestReadyRequiresDeclarationLeaseAndQueueRoom(t *testing.T) {
	code := func(d *Decider, nowUs int64) fault.Code {
		if f := d.Ready(nowUs); f != nil {
			if f.RetryMs <= 0 {
				t.Errorf("%s without a time to come back", f.Code)
			}
			return f.Code
		}
		return ""
	}
	d := New(Options{Gateway: "d", QueueMax: 2})
	if got := code(d, 1); got != fault.NoLease {
		t.Errorf("without a declaration: %q", got)
	}
	d.Step(1, SnapshotReceived{Snapshot: declaredSnapshot(1, 0, nil)})
	if got := code(d, 1); got != fault.NoLease {
		t.Errorf("without a lease: %q", got)
	}
	d.Step(1, LeaseExtended{UntilUs: 100})
	if got := code(d, 99); got != "" {
		t.Errorf("with all: %q", got)
	}
	if got := code(d, 100); got != fault.NoLease {
		t.Errorf("with a lapsed lease: %q", got)
	}
	d.Step(2, CallArrived{Call: declaredCall(1, "fixes")})
	d.Step(2, CallArrived{Call: declaredCall(2, "fixes")})
	if got := code(d, 3); got != fault.Overloaded {
		t.Errorf("with a full queue: %q", got)
	}
	d.Step(3, DrainStarted{})
	if got := code(d, 3); got != fault.Draining {
		t.Errorf("while draining: %q", got)
	}
}

// Callers refused together must not come back together (seeded day 1482: a gateway woke, refused a crowd, and
// had it before the door again 15 s later, all in the same millisecond).
func TestRetryTimesOfCallsRejectedTogetherAreSpread(t *testing.T) {
	d := newLeasedDecider(0, 200)
	for i := 0; i < 200; i++ {
		d.Step(5, CallArrived{Call: declaredCall(i, "fixes")})
	}
	seen := map[int64]int{}
	var leastMs, mostMs int64 = 1 << 40, 0
	for _, e := range d.Step(60*clock.Sec, Tick{}) {
		seen[asCallFailed(e).Fault.RetryMs]++
		leastMs, mostMs = min(leastMs, asCallFailed(e).Fault.RetryMs), max(mostMs, asCallFailed(e).Fault.RetryMs)
	}
	if len(seen) < 100 || leastMs <= 0 || mostMs < 2*leastMs {
		t.Fatalf("200 calls come back at %d times from %d to %d ms", len(seen), leastMs, mostMs)
	}
}
