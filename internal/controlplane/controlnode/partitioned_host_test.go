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
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/logring"
)

// openPartitioned returns a control node that has restarted with an old state on its disk and reaches none of the others.
func openPartitioned(t *testing.T) *Host {
	t.Helper()
	dir := t.TempDir()
	owner := chain.Owner{MemberID: "core-1", Name: "core-1"}
	opened, err := storage.Open(dir, owner)
	if err != nil {
		t.Fatal(err)
	}
	members := []chain.Member{
		{ID: "core-1", Name: "core-1", Addr: "127.0.0.1:1"}, {ID: "core-2", Name: "core-2", Addr: "127.0.0.1:2"},
		{ID: "core-3", Name: "core-3", Addr: "127.0.0.1:3"},
	}
	view := chain.View{Number: 4, Voters: members}
	for _, m := range members {
		view.Replicas = append(view.Replicas, chain.Replica{Member: m, Incarnation: "before"})
	}
	state := statemachine.NewState()
	state.Apply(1, statemachine.Change{ID: "op-first", Config: &statemachine.ConfigChange{Doc: &configuration.Declaration{Name: "old", Zones: []string{"a"}}}})
	state.Revision, state.Doc = 1, &configuration.Declaration{Name: "old", Zones: []string{"a"}}
	from, err := opened.Store.Write([]chain.Record{{View: &view}, {CaughtUpView: 4}}, true)
	if err != nil {
		t.Fatal(err)
	}
	if err := opened.Store.SaveSnapshot(chain.Snapshot{Index: 1, View: 4, State: state}, from); err != nil {
		t.Fatal(err)
	}
	if err := opened.Store.Close(); err != nil {
		t.Fatal(err)
	}
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir},
		logring.NewRing(dir, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	h.actor.Spawn(func() { h.actor.Loop(tickInterval, func() { h.step(Tick{}) }) })
	h.actor.Spawn(h.persistLoop)
	t.Cleanup(func() {
		h.actor.Stop()
		h.actor.End()
		_ = h.disk.Close()
	})
	if h.core.Node.State().Revision != 1 {
		t.Fatalf("revision after the restart: got %d, want 1", h.core.Node.State().Revision)
	}
	return h
}

// A control node that cannot know whether its state is the latest neither returns it as the configuration in force nor rejects
// requests because of it.
func TestPartitionedControlNodeDoesNotRefuseByStaleState(t *testing.T) {
	h := openPartitioned(t)
	handler := h.handler()
	for _, c := range []struct {
		method, path, body string
		want               int
	}{
		{http.MethodGet, "/v1/config", "", http.StatusServiceUnavailable},
		{http.MethodPatch, "/v1/config?base=0", `{"name":"x"}`, http.StatusServiceUnavailable},
		{http.MethodPatch, "/v1/config?base=1", `{"zones":"none"}`, http.StatusServiceUnavailable},
		{http.MethodPost, "/v1/zones/b/empty", "", http.StatusServiceUnavailable},
		{http.MethodPost, "/v1/zones/a/empty", "", http.StatusServiceUnavailable},
		{http.MethodPost, "/v1/members/core-9/remove", "", http.StatusServiceUnavailable},
		{http.MethodPost, "/v1/members/core-2/add", "", http.StatusServiceUnavailable},
		// Requests that are invalid in any state are rejected.
		{http.MethodPut, "/v1/config?base=none", "{}", http.StatusBadRequest},
		{http.MethodPost, "/v1/zones/a/burn", "", http.StatusNotFound},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequestWithContext(ctx, c.method, c.path, strings.NewReader(c.body)))
		cancel()
		if w.Code != c.want {
			t.Errorf("%s %s: got status %d, want %d: %s", c.method, c.path, w.Code, c.want, w.Body)
		}
	}
}
