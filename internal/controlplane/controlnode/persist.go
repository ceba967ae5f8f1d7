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
	// diskRetryInterval is the interval at which a failed write or sync is retried.
	diskRetryInterval = 250 * time.Millisecond
	// diskRetriesPerLog is the number of attempts from one log line about a failing write or sync to the next.
	diskRetriesPerLog = 40
)

// disk stores the records and snapshots of the chain; see storage.Store. A call that returned an error may be retried with the
// same arguments.
type disk interface {
	Write(records []chain.Record, fresh bool) (from uint64, err error)
	SaveSnapshot(c chain.Snapshot, from uint64) error
	Compact(before uint64) error
	LogBytes() int64
	Close() error
}

// persistQueue is the unbounded FIFO queue of the chain's requests to the disk. put never blocks on the disk; the chain limits how
// many requests are pending.
type persistQueue struct {
	mu      sync.Mutex
	pending []chain.Persist
	added   chan struct{}
}

func newPersistQueue() *persistQueue { return &persistQueue{added: make(chan struct{}, 1)} }

func (q *persistQueue) put(s chain.Persist) {
	q.mu.Lock()
	q.pending = append(q.pending, s)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
}

func (q *persistQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

// take waits for the next request and removes it; it reports false once stop is closed.
func (q *persistQueue) take(stop <-chan struct{}) (chain.Persist, bool) {
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

// retryUntilWritten repeats write until the disk accepts it. In the meantime only what depends on this write waits; the rest of
// the control node keeps running. If seq is not 0, the first failure is reported as PersistFailed with that number. It reports
// false if the control node is shutting down, or if the disk has lost synced data, which stops it.
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

// writeRecords appends the records of a request to the log and returns their position in it.
func (h *Host) writeRecords(s chain.Persist) (from uint64, written bool) {
	written = h.retryUntilWritten(s.Seq, func() (err error) {
		from, err = h.disk.Write(s.Records, s.Compact)
		return err
	})
	return from, written
}

// persistLoop executes the chain's requests to the disk, in order. It first syncs what was found on the disk at startup, which
// may not have been synced.
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
		s, ok := h.persistQueue.take(h.actor.Ctx.Done())
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

// persistSnapshotAfter stores the snapshot of a request concurrently with writes to the log, once previous is closed. It
// returns a channel that is closed when the attempt ends.
func (h *Host) persistSnapshotAfter(previous <-chan struct{}, s chain.Persist, from uint64) <-chan struct{} {
	saved := make(chan struct{})
	h.actor.Spawn(func() {
		defer close(saved)
		<-previous
		h.persistSnapshot(s, from)
	})
	return saved
}

// fail stops the control node with an error that retrying cannot resolve; only the first such error counts.
func (h *Host) fail(err error) {
	select {
	case h.fatal <- err:
	default:
	}
}

// persistSnapshot stores a snapshot while writes to the log continue, and only then drops the part of the log that the snapshot
// replaces. Snapshots are stored one at a time in log order, as an older one must not replace a newer one. A failure is
// reported to the chain only for a snapshot received from a peer, without which the control node has no state; nothing waits
// for a snapshot that merely compacts the log.
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
