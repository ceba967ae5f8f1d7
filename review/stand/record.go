package stand

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is what a run sent, was answered and ran, in the order in which it was seen.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// OpenRecord begins a record in a file.
func OpenRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSetup, err)
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Printf adds a line with the time since the record began.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Now returns the time since the record began, in seconds.
func (r *Record) Now() float64 { return time.Since(r.began).Seconds() }

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }
