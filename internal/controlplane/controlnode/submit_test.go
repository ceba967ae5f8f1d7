package controlnode

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/logring"
)

// openIsolated returns a control node whose peers never start, so that changes submitted to it stay pending.
func openIsolated(t *testing.T) *Host { return openControlNode(t, 3) }

// openControlNode returns a control node of a chain that is bootstrapped by founding control nodes. It is stopped at the end of
// the test.
func openControlNode(t *testing.T, founding int) *Host {
	t.Helper()
	dir := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir,
		FoundingSize: founding}, logring.NewRing(dir, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	h.actor.Spawn(func() { h.actor.Loop(tickInterval, func() { h.step(Tick{}) }) })
	t.Cleanup(func() {
		h.actor.End()
		if err := h.disk.Close(); err != nil {
			t.Error(err)
		}
	})
	return h
}

// awaitWaiterCount blocks until want callers wait for the outcome of a change.
func awaitWaiterCount(t *testing.T, h *Host, id string, want int) {
	t.Helper()
	for {
		n, ran := actor.Ask(t.Context(), h.actor, func() int { return len(h.waiters[id]) })
		if !ran {
			t.Fatalf("the actor ended before %d callers waited for change %s", want, id)
		}
		if n == want {
			return
		}
	}
}

// Two callers wait at one control node for the outcome of one change, as when an operator's first call is still pending while
// the operator sends the change again. Both get the outcome, and a caller that gives up does not affect the other.
func TestConcurrentSubmitsOfOneChangeBothGetOutcome(t *testing.T) {
	h := openIsolated(t)
	const id = "op-1"
	got := make(chan bool, 2)
	submit := func(ctx context.Context) {
		_, ok := h.Submit(ctx, statemachine.Change{ID: id, Config: &statemachine.ConfigChange{Version: 1}}, time.Minute)
		got <- ok
	}
	go submit(t.Context())
	awaitWaiterCount(t, h, id, 1)
	cancelable, cancel := context.WithCancel(t.Context())
	go submit(cancelable)
	awaitWaiterCount(t, h, id, 2)
	cancel()
	if <-got {
		t.Fatal("the canceled caller got an outcome, want none")
	}
	awaitWaiterCount(t, h, id, 1)
	go submit(t.Context())
	awaitWaiterCount(t, h, id, 2)
	h.post(PeerMessage{Message: &peering.Message{Result: &wire.Result{Outcome: statemachine.Outcome{ID: id, Index: 7}}}})
	for range 2 {
		if !<-got {
			t.Error("one of the two waiting callers got no outcome")
		}
	}
	awaitWaiterCount(t, h, id, 0)
}

// A patch whose base has been superseded is decided by the chain, which knows whether it was applied before, and not by the
// configuration in force alone. A patch whose base is not in force yet may still be accepted by another control node.
func TestPatchOnSupersededBaseIsDecidedByChain(t *testing.T) {
	doc := &configuration.Declaration{Name: "d"}
	for _, c := range []struct {
		name    string
		current CurrentConfig
		base    uint64
		want    patchDecision
	}{
		{"base in force", CurrentConfig{Revision: 4, Declaration: doc}, 4, mergeLocally},
		{"base not in force yet", CurrentConfig{Revision: 3, Declaration: doc}, 4, baseNotInForce},
		{"base not in force yet and no declaration", CurrentConfig{}, 4, baseNotInForce},
		{"base superseded", CurrentConfig{Revision: 9, Declaration: doc}, 4, deferToChain},
		{"no declaration", CurrentConfig{}, 0, noDeclaration},
	} {
		if got := decidePatch(c.current, c.base); got != c.want {
			t.Errorf("%s: got decision %v, want %v", c.name, got, c.want)
		}
	}
	h := openControlNode(t, 1)
	h.actor.Spawn(h.persistLoop)
	for base, id := range []string{"op-mine", "op-later"} {
		out, ok := h.Submit(t.Context(), statemachine.Change{ID: id,
			Config: &statemachine.ConfigChange{Base: uint64(base), Doc: doc}}, time.Minute)
		if !ok || out.Outcome.Fault != nil {
			t.Fatalf("submit %s: got %+v, ok %v, want an outcome without a fault", id, out, ok)
		}
	}
	patch := func(want int) {
		t.Helper()
		w := httptest.NewRecorder()
		h.handlePatchConfig(w, httptest.NewRequestWithContext(t.Context(), http.MethodPatch, "/v1/config?base=0&change=mine",
			strings.NewReader("{}")))
		if w.Code != want {
			t.Errorf("patch on a superseded base: got status %d, want %d: %s", w.Code, want, w.Body)
		}
	}
	patch(http.StatusOK)
	h.actor.Do(t.Context(), func() {
		s := h.core.Node.State()
		delete(s.Outcomes, "op-mine")
		s.ForgottenVersion = 1
	})
	patch(http.StatusServiceUnavailable)
}
