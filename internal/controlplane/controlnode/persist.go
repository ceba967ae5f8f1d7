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
	// diskRetriesPerLog is how many tries lie between two words about it in the log ring.
	diskRetriesPerLog = 40
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
func (q *saveQueue) take(stop <-chan struct{}) (chain.Persist, bool) {
	for {
		select {
		case <-stop:
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
		case <-stop:
			return chain.Persist{}, false
		case <-q.added:
		}
	}
}

// retryUntilWritten tries the same until the disk takes it. Until then the control node stands still where it needs the
// disk, and goes on elsewhere. False means that the control node is ending.
func (h *Host) retryUntilWritten(seq uint64, write func() error) bool {
	since := time.Now()
	for attempts := 0; ; attempts++ {
		err := write()
		var bad *fault.Fault
		switch {
		case err == nil && attempts == 0:
			return true
		case err == nil:
			_ = level.Info(h.log).Log("msg", "the disk takes bytes again", "after", time.Since(since).Round(time.Millisecond))
			return true
		case errors.As(err, &bad) && bad.Code == fault.DamagedData:
			h.fail(bad)
			return false
		case attempts%diskRetriesPerLog == 0:
			_ = level.Error(h.log).Log("msg", "the disk takes no bytes; the same is tried again", "every", diskRetryInterval, "err", err)
		}
		if seq != 0 && attempts == 0 {
			h.post(PersistFailed{Seq: seq})
		}
		select {
		case <-h.actor.Ctx.Done():
			return false
		case <-h.retryTimer():
		}
	}
}

// write brings a save's records to the log and tells where they are.
func (h *Host) writeRecords(s chain.Persist) (from uint64, written bool) {
	written = h.retryUntilWritten(s.Seq, func() (err error) {
		from, err = h.disk.Write(s.Records, s.Compact)
		return err
	})
	return from, written
}

// persistLoop brings what the chain wants on the disk there, in order. It begins with what was found there and may not
// have been synced.
func (h *Host) persistLoop() {
	opening := chain.Persist{Seq: chain.OpeningPersistSeq}
	if _, written := h.writeRecords(opening); !written {
		return
	}
	h.post(Persisted{Seq: opening.Seq, LogBytes: h.disk.LogBytes()})
	noPrevious := make(chan struct{})
	close(noPrevious)
	var previous <-chan struct{} = noPrevious
	for {
		s, ok := h.saveQueue.take(h.actor.Ctx.Done())
		if !ok {
			return
		}
		from, written := h.writeRecords(s)
		if !written {
			return
		}
		if s.Snapshot != nil {
			previous = h.persistSnapshotAfter(previous, s, from)
			continue
		}
		h.post(Persisted{Seq: s.Seq, LogBytes: h.disk.LogBytes()})
	}
}

// persistSnapshotAfter keeps a copy beside the log, once the copy before it is kept; it gives what is closed at its end.
func (h *Host) persistSnapshotAfter(previous <-chan struct{}, s chain.Persist, from uint64) <-chan struct{} {
	saved := make(chan struct{})
	h.actor.Spawn(func() {
		defer close(saved)
		<-previous
		h.persistSnapshot(s, from)
	})
	return saved
}

// stop ends the control node for the first error that no retry mends.
func (h *Host) fail(err error) {
	select {
	case h.fatal <- err:
	default:
	}
}

// persistSnapshot writes a copy while the log goes on, and only then lets go of what it stands for. Copies are kept one
// after another in the log's order: an older one must not take a newer one's place. Nobody waits for a copy
// that only stands for the log; without a peer's copy, though, a control node is none.
func (h *Host) persistSnapshot(s chain.Persist, from uint64) {
	reportedSeq := s.Seq
	if s.Compact {
		reportedSeq = 0
	}
	if !h.retryUntilWritten(reportedSeq, func() error { return h.disk.SaveSnapshot(*s.Snapshot, from) }) {
		return
	}
	if s.Compact && !h.retryUntilWritten(0, func() error { return h.disk.Compact(from) }) {
		return
	}
	h.post(Persisted{Seq: s.Seq, LogBytes: h.disk.LogBytes()})
}
