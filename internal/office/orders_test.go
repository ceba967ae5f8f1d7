package office

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"petreltide/internal/actor"
	"petreltide/internal/ledger"
	"petreltide/internal/logring"
	"petreltide/internal/settings"
	"petreltide/internal/standing"
	"petreltide/internal/wire"
)

// alone is an office whose partners never come: what it is given waits. It ends with the test.
func alone(t *testing.T) *Host {
	t.Helper()
	folder := t.TempDir()
	h, err := Open(settings.Office{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", Data: folder, Founding: 3}, logring.NewRing(folder, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	h.act.Spawn(func() { h.act.Loop(time.Hour, func() {}) })
	t.Cleanup(func() {
		h.act.End()
		if err := h.disk.Close(); err != nil {
			t.Error(err)
		}
	})
	return h
}

// waiting blocks until as many callers wait for the outcome of a change.
func waiting(t *testing.T, h *Host, id string, want int) {
	t.Helper()
	for {
		n, ran := actor.Ask(t.Context(), h.act, func() int { return len(h.waiters[id]) })
		if !ran {
			t.Fatal("the office ended")
		}
		if n == want {
			return
		}
	}
}

// Two callers wait at one office for one order, as when an operator's first call is still held while it sends the
// order again. Both get the outcome, and one that gives up takes nothing from the other.
func TestTwoCallersWaitForOneOrderAtOneOffice(t *testing.T) {
	h := alone(t)
	const id = "op-1"
	got := make(chan bool, 2)
	submit := func(ctx context.Context) {
		_, ok := h.Submit(ctx, ledger.Change{ID: id, Config: &ledger.ConfigChange{Version: 1}}, time.Minute)
		got <- ok
	}
	go submit(t.Context())
	waiting(t, h, id, 1)
	hasty, giveUp := context.WithCancel(t.Context())
	go submit(hasty)
	waiting(t, h, id, 2)
	giveUp()
	if <-got {
		t.Fatal("the one that gave up has an outcome")
	}
	waiting(t, h, id, 1)
	go submit(t.Context())
	waiting(t, h, id, 2)
	h.tell(Event{Letter: &wire.Letter{Result: &wire.Result{Outcome: ledger.Outcome{ID: id, Index: 7}}}})
	for range 2 {
		if !<-got {
			t.Error("one of two that waited got no outcome")
		}
	}
	waiting(t, h, id, 0)
}

// A patch is judged by the chain. What this office holds may be old: an order that was taken elsewhere must not be
// refused by it, whether it is behind the order's base or past it.
func TestAPatchIsNotRefusedByAnOfficesOwnState(t *testing.T) {
	doc := &standing.Declaration{Name: "d"}
	for _, c := range []struct {
		name string
		now  ConfigNow
		base uint64
		want patchStep
	}{
		{"on top of what is in force here", ConfigNow{Revision: 4, Declaration: doc}, 4, mergeHere},
		{"this office has not heard of the base", ConfigNow{Revision: 3, Declaration: doc}, 4, baseUnknown},
		{"this office knows nothing yet", ConfigNow{}, 4, baseUnknown},
		{"a later change is in force here", ConfigNow{Revision: 9, Declaration: doc}, 4, leaveToChain},
		{"there is nothing to patch", ConfigNow{}, 0, nothingToPatch},
	} {
		if got := nextPatchStep(c.now, c.base); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	h := alone(t)
	h.core.Node.State().Revision = 9
	h.core.Node.State().Doc = doc
	ctx, done := context.WithCancel(t.Context())
	defer done()
	r := httptest.NewRequestWithContext(ctx, http.MethodPatch, "/v1/config?base=4&change=mine", strings.NewReader("{}"))
	w := httptest.NewRecorder()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		h.patchConfig(w, r)
	}()
	waiting(t, h, "op-mine", 1)
	done()
	<-answered
	if w.Code != http.StatusServiceUnavailable {
		t.Errorf("with no word from the chain: %d %s", w.Code, w.Body)
	}
}
