package controlnode

import (
	"context"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/logring"
)

// scriptedDisk is a disk whose calls block until the test sends their result: writes of records receive from logResults,
// SaveSnapshot and Compact from snapshotResults.
type scriptedDisk struct {
	logResults, snapshotResults chan error

	// mu guards the fields below, which are the successful calls so far.

	mu            sync.Mutex
	written       []chain.Record
	snapshotIndex uint64
	compactedTo   uint64
}

func (d *scriptedDisk) Write(records []chain.Record, _ bool) (uint64, error) {
	if len(records) == 0 {
		return 7, nil
	}
	if err := <-d.logResults; err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.written = append(d.written, records...)
	return 7, nil
}

func (d *scriptedDisk) SaveSnapshot(c chain.Snapshot, _ uint64) error {
	if err := <-d.snapshotResults; err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.snapshotIndex = c.Index
	return nil
}

func (d *scriptedDisk) Compact(before uint64) error {
	if err := <-d.snapshotResults; err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.compactedTo = before
	return nil
}

func (d *scriptedDisk) LogBytes() int64 { return 0 }

func (d *scriptedDisk) Close() error { return nil }

// openWithScriptedDisk returns a control node on a scriptedDisk, which retries failed requests at once.
func openWithScriptedDisk(t *testing.T) (*Host, *scriptedDisk) {
	t.Helper()
	dir := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: dir,
		FoundingSize: 1}, logring.NewRing(dir, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	d, expired := &scriptedDisk{logResults: make(chan error), snapshotResults: make(chan error)}, make(chan time.Time)
	close(expired)
	h.disk, h.retryTimer = d, func() <-chan time.Time { return expired }
	h.actor.Spawn(func() { h.actor.Loop(time.Hour, func() {}) })
	h.actor.Spawn(h.persistLoop)
	t.Cleanup(h.actor.End)
	return h, d
}

// eventually evaluates condition on the actor until it holds, and fails the test after 10 s.
func eventually(t *testing.T, h *Host, description string, condition func() bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		ok, ran := actor.Ask(ctx, h.actor, condition)
		if !ran {
			t.Fatalf("condition did not become true: %s", description)
		}
		if ok {
			return
		}
	}
}

func recordOf(i uint64) chain.Record { return chain.Record{CaughtUpView: i} }

// A disk that refuses a write repeatedly does not stop the control node. The write is retried after each interval, later writes
// wait for it, and everything is written exactly once and in order.
func TestFailedDiskWritesAreRetriedInOrder(t *testing.T) {
	h, d := openWithScriptedDisk(t)
	h.persistQueue.put(chain.Persist{Seq: 1, Records: []chain.Record{recordOf(1)}})
	h.persistQueue.put(chain.Persist{Seq: 2, Records: []chain.Record{recordOf(2)},
		Snapshot: &chain.Snapshot{Index: 9, State: statemachine.NewState()}, Compact: true})
	h.persistQueue.put(chain.Persist{Seq: 3, Records: []chain.Record{recordOf(3)}})
	for _, result := range []error{syscall.ENOSPC, syscall.ENOSPC, syscall.EIO, nil, syscall.ENOSPC, nil, nil} {
		d.logResults <- result
	}
	for _, result := range []error{syscall.ENOSPC, syscall.EIO, nil, syscall.ENOSPC, nil} {
		d.snapshotResults <- result
	}
	eventually(t, h, "all three records are written and the log is compacted up to the snapshot", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.snapshotIndex == 9 && d.compactedTo == 7 && len(d.written) == 3
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, r := range d.written {
		if r.CaughtUpView != uint64(i+1) {
			t.Fatalf("record %d: got %+v, want %+v", i, r, recordOf(uint64(i+1)))
		}
	}
	select {
	case err := <-h.fatal:
		t.Fatalf("fatal error: got %v, want none", err)
	default:
	}
}

// The loss of synced data is the only disk error that stops the control node.
func TestLossOfSyncedDataStopsControlNode(t *testing.T) {
	h, d := openWithScriptedDisk(t)
	h.persistQueue.put(chain.Persist{Seq: 1, Records: []chain.Record{recordOf(1)}})
	d.logResults <- fault.New(fault.DamagedData, "chain", "a segment held 10 synced bytes and holds 5")
	if err := <-h.fatal; err == nil {
		t.Fatal("the control node did not stop after the loss of synced data")
	}
}

// A sync that hangs delays only what waits for it, however many requests the chain queues.
func TestHangingSyncDoesNotBlockActor(t *testing.T) {
	h, d := openWithScriptedDisk(t)
	h.actor.Tell(func() {
		for i := uint64(1); i <= 50_000; i++ {
			h.persistQueue.put(chain.Persist{Seq: i, Records: []chain.Record{recordOf(i)}})
		}
	})
	eventually(t, h, "the actor queues all requests", func() bool { return h.persistQueue.len() >= 49_999 })
	d.logResults <- nil
	eventually(t, h, "one request is written", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.written) == 1
	})
	h.actor.Stop()
	close(d.logResults)
}
