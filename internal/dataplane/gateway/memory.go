package gateway

import (
	"io"
	"sync/atomic"

	"petreltide/internal/api/fault"
)

// MemoryLimit bounds what all calls of a gateway together hold of bodies and answers; Most 0 is no bound.
type MemoryLimit struct {
	MaxBytes int64
	used     atomic.Int64
}

// MeteredReader is what one call holds; each byte read through it counts until Release.
type MeteredReader struct {
	limit    *MemoryLimit
	reader   io.Reader
	reserved int64
}

// Meter counts what one call reads.
func (l *MemoryLimit) Meter(from io.Reader) *MeteredReader {
	return &MeteredReader{limit: l, reader: from}
}

// Read fails with overloaded where what it has read is more than there is room for.
func (r *MeteredReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	r.reserved += int64(n)
	if used := r.limit.used.Add(int64(n)); n > 0 && r.limit.MaxBytes > 0 && used > r.limit.MaxBytes {
		f := fault.New(fault.Overloaded, "", "calls hold more than %d bytes", r.limit.MaxBytes)
		f.RetryMs = memoryRetryMs
		return n, f
	}
	return n, err
}

// Release gives back what the call held.
func (r *MeteredReader) Release() {
	r.limit.used.Add(-r.reserved)
	r.reserved = 0
}

const (
	// memoryDivisor is the part of a process's memory that bodies and answers may take; reading one whole takes
	// twice its size for a moment.
	memoryDivisor = 6
	memoryRetryMs = 300
)
