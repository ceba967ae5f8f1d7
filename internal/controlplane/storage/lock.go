package storage

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"petreltide/internal/api/fault"
)

const (
	lockName          = "lock"
	lockRetryInterval = 50 * time.Millisecond
)

// DirLock keeps every other process off a data folder until it is closed or this process ends. Its file holds the
// name of the member that uses the folder.
type DirLock struct {
	// file is nil where the disk refuses to hold a lock.
	file *os.File
}

// Lock takes the lock of a data folder for the member of a name. It waits so long for a process that holds it, as one
// that was told to end may take a moment; not for one of another member, whose folder it is: foreign_data. A disk that
// refuses to hold a lock is used without one: it may still take records.
func Lock(folder, name string, wait time.Duration) (*DirLock, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return &DirLock{}, nil
	}
	path := filepath.Join(folder, lockName)
	lockFile, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return &DirLock{}, nil
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	retry := time.NewTicker(lockRetryInterval)
	defer retry.Stop()
	for {
		err := syscall.Flock(int(lockFile.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			return &DirLock{file: lockFile}, nil
		}
		if owner, _ := os.ReadFile(path); len(owner) > 0 && string(owner) != name {
			_ = lockFile.Close()
			return nil, fault.New(fault.ForeignData, folder, "the folder is in use by %q, not by %q", owner, name)
		}
		select {
		case <-retry.C:
		case <-deadline.C:
			_ = lockFile.Close()
			return nil, fault.New(fault.DataNotWritable, path, "another process uses this folder")
		}
	}
}

// WriteOwner writes down which member uses the folder, once it is known to be that member's. Where the disk takes no bytes,
// others learn only that it is in use.
func (l *DirLock) WriteOwner(name string) {
	if l.file == nil {
		return
	}
	if owner, err := os.ReadFile(l.file.Name()); err == nil && string(owner) == name {
		return
	}
	if l.file.Truncate(0) == nil {
		_, _ = l.file.WriteAt([]byte(name), 0)
	}
}

// Close lets go of the folder.
func (l *DirLock) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
