package controlnode

import (
	"fmt"
	"io"
	"testing"
	"time"

	"petreltide/internal/api/settings"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/logring"
)

// A control node may receive a snapshot while it is still storing the previous one, as a joining node with a slow disk is sent
// another. Large and small snapshots alternate, so that a later one would be finished before an earlier one if they were stored
// concurrently.
func TestSnapshotsArePersistedInLogOrder(t *testing.T) {
	dir := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir,
		FoundingSize: 1}, logring.NewRing(dir, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	large := statemachine.NewState()
	for i := range 20_000 {
		large.Outcomes[fmt.Sprintf("change-%d", i)] = statemachine.Outcome{ID: fmt.Sprintf("change-%d", i)}
	}
	h.actor.Spawn(h.persistLoop)
	const snapshots = 20
	for i := uint64(1); i <= snapshots; i++ {
		state := statemachine.NewState()
		if i%2 == 1 {
			state = large
		}
		h.persistQueue.put(chain.Persist{Seq: i, Snapshot: &chain.Snapshot{Index: i, View: 1, State: state}})
	}
	h.persistQueue.put(chain.Persist{Seq: snapshots + 1})
	for h.persistQueue.len() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.actor.End()
	select {
	case err := <-h.fatal:
		t.Fatalf("fatal error: got %v, want none", err)
	default:
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	opened, err := storage.Open(dir, chain.Owner{MemberID: "core-1-again", Name: "core-1"})
	if err != nil {
		t.Fatal(err)
	}
	defer opened.Store.Close()
	kept := []uint64{}
	for _, r := range opened.Records {
		if r.Snapshot != nil {
			kept = append(kept, r.Snapshot.Index)
		}
	}
	if len(kept) != 1 || kept[0] != snapshots {
		t.Fatalf("indexes of stored snapshots: got %v, want only the last, %d", kept, snapshots)
	}
}
