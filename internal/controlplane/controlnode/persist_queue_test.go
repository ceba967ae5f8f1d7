package controlnode

import (
	"context"
	"io"
	"testing"
	"time"

	"petreltide/internal/api/settings"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/logring"
)

// The actor must not wait for the disk. An actor that did could not receive the disk's notifications, and once both queues were
// full the control node was deadlocked.
func TestActorDoesNotBlockOnDisk(t *testing.T) {
	dir := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir,
		FoundingSize: 3}, logring.NewRing(dir, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	h.actor.Spawn(func() { h.actor.Loop(time.Millisecond, func() { h.step(Tick{}) }) })
	const saves = uint64(3 * 1024)
	h.actor.Tell(func() {
		for i := uint64(1); i <= saves; i++ {
			h.persistQueue.put(chain.Persist{Seq: 1 << 40, Records: []chain.Record{{Entry: &chain.Entry{Index: i, View: 1,
				Change: statemachine.Change{ID: "c"}}}}})
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !h.actor.Do(ctx, func() {}) {
		t.Fatal("the actor is blocked while no request is written to the disk")
	}
	h.actor.Spawn(h.persistLoop)
	for pending, ran := 1, true; pending > 0; {
		if pending, ran = actor.Ask(t.Context(), h.actor, h.persistQueue.len); !ran {
			t.Fatal("the actor ended before the queue was empty")
		}
	}
	h.actor.End()
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	opened, err := storage.Open(dir, chain.Owner{MemberID: "core-1-again", Name: "core-1"})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Store.Close()
	at := uint64(0)
	for _, r := range opened.Records {
		if r.Entry == nil {
			continue
		}
		if at++; r.Entry.Index != at {
			t.Fatalf("index of entry in the log: got %d, want %d", r.Entry.Index, at)
		}
	}
	if at != saves {
		t.Fatalf("entries in the log: got %d, want %d", at, saves)
	}
}
