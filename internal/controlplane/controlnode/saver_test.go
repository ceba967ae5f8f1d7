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

// moody is a disk that does as it is told: what is written to the log waits for one word, what has to do
// with copies for another, and fails with it.
type moody struct {
	log, copies chan error

	mu   sync.Mutex
	kept []chain.Record
	copy uint64
	from uint64
}

func (d *moody) Write(records []chain.Record, _ bool) (uint64, error) {
	if len(records) == 0 {
		return 7, nil
	}
	if err := <-d.log; err != nil {
		return 0, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.kept = append(d.kept, records...)
	return 7, nil
}

func (d *moody) SaveSnapshot(c chain.Snapshot, _ uint64) error {
	if err := <-d.copies; err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.copy = c.Index
	return nil
}

func (d *moody) Compact(before uint64) error {
	if err := <-d.copies; err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.from = before
	return nil
}

func (d *moody) LogBytes() int64 { return 0 }

func (d *moody) Close() error { return nil }

func onMoody(t *testing.T) (*Host, *moody) {
	t.Helper()
	folder := t.TempDir()
	h, err := Open(settings.ControlNode{Name: "core-1", Listen: "127.0.0.1:0", Advertise: "127.0.0.1:1", DataDir: folder, FoundingSize: 1}, logring.NewRing(folder, io.Discard))
	if err != nil {
		t.Fatal(err)
	}
	if err := h.disk.Close(); err != nil {
		t.Fatal(err)
	}
	d, at := &moody{log: make(chan error), copies: make(chan error)}, make(chan time.Time)
	close(at)
	h.disk, h.retryTimer = d, func() <-chan time.Time { return at }
	h.act.Spawn(func() { h.act.Loop(time.Hour, func() {}) })
	h.act.Spawn(h.persistLoop)
	t.Cleanup(h.act.End)
	return h, d
}

// wait asks the actor until it says yes; each question is a turn of the actor's.
func wait(t *testing.T, h *Host, what string, yes func() bool) {
	t.Helper()
	ctx, done := context.WithTimeout(context.Background(), 10*time.Second)
	defer done()
	for {
		said, ran := actor.Ask(ctx, h.act, yes)
		if !ran {
			t.Fatal("never: ", what)
		}
		if said {
			return
		}
	}
}

func record(i uint64) chain.Record { return chain.Record{CaughtUpView: i} }

// A disk that refuses a write again and again ends nothing: the same is tried at the control node's pace, what
// comes after it waits behind it, and all of it is there once, in order.
func TestAControlNodeOutlivesADiskThatRefuses(t *testing.T) {
	h, d := onMoody(t)
	h.saveQueue.put(chain.Persist{Seq: 1, Records: []chain.Record{record(1)}})
	h.saveQueue.put(chain.Persist{Seq: 2, Records: []chain.Record{record(2)}, Snapshot: &chain.Snapshot{Index: 9, State: statemachine.NewState()}, Compact: true})
	h.saveQueue.put(chain.Persist{Seq: 3, Records: []chain.Record{record(3)}})
	for _, word := range []error{syscall.ENOSPC, syscall.ENOSPC, syscall.EIO, nil, syscall.ENOSPC, nil, nil} {
		d.log <- word
	}
	for _, word := range []error{syscall.ENOSPC, syscall.EIO, nil, syscall.ENOSPC, nil} {
		d.copies <- word
	}
	wait(t, h, "all three are in the log, and what the copy stands for is out of it", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.copy == 9 && d.from == 7 && len(d.kept) == 3
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, r := range d.kept {
		if r.CaughtUpView != uint64(i+1) {
			t.Fatalf("record %d is %+v", i, r)
		}
	}
	select {
	case err := <-h.fatal:
		t.Fatalf("the control node would end: %v", err)
	default:
	}
}

// Only a disk that has lost what it had synced ends the control node.
func TestADiskThatLostWhatItHadSyncedEndsTheControlNode(t *testing.T) {
	h, d := onMoody(t)
	h.saveQueue.put(chain.Persist{Seq: 1, Records: []chain.Record{record(1)}})
	d.log <- fault.New(fault.DamagedData, "chain", "a segment held 10 synced bytes and holds 5")
	if err := <-h.fatal; err == nil {
		t.Fatal("it goes on")
	}
}

// A sync that hangs holds up nothing but what waits for it, however much the chain wants to save.
func TestAHangingDiskNeverHoldsUpTheControlNode(t *testing.T) {
	h, d := onMoody(t)
	h.act.Tell(func() {
		for i := uint64(1); i <= 50_000; i++ {
			h.saveQueue.put(chain.Persist{Seq: i, Records: []chain.Record{record(i)}})
		}
	})
	wait(t, h, "the actor answers", func() bool { return h.saveQueue.len() >= 49_999 })
	d.log <- nil
	wait(t, h, "one is saved", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		return len(d.kept) == 1
	})
	h.act.Stop()
	close(d.log)
}
