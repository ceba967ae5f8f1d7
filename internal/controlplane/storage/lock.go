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

// DirLock is an exclusive lock of a data folder, held until it is closed or the process ends. Its file contains the name of
// the member that uses the folder.
type DirLock struct {
	// file is nil where the disk does not support the lock.
	file *os.File
}

// Lock acquires the lock of a data folder for the member called name. It waits up to wait for a process of the same member
// that holds the lock, as a process that was asked to stop may take a moment, and then returns a DataNotWritable fault. If a
// process of another member holds the lock, it returns a ForeignData fault at once. On a disk that does not support the lock
// it returns a DirLock without a file, as the disk may still accept records.
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

// WriteOwner stores the name of the member that uses the folder; call it once the folder is known to belong to that member.
// Where the write fails, other processes learn only that the folder is in use.
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

// Close releases the lock.
func (l *DirLock) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
