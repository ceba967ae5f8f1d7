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

// An operator's change identifier names one request: another one under it is refused, also by a process that has been started
// anew on the same folder, and whoever sends the first again is acknowledged again.
func TestChangeIDIsBoundToOneRequest(t *testing.T) {
	folder := t.TempDir()
	open := func() *Host {
		h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: folder, FoundingSize: 1}, logring.NewRing(folder, io.Discard))
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
			{"the first", "base=0&change=x", first, false},
			{"the first again", "base=0&change=x", first, false},
			{"another body", "base=0&change=x", second, true},
			{"another base", "base=1&change=x", first, true},
		} {
			status, text := put(h, c.query, c.body)
			if refused := status >= 400 && strings.Contains(text, "foreign_change"); refused != c.refused || (!c.refused && status >= 300) {
				t.Errorf("life %d, %s: %d %s", incarnation, c.name, status, text)
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
