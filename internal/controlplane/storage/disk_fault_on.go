//go:build diskfaults

package storage

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// beforeSync injects disk faults for tests: files beside the log directory make it delay, block, or return ENOSPC. Only a
// build with the tag diskfaults contains it; the product does not.
func (s *Store) beforeSync() error {
	folder := filepath.Dir(s.dir)
	_ = os.WriteFile(filepath.Join(folder, "diskfaults"), nil, 0o644)
	if raw, err := os.ReadFile(filepath.Join(folder, "slow-ms")); err == nil {
		if slowMs, err := strconv.Atoi(strings.TrimSpace(string(raw))); err == nil {
			time.Sleep(time.Duration(slowMs) * time.Millisecond)
		}
	}
	for {
		if _, err := os.Stat(filepath.Join(folder, "stall")); err != nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if _, err := os.Stat(filepath.Join(folder, "full")); err == nil {
		_ = os.WriteFile(filepath.Join(folder, "refused"), nil, 0o644)
		return syscall.ENOSPC
	}
	return nil
}
