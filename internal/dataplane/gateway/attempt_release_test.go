package gateway

import (
	"context"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
)

// newRoutedHost returns a gateway whose actor does not run, with one route to one replica that has a single slot.
func newRoutedHost(t *testing.T) *Host {
	t.Helper()
	h := Open(settings.Gateway{
		Name: "g", Listen: "127.0.0.1:0", Zone: "a", Seeds: []string{"127.0.0.1:1"}, MaxQueue: 8, MaxBodyKB: 1, Attempts: settings.LeaselessAttempts,
	}, logring.NewRing("", io.Discard))
	route := configuration.Route{Name: "r", Host: "h", Prefix: "/x/", TimeoutMs: 5000, MaxAttempts: 2, Split: []configuration.WeightedService{{Service: "s", Weight: 1}}}
	d := &configuration.Declaration{Version: 1, Services: []configuration.Service{{Name: "s"}}, Routes: []configuration.Route{route}}
	replica := &wire.ReplicaUpdate{ID: "one", Incarnation: "one", Service: "s", Addr: "127.0.0.1:1", Zone: "a", Slots: 1}
	h.snapshot.Store(&scheduling.Snapshot{Number: 1, Revision: 1, Declaration: d.Indexed(), Gateways: 1, IDs: []string{replica.ID},
		Replicas: map[string]*wire.ReplicaUpdate{replica.ID: replica}, ByService: map[string][]*wire.ReplicaUpdate{"s": {replica}}})
	return h
}

// newRunningHost returns such a gateway whose actor runs.
func newRunningHost(t *testing.T) *Host {
	t.Helper()
	h := newRoutedHost(t)
	h.act.Spawn(func() { h.act.Loop(10*time.Millisecond, h.tick) })
	t.Cleanup(h.act.End)
	h.do(func() { h.step(scheduling.SnapshotReceived{Snapshot: h.Snapshot()}) })
	return h
}

// newTestCall returns a call on the only route of newRunningHost.
func newTestCall(h *Host) *scheduling.Call {
	route := &h.Snapshot().Declaration.Routes[0]
	return &scheduling.Call{Kind: route.Name, Routed: &scheduling.RoutedCall{Host: "h", Path: "/x/1", Route: route}}
}

// scriptedExchange is an exchange whose methods do what a test says.
type scriptedExchange struct {
	attempt func() (scheduling.Outcome, string)
	fail    func(f *fault.Fault)
	started bool
}

func (e *scriptedExchange) Attempt(context.Context, scheduling.AttemptStart) (scheduling.Outcome, string) {
	return e.attempt()
}
func (e *scriptedExchange) Fail(f *fault.Fault)   { e.fail(f) }
func (e *scriptedExchange) ResponseStarted() bool { return e.started }

// serveToEnd serves one call on a goroutine of its own and waits until that goroutine has ended, in whatever way.
func serveToEnd(t *testing.T, h *Host, e Exchange) {
	t.Helper()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = recover() }()
		h.Serve(t.Context(), newTestCall(h), e)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("the call has not ended after 10 s")
	}
}

// workInProgress returns the calls that the decider knows, its attempts in flight, and the workers that wait for its decisions.
func workInProgress(t *testing.T, h *Host) (calls, inFlight, workers int) {
	t.Helper()
	h.do(func() {
		status := h.decider.Status()
		calls, workers = status.Calls, len(h.workers)
		for _, n := range status.InFlight {
			inFlight += n
		}
	})
	return calls, inFlight, workers
}

// Guards against an exchange that does not return taking its place at a replica for good (review/6): every way out of an attempt,
// and every way out of a call, frees what it took.
func TestExchangeThatDoesNotReturnReleasesItsCall(t *testing.T) {
	ignoreFault := func(*fault.Fault) {}
	panics := func() (scheduling.Outcome, string) { panic("planted") }
	for name, e := range map[string]*scriptedExchange{
		"attempt panics":                        {attempt: panics, fail: ignoreFault},
		"attempt panics after a response began": {attempt: panics, fail: ignoreFault, started: true},
		"attempt and failure panic":             {attempt: panics, fail: func(*fault.Fault) { panic("planted") }},
		"attempt ends its goroutine": {attempt: func() (scheduling.Outcome, string) {
			runtime.Goexit()
			return "", ""
		}, fail: ignoreFault},
		"attempt dereferences nil": {attempt: func() (scheduling.Outcome, string) {
			var c *scheduling.Call
			return scheduling.OutcomeDone, c.Kind
		}, fail: ignoreFault},
	} {
		t.Run(name, func(t *testing.T) {
			h := newRunningHost(t)
			for range 5 {
				serveToEnd(t, h, e)
			}
			if calls, inFlight, workers := workInProgress(t, h); calls != 0 || inFlight != 0 || workers != 0 {
				t.Errorf("after five such calls: got %d calls, %d attempts in flight and %d workers, want none", calls, inFlight, workers)
			}
			served := false
			serveToEnd(t, h, &scriptedExchange{attempt: func() (scheduling.Outcome, string) {
				served = true
				return scheduling.OutcomeDone, ""
			}, fail: ignoreFault})
			if !served {
				t.Error("next call: got no attempt, want one at the idle replica")
			}
		})
	}
}

// A panic of one request is answered as a failure that leaves open whether the request has run, is not retried, and is logged with
// its stack.
func TestPanicInAttemptIsAnsweredAndLogged(t *testing.T) {
	h := newRunningHost(t)
	attempts := 0
	var answer *fault.Fault
	serveToEnd(t, h, &scriptedExchange{attempt: func() (scheduling.Outcome, string) {
		attempts++
		panic("planted")
	}, fail: func(f *fault.Fault) { answer = f }})
	if answer == nil || answer.Code != fault.OutcomeUnknown || answer.Run != fault.RunUnknown || attempts != 1 {
		t.Errorf("answer after a panic: got %+v after %d attempts, want code %q after 1 attempt", answer, attempts, fault.OutcomeUnknown)
	}
	log := string(h.ring.Bytes())
	if !strings.Contains(log, `msg="attempt panicked"`) || !strings.Contains(log, "planted") || !strings.Contains(log, "attempt_release_test.go") {
		t.Errorf("log after a panic: got %q, want a line with the panic and its stack", log)
	}
}

// An open attempt that nothing runs is found once it has lasted for a window; attempts that start and end meanwhile are not.
func TestAttemptAuditFindsLastingSurplusOnly(t *testing.T) {
	for name, c := range map[string]struct {
		surplus func(step int64) int
		want    int
	}{
		"none":              {func(int64) int { return 0 }, 0},
		"lasting":           {func(step int64) int { return 2 + int(step%3) }, 2},
		"in between":        {func(step int64) int { return int(step % 2) }, 0},
		"running, not open": {func(int64) int { return -1 }, 0},
	} {
		var audit attemptAudit
		leaked := 0
		for step := range int64(25) {
			leaked = max(leaked, audit.record(clock.Sec+step*attemptAuditWindowUs/10, c.surplus(step)))
		}
		if leaked != c.want {
			t.Errorf("%s: got %d leaked attempts, want %d", name, leaked, c.want)
		}
	}
}
