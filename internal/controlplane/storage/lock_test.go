package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"petreltide/internal/api/fault"
)

// Only one process holds a folder's lock. Another process waits for it, and gives up after its timeout.
func TestDirIsLockedByOneProcess(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	first, err := Lock(folder, "core-1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var bad *fault.Fault
	if _, err := Lock(folder, "core-1", 120*time.Millisecond); !errors.As(err, &bad) || bad.Code != fault.DataNotWritable {
		t.Fatalf("lock of a folder in use: got error %v, want code %q", err, fault.DataNotWritable)
	}
	secondErr := make(chan error, 1)
	go func() {
		second, err := Lock(folder, "core-1", 20*time.Second)
		if err == nil {
			err = second.Close()
		}
		secondErr <- err
	}()
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	if err := <-secondErr; err != nil {
		t.Fatalf("lock after the holder closed it: got error %v, want none", err)
	}
}

// On a disk that does not support the lock file, Lock succeeds without one.
func TestDiskWithoutLockSupportIsUsed(t *testing.T) {
	folder := t.TempDir()
	if err := os.Mkdir(filepath.Join(folder, lockName), 0o755); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := Lock(folder, "core-1", time.Millisecond); err != nil {
			t.Fatal(err)
		}
	}
}

// A folder locked by a process of another member is refused as ForeignData at once, without waiting.
func TestDirLockedByAnotherMemberIsForeign(t *testing.T) {
	folder := t.TempDir()
	first, err := Lock(folder, "core-1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	first.WriteOwner("core-1")
	var bad *fault.Fault
	if _, err := Lock(folder, "other", time.Hour); !errors.As(err, &bad) || bad.Code != fault.ForeignData {
		t.Fatalf("lock of another member's folder: got error %v, want code %q", err, fault.ForeignData)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"core-1", "core-10"} {
		next, err := Lock(folder, name, time.Millisecond)
		if err != nil {
			t.Fatalf("lock by %s after the holder closed it: got error %v, want none", name, err)
		}
		next.WriteOwner(name)
		if owner, err := os.ReadFile(filepath.Join(folder, lockName)); err != nil || string(owner) != name {
			t.Errorf("owner in the lock file: got %q, error %v; want %q", owner, err, name)
		}
		if err := next.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
