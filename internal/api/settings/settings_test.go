package settings

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"petreltide/internal/api/fault"
)

func TestTransientDiskErrorsAreNotSettingsFaults(t *testing.T) {
	for err, want := range map[error]bool{syscall.ENOSPC: true, syscall.EIO: true, syscall.EDQUOT: true, syscall.EACCES: false, syscall.EROFS: false, syscall.ENOTDIR: false} {
		if got := isTransient(&os.PathError{Op: "open", Path: "x", Err: err}); got != want {
			t.Errorf("isTransient(%v): got %v, want %v", err, got, want)
		}
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	faults := &fault.List{}
	checkWritable(faults, filepath.Join(file, "data"))
	if faults.Combined(fault.BadSettings) == nil {
		t.Error("checkWritable of a folder below a regular file: got no fault, want one")
	}
}

// With a bound of 0 ms a closed revocation would refuse every key.
func TestClosedRevocationRequiresBound(t *testing.T) {
	for name, c := range map[string]struct {
		set Revocation
		fit bool
	}{
		"open without a bound":   {Revocation{}, true},
		"open":                   {Revocation{WithinMs: 5000}, true},
		"closed":                 {Revocation{Closed: true, WithinMs: 5000}, true},
		"closed without a bound": {Revocation{Closed: true}, false},
		"a negative bound":       {Revocation{WithinMs: -1}, false},
	} {
		g := Gateway{Name: "g", Listen: "127.0.0.1:1", Zone: "a", Seeds: []string{"127.0.0.1:2"}, MaxQueue: 1, MaxBodyKB: 1, Revocation: c.set}
		if bad := g.Check(); (bad == nil) != c.fit {
			t.Errorf("%s: Check: got %v, want valid %v", name, bad, c.fit)
		}
	}
}
