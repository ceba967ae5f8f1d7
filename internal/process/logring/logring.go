package logring

import (
	"bytes"
	"cmp"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// maxLines is the number of lines that a ring keeps.
const maxLines = 4000

// Ring is a ring buffer of the last maxLines log lines. Dump writes them out when something goes wrong.
type Ring struct {
	mu     sync.Mutex
	lines  [][]byte
	next   int
	folder string
	dumps  int
	out    io.Writer
	// WriteThrough makes Write also copy every line to out immediately.
	WriteThrough bool
}

// NewRing returns a ring that is dumped into files in a folder, or to out if the folder is "".
func NewRing(folder string, out io.Writer) *Ring {
	return &Ring{lines: make([][]byte, 0, maxLines), folder: folder, out: out}
}

// Logger returns a logger that writes logfmt lines to the ring, each with its time and the role and name of the process.
func (r *Ring) Logger(role, name string) log.Logger {
	return log.With(log.NewLogfmtLogger(r), "at", log.DefaultTimestampUTC, "role", role, "name", name)
}

// Write adds one line and drops the oldest if the ring is full. It never fails.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := append([]byte(nil), line...)
	if r.WriteThrough {
		_, _ = r.out.Write(kept)
	}
	if len(r.lines) < maxLines {
		r.lines = append(r.lines, kept)
	} else {
		r.lines[r.next] = kept
		r.next = (r.next + 1) % maxLines
	}
	return len(line), nil
}

// Bytes returns all lines in the ring, oldest first.
func (r *Ring) Bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var buf bytes.Buffer
	for i := range r.lines {
		buf.Write(r.lines[(r.next+i)%len(r.lines)])
	}
	return buf.Bytes()
}

// maxDumps bounds the dumps of one process; maxRetainedDumps and maxRetainedBytes bound the dumps kept in the folder, and
// maxDumpBytes the size of one dump.
const (
	maxDumps         = 20
	maxRetainedDumps = 8
	maxRetainedBytes = 4 << 20
	maxDumpBytes     = 1 << 20
)

// Dump writes the ring out. In a folder, the oldest dumps are removed to make room, including those of earlier processes. If
// the disk accepts no writes, only the dump is lost.
func (r *Ring) Dump(why string) {
	content := r.Bytes()
	content = content[max(0, len(content)-maxDumpBytes):]
	r.mu.Lock()
	r.dumps++
	n := r.dumps
	r.mu.Unlock()
	if n > maxDumps {
		return
	}
	if r.folder == "" {
		fmt.Fprintf(r.out, "log ring written out: %s\n%s", why, content)
		return
	}
	path := filepath.Join(r.folder, fmt.Sprintf("log-%d-%02d.txt", os.Getpid(), n))
	fmt.Fprintf(r.out, "%s; the log ring is in %s\n", why, path)
	r.removeOldest(path, int64(len(content)))
	if err := os.WriteFile(path, content, 0o644); err != nil {
		_ = os.Remove(path)
		fmt.Fprintf(r.out, "log ring: %v\n", err)
	}
}

// removeOldest removes the oldest dumps, except the one at path but, until one more dump of the given size fits the bounds on
// number and bytes.
func (r *Ring) removeOldest(but string, bytes int64) {
	type dump struct {
		path string
		size int64
		at   time.Time
	}
	paths, err := filepath.Glob(filepath.Join(r.folder, "log-*.txt"))
	if err != nil {
		return
	}
	dumps := []dump{}
	for _, path := range paths {
		if info, err := os.Stat(path); err == nil && path != but {
			dumps = append(dumps, dump{path, info.Size(), info.ModTime()})
			bytes += info.Size()
		}
	}
	slices.SortFunc(dumps, func(a, b dump) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.path, b.path)) })
	for len(dumps) > 0 && (len(dumps) >= maxRetainedDumps || bytes > maxRetainedBytes) {
		_ = os.Remove(dumps[0].path)
		bytes -= dumps[0].size
		dumps = dumps[1:]
	}
}
