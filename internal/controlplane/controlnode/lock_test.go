package controlnode

import (
	"io"
	"testing"
	"time"

	"petreltide/internal/api/settings"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/logring"
)

// The data folder of a control node belongs to its process until that ends; one whose folder is damaged or foreign lets go
// of it.
func TestOpenLocksDataDirectory(t *testing.T) {
	folder := t.TempDir()
	set := settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: folder, FoundingSize: 1}
	h, err := Open(set, logring.NewRing(folder, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := storage.Lock(folder, "core-1", 60*time.Millisecond); err == nil {
		t.Fatal("another process may use the folder beside it")
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	if err := h.lock.Close(); err != nil {
		t.Fatal(err)
	}
	set.Name = "core-2"
	if _, err := Open(set, logring.NewRing(folder, io.Discard)); err == nil {
		t.Fatal("a folder of another member is opened")
	}
	lock, err := storage.Lock(folder, "core-1", 60*time.Millisecond)
	if err != nil {
		t.Fatalf("after a control node that could not open it: %v", err)
	}
	if err := lock.Close(); err != nil {
		t.Fatal(err)
	}
}
