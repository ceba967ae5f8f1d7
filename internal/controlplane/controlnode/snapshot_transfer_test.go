package controlnode

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/statemachine"
)

// A peer loses power during the transfer of a snapshot and no longer responds. Its next incarnation must be sent a snapshot at
// once, rather than after the first transfer times out. The same incarnation is not sent two snapshots at a time.
func TestSnapshotForNewIncarnationReplacesTransferInProgress(t *testing.T) {
	h, _ := openWithScriptedDisk(t)
	received := make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		batch := peering.Batch{}
		if err != nil || json.Unmarshal(raw, &batch) != nil {
			return
		}
		received <- batch.Messages[0].Chain.InstallSnapshot.Incarnation
		<-r.Context().Done()
	}))
	t.Cleanup(server.CloseClientConnections)
	addr := strings.TrimPrefix(server.URL, "http://")
	send := func(incarnation string) {
		snapshot := chain.Snapshot{Index: 1, State: statemachine.NewState()}
		msg := chain.Msg{ToID: "b-1", InstallSnapshot: &chain.InstallSnapshot{View: 1, Incarnation: incarnation, Snapshot: snapshot}}
		h.actor.Tell(func() { h.send(addr, peering.Message{Chain: &msg}) })
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	next := func() string {
		select {
		case incarnation := <-received:
			return incarnation
		case <-ctx.Done():
			return "nothing"
		}
	}
	send("first")
	if got := next(); got != "first" {
		t.Fatalf("incarnation of the first snapshot: got %q, want %q", got, "first")
	}
	send("first")
	send("second")
	if got := next(); got != "second" {
		t.Fatalf("incarnation of the second snapshot: got %q, want %q", got, "second")
	}
	send("second")
	if !h.actor.Do(ctx, func() {
		if len(h.snapshotTransfers) != 1 || h.snapshotTransfers[addr].recipient != "b-1/second" {
			t.Errorf("transfers in progress: got %+v, want one to %q", h.snapshotTransfers, "b-1/second")
		}
	}) {
		t.Fatal("the actor is blocked")
	}
}
