package logring

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/go-kit/log"
)

const linesMost = 4000

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

func NewRing(folder string, out io.Writer) *Ring {
	return &Ring{lines: make([][]byte, 0, linesMost), folder: folder, out: out}
}

func (r *Ring) Logger(role, name string) log.Logger {
	return log.With(log.NewLogfmtLogger(r), "at", log.DefaultTimestampUTC, "role", role, "name", name)
}

func (r *Ring) Write(line []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := append([]byte(nil), line...)
	if r.Aloud {
		_, _ = r.out.Write(kept)
	}
	if len(r.lines) < linesMost {
		r.lines = append(r.lines, kept)
	} else {
		r.lines[r.next] = kept
		r.next = (r.next + 1) % linesMost
	}
	return len(line), nil
}

func (r *Ring) Bytes() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	var buf bytes.Buffer
	for i := range r.lines {
		buf.Write(r.lines[(r.next+i)%len(r.lines)])
	}
	return buf.Bytes()
}

const dumpsMost = 20

func (r *Ring) Dump(why string) {
	content := r.Bytes()
	r.mu.Lock()
	r.dumps++
	n := r.dumps
	r.mu.Unlock()
	if n > dumpsMost {
		return
	}
	if r.folder == "" {
		fmt.Fprintf(r.out, "log ring written out: %s\n%s", why, content)
		return
	}
	path := filepath.Join(r.folder, fmt.Sprintf("log-%d-%02d.txt", os.Getpid(), n))
	fmt.Fprintf(r.out, "%s; the log ring is in %s\n", why, path)
	if err := os.WriteFile(path, content, 0o644); err != nil {
		fmt.Fprintf(r.out, "log ring: %v\n", err)
	}
}
