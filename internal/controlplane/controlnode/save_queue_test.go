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

// An actor that waited for a slow disk could not hear what the disk had saved; once both queues were full
// the control node stood still for ever.
func TestActorDoesNotBlockOnDisk(t *testing.T) {
	folder := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: folder, FoundingSize: 3}, logring.NewRing(folder, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	h.actor.Spawn(func() { h.actor.Loop(time.Millisecond, func() { h.step(Tick{}) }) })
	const saves = uint64(3 * 1024)
	h.actor.Tell(func() {
		for i := uint64(1); i <= saves; i++ {
			h.saveQueue.put(chain.Persist{Seq: 1 << 40, Records: []chain.Record{{Entry: &chain.Entry{Index: i, View: 1, Change: statemachine.Change{ID: "c"}}}}})
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if !h.actor.Do(ctx, func() {}) {
		t.Fatal("with no disk at work the actor stands still")
	}
	h.actor.Spawn(h.persistLoop)
	for pending, ran := 1, true; pending > 0; {
		if pending, ran = actor.Ask(t.Context(), h.actor, h.saveQueue.len); !ran {
			t.Fatal("the actor ended")
		}
	}
	h.actor.End()
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	opened, err := storage.Open(folder, chain.Owner{MemberID: "core-1-again", Name: "core-1"})
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
			t.Fatalf("the log holds %d where %d belongs", r.Entry.Index, at)
		}
	}
	if at != saves {
		t.Fatalf("%d of %d saves are in the log", at, saves)
	}
}
