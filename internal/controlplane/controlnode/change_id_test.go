package controlnode

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/settings"
	"petreltide/internal/process/logring"
)

// A change ID identifies one request of an operator. A different request with the same ID is rejected, also after a restart on
// the same data directory, and a repetition of the first request is acknowledged again.
func TestChangeIDIsBoundToOneRequest(t *testing.T) {
	dir := t.TempDir()
	open := func() *Host {
		h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir,
			FoundingSize: 1}, logring.NewRing(dir, io.Discard))
		if err != nil {
			t.Fatal(err)
		}
		h.actor.Spawn(func() { h.actor.Loop(tickInterval, func() { h.step(Tick{}) }) })
		h.actor.Spawn(h.persistLoop)
		return h
	}
	declaration, err := configuration.ReadFile("../../../examples/vasilev.yaml")
	if err != nil {
		t.Fatal(err)
	}
	first, second := string(declaration), string(declaration)+"\n"
	put := func(h *Host, query, body string) (int, string) {
		w := httptest.NewRecorder()
		h.handlePutConfig(w, httptest.NewRequestWithContext(t.Context(), http.MethodPut, "/v1/config?"+query, strings.NewReader(body)))
		return w.Code, w.Body.String()
	}
	for incarnation := range 2 {
		h := open()
		for _, c := range []struct {
			name, query, body string
			refused           bool
		}{
			{"first request", "base=0&change=x", first, false},
			{"repeated request", "base=0&change=x", first, false},
			{"different body", "base=0&change=x", second, true},
			{"different base", "base=1&change=x", first, true},
		} {
			status, text := put(h, c.query, c.body)
			if refused := status >= 400 && strings.Contains(text, "foreign_change"); refused != c.refused || (!c.refused && status >= 300) {
				t.Errorf("incarnation %d, %s: got status %d, refused as a foreign change: %v, want %v: %s", incarnation, c.name,
					status, refused, c.refused, text)
			}
		}
		h.actor.End()
		if err := h.disk.Close(); err != nil {
			t.Error(err)
		}
		if err := h.lock.Close(); err != nil {
			t.Error(err)
		}
	}
}
