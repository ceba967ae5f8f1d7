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

// alone is a control node whose peers never come: what it is given waits.
func openIsolated(t *testing.T) *Host { return openControlNode(t, 3) }

// openControlNode is a control node of a chain that is founded by so many. It ends with the test.
func openControlNode(t *testing.T, founding int) *Host {
	t.Helper()
	folder := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: folder, FoundingSize: founding}, logring.NewRing(folder, io.Discard))
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

// waiting blocks until as many callers wait for the outcome of a change.
func awaitWaiterCount(t *testing.T, h *Host, id string, want int) {
	t.Helper()
	for {
		n, ran := actor.Ask(t.Context(), h.actor, func() int { return len(h.waiters[id]) })
		if !ran {
			t.Fatal("the control node ended")
		}
		if n == want {
			return
		}
	}
}

// Two callers wait at one control node for one order, as when an operator's first call is still held while it sends the
// order again. Both get the outcome, and one that gives up takes nothing from the other.
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
		t.Fatal("the one that gave up has an outcome")
	}
	awaitWaiterCount(t, h, id, 1)
	go submit(t.Context())
	awaitWaiterCount(t, h, id, 2)
	h.post(PeerMessage{Message: &peering.Message{Result: &wire.Result{Outcome: statemachine.Outcome{ID: id, Index: 7}}}})
	for range 2 {
		if !<-got {
			t.Error("one of two that waited got no outcome")
		}
	}
	awaitWaiterCount(t, h, id, 0)
}

// A patch whose base has been passed is judged by the chain, which knows what was taken, and not by what is in force
// alone; one whose base is still to come may be taken by another control node yet.
func TestPatchOnSupersededBaseIsDecidedByChain(t *testing.T) {
	doc := &configuration.Declaration{Name: "d"}
	for _, c := range []struct {
		name    string
		current CurrentConfig
		base    uint64
		want    patchDecision
	}{
		{"on top of what is in force", CurrentConfig{Revision: 4, Declaration: doc}, 4, mergeLocally},
		{"its base is still to come", CurrentConfig{Revision: 3, Declaration: doc}, 4, baseNotInForce},
		{"nothing is in force yet", CurrentConfig{}, 4, baseNotInForce},
		{"a later change is in force", CurrentConfig{Revision: 9, Declaration: doc}, 4, deferToChain},
		{"there is nothing to patch", CurrentConfig{}, 0, noDeclaration},
	} {
		if got := decidePatch(c.current, c.base); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	h := openControlNode(t, 1)
	h.actor.Spawn(h.persistLoop)
	for base, id := range []string{"op-mine", "op-later"} {
		out, ok := h.Submit(t.Context(), statemachine.Change{ID: id, Config: &statemachine.ConfigChange{Base: uint64(base), Doc: doc}}, time.Minute)
		if !ok || out.Outcome.Fault != nil {
			t.Fatalf("%s: %+v", id, out)
		}
	}
	patch := func(want int) {
		t.Helper()
		w := httptest.NewRecorder()
		h.handlePatchConfig(w, httptest.NewRequestWithContext(t.Context(), http.MethodPatch, "/v1/config?base=0&change=mine", strings.NewReader("{}")))
		if w.Code != want {
			t.Errorf("%d %s, want %d", w.Code, w.Body, want)
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
