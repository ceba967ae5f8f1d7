package gateway

import (
	"io"
	"sync/atomic"

	"petreltide/internal/api/fault"
)

// Room bounds what all calls of a gateway together hold of bodies and answers; Most 0 is no bound.
type Room struct {
	Most int64
	used atomic.Int64
}

// Held is what one call holds; each byte read through it counts until Release.
type Held struct {
	room *Room
	from io.Reader
	own  int64
}

// Hold counts what one call reads.
func (r *Room) Hold(from io.Reader) *Held { return &Held{room: r, from: from} }

// Read fails with overloaded where what it has read is more than there is room for.
func (h *Held) Read(into []byte) (int, error) {
	n, err := h.from.Read(into)
	h.own += int64(n)
	if used := h.room.used.Add(int64(n)); n > 0 && h.room.Most > 0 && used > h.room.Most {
		f := fault.New(fault.Overloaded, "", "calls hold more than %d bytes", h.room.Most)
		f.RetryMs = fullMs
		return n, f
	}
	return n, err
}

// Release gives back what the call held.
func (h *Held) Release() {
	h.room.used.Add(-h.own)
	h.own = 0
}

const (
	// roomShare is the part of a process's memory that bodies and answers may take; reading one whole takes
	// twice its size for a moment.
	roomShare = 6
	fullMs    = 300
)
