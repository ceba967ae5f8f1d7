package settings

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"petreltide/internal/api/fault"
)

func TestADiskThatTakesNothingNowIsNoFaultOfTheSettings(t *testing.T) {
	for err, want := range map[error]bool{syscall.ENOSPC: true, syscall.EIO: true, syscall.EDQUOT: true, syscall.EACCES: false, syscall.EROFS: false, syscall.ENOTDIR: false} {
		if got := isTransient(&os.PathError{Op: "open", Path: "x", Err: err}); got != want {
			t.Errorf("%v: waits %v, want %v", err, got, want)
		}
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	faults := &fault.List{}
	checkWritable(faults, filepath.Join(file, "data"))
	if faults.Combined(fault.BadSettings) == nil {
		t.Error("a folder inside a file was taken")
	}
}
