package controlnode

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
)

const (
	// diskRetryInterval is how often a save that the disk refused is tried again.
	diskRetryInterval = 250 * time.Millisecond
	// diskLogInterval is how many tries lie between two words about it in the log ring.
	diskLogInterval = 40
)

// disk is where the chain's records and copies are kept; after an error the same may be tried again.
type disk interface {
	Write(records []chain.Record, fresh bool) (from uint64, err error)
	SaveSnapshot(c chain.Snapshot, from uint64) error
	Compact(before uint64) error
	LogBytes() int64
	Close() error
}

// saveQueue holds what the chain wants on the disk, in order. Whoever adds one never waits for the disk; the
// chain bounds how many there are.
type saveQueue struct {
	mu      sync.Mutex
	pending []chain.Persist
	added   chan struct{}
}

func newSaveQueue() *saveQueue { return &saveQueue{added: make(chan struct{}, 1)} }

func (q *saveQueue) put(s chain.Persist) {
	q.mu.Lock()
	q.pending = append(q.pending, s)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *saveQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// take waits for the next one; false once over is closed.
func (q *saveQueue) take(over <-chan struct{}) (chain.Persist, bool) {
	for {
		select {
		case <-over:
			return chain.Persist{}, false
		default:
		}
		q.mu.Lock()
		if len(q.pending) > 0 {
			s := q.pending[0]
			q.pending = q.pending[1:]
			q.mu.Unlock()
			return s, true
		}
		q.mu.Unlock()
		select {
		case <-over:
			return chain.Persist{}, false
		case <-q.added:
		}
	}
}

// retryUntilWritten tries the same until the disk takes it. Until then the control node stands still where it needs the
// disk, and goes on elsewhere. False means that the control node is ending.
func (h *Host) retryUntilWritten(seq uint64, try func() error) bool {
	since := time.Now()
	for tries := 0; ; tries++ {
		err := try()
		var bad *fault.Fault
		switch {
		case err == nil && tries == 0:
			return true
		case err == nil:
			_ = level.Info(h.log).Log("msg", "the disk takes bytes again", "after", time.Since(since).Round(time.Millisecond))
			return true
		case errors.As(err, &bad) && bad.Code == fault.DamagedData:
			h.stop(bad)
			return false
		case tries%diskLogInterval == 0:
			_ = level.Error(h.log).Log("msg", "the disk takes no bytes; the same is tried again", "every", diskRetryInterval, "err", err)
		}
		if seq != 0 && tries == 0 {
			h.post(PersistFailed{Seq: seq})
		}
		select {
		case <-h.act.Ctx.Done():
			return false
		case <-h.retryTimer():
		}
	}
}

// write brings a save's records to the log and tells where they are.
func (h *Host) write(s chain.Persist) (from uint64, done bool) {
	done = h.retryUntilWritten(s.Seq, func() (err error) {
		from, err = h.disk.Write(s.Records, s.Compact)
		return err
	})
	return from, done
}

// persistLoop brings what the chain wants on the disk there, in order. It begins with what was found there and may not
// have been synced.
func (h *Host) persistLoop() {
	opening := chain.Persist{Seq: chain.OpeningPersistSeq}
	if _, done := h.write(opening); !done {
		return
	}
	h.post(Persisted{Seq: opening.Seq, LogBytes: h.disk.LogBytes()})
	done := make(chan struct{})
	close(done)
	var before <-chan struct{} = done
	for {
		s, more := h.saveQueue.take(h.act.Ctx.Done())
		if !more {
			return
		}
		from, done := h.write(s)
		if !done {
			return
		}
		if s.Snapshot != nil {
			before = h.persistCopyAfter(before, s, from)
			continue
		}
		h.post(Persisted{Seq: s.Seq, LogBytes: h.disk.LogBytes()})
	}
}

// persistCopyAfter keeps a copy beside the log, once the copy before it is kept; it gives what is closed at its end.
func (h *Host) persistCopyAfter(before <-chan struct{}, s chain.Persist, from uint64) <-chan struct{} {
	kept := make(chan struct{})
	h.act.Spawn(func() {
		defer close(kept)
		<-before
		h.persistCopy(s, from)
	})
	return kept
}

// stop ends the control node for the first error that no retry mends.
func (h *Host) stop(err error) {
	select {
	case h.fatal <- err:
	default:
	}
}

// persistCopy writes a copy while the log goes on, and only then lets go of what it stands for. Copies are kept one
// after another in the log's order: an older one must not take a newer one's place. Nobody waits for a copy
// that only stands for the log; without a peer's copy, though, a control node is none.
func (h *Host) persistCopy(s chain.Persist, from uint64) {
	waited := s.Seq
	if s.Compact {
		waited = 0
	}
	if !h.retryUntilWritten(waited, func() error { return h.disk.SaveSnapshot(*s.Snapshot, from) }) {
		return
	}
	if s.Compact && !h.retryUntilWritten(0, func() error { return h.disk.Compact(from) }) {
		return
	}
	h.post(Persisted{Seq: s.Seq, LogBytes: h.disk.LogBytes()})
}
