package gateway

import (
	"io"
	"sync/atomic"

	"petreltide/internal/api/fault"
)

// MemoryLimit bounds the memory that the request and response bodies of all calls take together. A MaxBytes of 0 means no limit.
type MemoryLimit struct {
	MaxBytes int64
	used     atomic.Int64
}

// MeteredReader counts the bytes read by one call against a MemoryLimit until Release.
type MeteredReader struct {
	limit    *MemoryLimit
	reader   io.Reader
	reserved int64
}

// Meter returns a reader that counts the bytes read from reader against the limit.
func (l *MemoryLimit) Meter(reader io.Reader) *MeteredReader {
	return &MeteredReader{limit: l, reader: reader}
}

// Read fails with fault.Overloaded if the bytes held by all calls exceed the limit.
func (r *MeteredReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	r.reserved += int64(n)
	if used := r.limit.used.Add(int64(n)); n > 0 && r.limit.MaxBytes > 0 && used > r.limit.MaxBytes {
		f := fault.New(fault.Overloaded, "", "bodies of all calls exceed %d bytes", r.limit.MaxBytes)
		f.RetryMs = memoryRetryMs
		return n, f
	}
	return n, err
}

// Release returns the call's bytes to the limit.
func (r *MeteredReader) Release() {
	r.limit.used.Add(-r.reserved)
	r.reserved = 0
}

const (
	// memoryDivisor is the divisor of the process's memory that yields MemoryLimit.MaxBytes. Reading a whole body briefly takes
	// twice its size.
	memoryDivisor = 6
	// memoryRetryMs is the retry delay sent with a rejection for lack of memory.
	memoryRetryMs = 300
)
