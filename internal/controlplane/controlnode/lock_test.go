package controlnode

import (
	"io"
	"testing"
	"time"

	"petreltide/internal/api/settings"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/logring"
)

// A control node holds the lock on its data directory until it exits. A control node that cannot open its directory, because the
// directory is damaged or belongs to another member, releases the lock.
func TestOpenLocksDataDirectory(t *testing.T) {
	dir := t.TempDir()
	set := settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir, FoundingSize: 1}
	h, err := Open(set, logring.NewRing(dir, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := storage.Lock(dir, "core-1", 60*time.Millisecond); err == nil {
		t.Fatal("the data directory of a running control node could be locked again")
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	if err := h.lock.Close(); err != nil {
		t.Fatal(err)
	}
	set.Name = "core-2"
	if _, err := Open(set, logring.NewRing(dir, io.Discard)); err == nil {
		t.Fatal("opened the data directory of another member, want an error")
	}
	lock, err := storage.Lock(dir, "core-1", 60*time.Millisecond)
	if err != nil {
		t.Fatalf("lock after a failed Open: got error %v, want none", err)
	}
	if err := lock.Close(); err != nil {
		t.Fatal(err)
	}
}
