package storage

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"petreltide/internal/api/fault"
)

// A folder is one process's: the next one waits for it, and gives up where it does not end.
func TestDirIsLockedByOneProcess(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	first, err := Lock(folder, "core-1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var bad *fault.Fault
	if _, err := Lock(folder, "core-1", 120*time.Millisecond); !errors.As(err, &bad) || bad.Code != fault.DataNotWritable {
		t.Fatalf("a second one beside it: %v", err)
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
		t.Fatalf("once the first has ended: %v", err)
	}
}

// A disk that takes no lock is used all the same.
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

// A folder that another member's process uses is told apart from one that is only in use, and nobody waits for it.
func TestDirLockedByAnotherMemberIsForeign(t *testing.T) {
	folder := t.TempDir()
	first, err := Lock(folder, "core-1", time.Second)
	if err != nil {
		t.Fatal(err)
	}
	first.WriteOwner("core-1")
	var bad *fault.Fault
	if _, err := Lock(folder, "other", time.Hour); !errors.As(err, &bad) || bad.Code != fault.ForeignData {
		t.Fatalf("another member beside it: %v", err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"core-1", "core-10"} {
		next, err := Lock(folder, name, time.Millisecond)
		if err != nil {
			t.Fatalf("%s once it has ended: %v", name, err)
		}
		next.WriteOwner(name)
		if owner, err := os.ReadFile(filepath.Join(folder, lockName)); err != nil || string(owner) != name {
			t.Errorf("the lock is %s's, and says %q, %v", name, owner, err)
		}
		if err := next.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
