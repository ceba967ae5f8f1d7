package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"petreltide/internal/fault"
)

// A folder is one process's: the next one waits for it, and gives up where it does not end.
func TestAFolderBelongsToOneProcess(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	first, err := Lock(folder, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var bad *fault.Fault
	if _, err := Lock(folder, 120*time.Millisecond); !errors.As(err, &bad) || bad.Code != fault.DataUnwritable {
		t.Fatalf("a second one beside it: %v", err)
	}
	got := make(chan error, 1)
	go func() {
		second, err := Lock(folder, 20*time.Second)
		if err == nil {
			err = second.Close()
		}
		got <- err
	}()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-got; err != nil {
		t.Fatalf("once the first has ended: %v", err)
	}
}

// A disk that takes no lock is used all the same.
func TestADiskThatTakesNoLockIsUsed(t *testing.T) {
	folder := t.TempDir()
	if err := os.Mkdir(filepath.Join(folder, lockName), 0o755); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := Lock(folder, time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
}
