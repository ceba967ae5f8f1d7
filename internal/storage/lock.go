package storage

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"petreltide/internal/fault"
)

const (
	lockName  = "lock"
	lockEvery = 50 * time.Millisecond
)

// Lock keeps every other process off a data folder until it is closed or this process ends. It waits so long for one
// that holds it, as a process that was told to end may take a moment. A disk that refuses to hold a lock is used without
// one: it may still take records.
func Lock(folder string, wait time.Duration) (io.Closer, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return io.NopCloser(nil), nil
	}
	path := filepath.Join(folder, lockName)
	held, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o640)
	if err != nil {
		return io.NopCloser(nil), nil
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	again := time.NewTicker(lockEvery)
	defer again.Stop()
	for {
		err := syscall.Flock(int(held.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			return held, nil
		}
		select {
		case <-again.C:
		case <-deadline.C:
			_ = held.Close()
			return nil, fault.New(fault.DataUnwritable, path, "another process uses this folder")
		}
	}
}
