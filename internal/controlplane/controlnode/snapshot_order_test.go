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

// A control node may be given a copy while it still keeps the one before: a joiner on a slow disk is sent
// another. Large and small ones in turn, so that a later one would be done before an earlier one.
func TestSnapshotsArePersistedInLogOrder(t *testing.T) {
	folder := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: folder, FoundingSize: 1}, logring.NewRing(folder, io.Discard))
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
		h.saveQueue.put(chain.Persist{Seq: i, Snapshot: &chain.Snapshot{Index: i, View: 1, State: state}})
	}
	h.saveQueue.put(chain.Persist{Seq: snapshots + 1})
	for h.saveQueue.len() > 0 {
		time.Sleep(time.Millisecond)
	}
	h.actor.End()
	select {
	case err := <-h.fatal:
		t.Fatalf("the control node would end: %v", err)
	default:
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	opened, err := storage.Open(folder, chain.Owner{MemberID: "core-1-again", Name: "core-1"})
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
		t.Fatalf("the copies at %v are kept, want the last alone, %d", kept, snapshots)
	}
}
