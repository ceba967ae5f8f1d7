package logring

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func dumps(t *testing.T, folder string) (count int, bytes int64) {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(folder, "log-*.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			t.Fatal(err)
		}
		count, bytes = count+1, bytes+info.Size()
	}
	return count, bytes
}

// A process that restarts repeatedly and dumps a full ring each time leaves only a bounded number and size of dumps, and the
// newest is among them.
func TestDumpsAreBoundedAcrossRestarts(t *testing.T) {
	folder := t.TempDir()
	for restart := range 12 {
		old := filepath.Join(folder, fmt.Sprintf("log-%d-01.txt", 100_000+restart))
		if err := os.WriteFile(old, []byte(strings.Repeat("x", 700_000)), 0o644); err != nil {
			t.Fatal(err)
		}
		r := NewRing(folder, io.Discard)
		for i := range maxLines {
			fmt.Fprintf(r, "line %d %s\n", i, strings.Repeat("y", 400))
		}
		r.Dump("trouble")
		if count, bytes := dumps(t, folder); count > maxRetainedDumps || bytes > maxRetainedBytes {
			t.Fatalf("restart %d: got %d dumps of %d bytes, want at most %d of %d bytes", restart, count, bytes, maxRetainedDumps, maxRetainedBytes)
		}
		mine := filepath.Join(folder, fmt.Sprintf("log-%d-01.txt", os.Getpid()))
		raw, err := os.ReadFile(mine)
		if err != nil || len(raw) > maxDumpBytes || !bytes.Contains(raw, []byte(fmt.Sprint("line ", maxLines-1))) {
			t.Fatalf("newest dump %s: got %d bytes, error %v, want at most %d bytes with the last line", mine, len(raw), err, maxDumpBytes)
		}
	}
}

func TestDumpReportsWriteError(t *testing.T) {
	var out bytes.Buffer
	r := NewRing(filepath.Join(t.TempDir(), "missing"), &out)
	fmt.Fprintln(r, "a line")
	r.Dump("trouble")
	if !strings.Contains(out.String(), "log ring: ") {
		t.Fatalf("output after a failed dump: got %q, want an error with the prefix \"log ring: \"", out.String())
	}
}
