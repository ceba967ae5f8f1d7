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

const maxLines = 4000

// Ring keeps the last lines in memory; Dump writes them out when something goes wrong.
type Ring struct {
	mu     sync.Mutex
	lines  [][]byte
	next   int
	folder string
	dumps  int
	out    io.Writer
	// Aloud writes every line out as it comes, beside keeping it.
	Aloud bool
}

// NewRing makes a ring that is dumped into files of a folder, or to out where the folder is empty.
func NewRing(folder string, out io.Writer) *Ring {
	return &Ring{lines: make([][]byte, 0, maxLines), folder: folder, out: out}
}

// Logger writes lines in the logfmt form to the ring, each with its time and the process's role and name.
func (r *Ring) Logger(role, name string) log.Logger {
	return log.With(log.NewLogfmtLogger(r), "at", log.DefaultTimestampUTC, "role", role, "name", name)
}

// Write keeps one line and drops the oldest where the ring is full. It never fails.
func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := append([]byte(nil), line...)
	if r.Aloud {
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

// Bytes are all lines that are kept, oldest first.
func (r *Ring) Bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var buf bytes.Buffer
	for i := range r.lines {
		buf.Write(r.lines[(r.next+i)%len(r.lines)])
	}
	return buf.Bytes()
}

const (
	maxDumps         = 20
	maxRetainedDumps = 8
	maxRetainedBytes = 4 << 20
	maxDumpBytes     = 1 << 20
)

// Dump writes the ring out. In a folder the older ones make room, of earlier lives too; a disk that takes
// none costs nothing but the dump.
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

// removeOldest removes the oldest dumps until there is room for one more in number and bytes.
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
