package gateway

import (
	"io"
	"sync/atomic"

	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/httpserver"
)

// MemoryLimit bounds the memory that the request and response bodies of all calls take together. A MaxBytes of 0 means no limit.
type MemoryLimit struct {
	MaxBytes int64
	used     atomic.Int64
	// heldUs is the moving average of the time for which a body is held.
	heldUs atomic.Int64
}

// MeteredReader counts the bytes read by one call against a MemoryLimit until Release.
type MeteredReader struct {
	limit  *MemoryLimit
	reader io.Reader
	// maxBytes is what all calls may hold for this one to go on; 0 means no limit. yields means that the call may take only a small part
	// of what is free, unless the others take little.
	maxBytes int64
	yields   bool
	reserved int64
	sinceUs  int64
}

// Meter returns a reader that counts the bytes read from reader, the body of a response, against the limit.
func (l *MemoryLimit) Meter(reader io.Reader) *MeteredReader {
	return &MeteredReader{limit: l, reader: reader, maxBytes: l.MaxBytes, sinceUs: clock.NowUs()}
}

// MeterRequest is Meter for the body of a request. A part of the limit is left to responses: a request that is refused has not run, but
// one whose response finds no room has.
func (l *MemoryLimit) MeterRequest(reader io.Reader) *MeteredReader {
	r := l.Meter(reader)
	r.maxBytes -= r.maxBytes / responseReserveDivisor
	r.yields = true
	return r
}

// Read fails with fault.Overloaded if the bytes held by all calls exceed the limit. The retry delay is the time for which bodies are
// held on average, since one of them is then released.
func (r *MeteredReader) Read(into []byte) (int, error) {
	n, err := r.reader.Read(into)
	r.reserved += int64(n)
	if used := r.limit.used.Add(int64(n)); n > 0 && r.maxBytes > 0 && !r.fits(used) {
		f := fault.New(fault.Overloaded, "", "bodies of all calls exceed %d bytes", r.maxBytes)
		f.RetryMs = max(1, r.limit.heldUs.Load()/clock.Ms)
		return n, f
	}
	return n, err
}

// fits reports whether the call may go on, given the bytes that all calls hold. Ordinary bodies find room beside any number of large ones.
func (r *MeteredReader) fits(used int64) bool {
	if !r.yields {
		return used <= r.maxBytes
	}
	return httpserver.FitsBeside(used-r.reserved, r.reserved, r.maxBytes, freeBodyDivisor)
}

// Release returns the call's bytes to the limit.
func (r *MeteredReader) Release() {
	r.limit.used.Add(-r.reserved)
	if r.reserved > 0 {
		r.limit.observeHold(clock.NowUs() - r.sinceUs)
	}
	r.reserved = 0
}

// observeHold adds the time (us) for which a body was held to the moving average. An observation that another one overtakes is lost.
func (l *MemoryLimit) observeHold(us int64) {
	heldUs := l.heldUs.Load()
	l.heldUs.CompareAndSwap(heldUs, heldUs+(us-heldUs)/holdSmoothing)
}

const (
	// memoryDivisor is the divisor of the process's memory that yields MemoryLimit.MaxBytes. A body takes twice its size while it is read
	// and while it is sent to a replica.
	memoryDivisor = 8
	// freeBodyDivisor is the divisor of the free memory that yields the largest body of a request that fits in any case.
	freeBodyDivisor = 8
	// responseReserveDivisor is the divisor of MemoryLimit.MaxBytes that yields what is left to responses.
	responseReserveDivisor = 4
	// holdSmoothing divides the weight of the newest observation in the moving average of MemoryLimit.
	holdSmoothing = 16
)
