package storage

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// testChain is a chain of three members, of which the middle one has a store. The size of the files on its disk is checked at
// every disk operation.
type testChain struct {
	nowUs             int64
	nodes             []*chain.Node
	inbox             []message
	disk              *refusingDisk
	store             *Store
	maxDiskBytes      int64
	snapshotCount     int
	acknowledgedCount int
}

type message struct {
	to  string
	msg chain.Msg
}

func newTestChain(t *testing.T, maxLogBytes int64) *testChain {
	t.Helper()
	b := &testChain{nowUs: clock.Sec, disk: newRefusingDisk()}
	addrs := []string{"m0", "m1", "m2"}
	for _, addr := range addrs {
		node, err := chain.NewNode(chain.Options{Self: chain.Member{ID: addr, Name: addr, Addr: addr}, Incarnation: addr + "/1", BootstrapCount: 3, MaxLogBytes: maxLogBytes}, nil, b.nowUs)
		if err != nil {
			t.Fatal(err)
		}
		b.nodes = append(b.nodes, node)
	}
	o, err := openFiles(b.disk, "/data", chain.Owner{MemberID: "m1", Name: "m1"})
	if err != nil {
		t.Fatal(err)
	}
	b.store = o.Store
	b.disk.beforeOp = func() {
		sum := int64(0)
		for _, f := range b.disk.files {
			sum += int64(len(f.data))
		}
		b.maxDiskBytes = max(b.maxDiskBytes, sum)
	}
	for i := range b.nodes {
		b.step(t, i, chain.AddrsLearned{Addrs: addrs})
	}
	b.advance(t, 60)
	return b
}

func (b *testChain) step(t *testing.T, i int, ev chain.Event) {
	for _, e := range b.nodes[i].Step(b.nowUs, ev) {
		switch e := e.(type) {
		case chain.Send:
			b.inbox = append(b.inbox, message{e.Addr, e.Msg})
		case chain.Persist:
			var bytes int64
			if i == 1 {
				from, err := b.store.Write(e.Records, e.Compact)
				if err != nil {
					t.Fatal(err)
				}
				if e.Snapshot != nil {
					b.snapshotCount++
					if err := b.store.SaveSnapshot(*e.Snapshot, from); err != nil {
						t.Fatal(err)
					}
				}
				if e.Compact {
					if err := b.store.Compact(from); err != nil {
						t.Fatal(err)
					}
				}
				bytes = b.store.LogBytes()
			}
			b.step(t, i, chain.Persisted{Seq: e.Seq, LogBytes: bytes})
		case chain.Applied:
			if i == 2 {
				b.acknowledgedCount++
			}
		}
	}
}

func (b *testChain) advance(t *testing.T, ticks int) {
	for range ticks {
		b.nowUs += 25 * clock.Ms
		for i := range b.nodes {
			b.step(t, i, chain.Tick{})
		}
		for len(b.inbox) > 0 {
			m := b.inbox[0]
			b.inbox = b.inbox[1:]
			for i, n := range b.nodes {
				if n.Self().Addr == m.to {
					b.step(t, i, chain.MessageReceived{Msg: &m.msg})
				}
			}
		}
	}
}

// randomHex returns random text of about the given size, which does not compress well.
func randomHex(r *rand.Rand, bytes int) string {
	raw := make([]byte, bytes/2)
	r.Read(raw)
	return hex.EncodeToString(raw)
}

// submitDeclarations submits different declarations of the given size, each of which replaces the previous one.
func (b *testChain) submitDeclarations(t *testing.T, count, bytes int) {
	r := rand.New(rand.NewSource(1))
	for i := range count {
		doc := &configuration.Declaration{Name: "large", Policy: configuration.Policy{Name: "steady", Source: randomHex(r, bytes)}}
		b.step(t, 0, chain.ChangeSubmitted{Change: &statemachine.Change{ID: fmt.Sprint("c", i), Config: &statemachine.ConfigChange{Base: uint64(i), Doc: doc}}})
		b.advance(t, 1)
	}
	b.advance(t, 10)
	if b.acknowledgedCount < count {
		t.Fatalf("acknowledged changes: got %d, want %d", b.acknowledgedCount, count)
	}
}

// submitEdits submits numbered edits of one declaration, which the state retains for gateways that are behind.
func (b *testChain) submitEdits(t *testing.T, count, bytes int) {
	r := rand.New(rand.NewSource(2))
	routes := func() []configuration.Route {
		return []configuration.Route{{Name: "r", Host: "h", Prefix: "/", RetryClass: configuration.Idempotent, TimeoutMs: 1000, MaxAttempts: 1,
			Split: []configuration.WeightedService{{Service: "s", Weight: 1}}, Source: json.RawMessage(`"` + randomHex(r, bytes) + `"`)}}
	}
	doc := &configuration.Declaration{Name: "edited", Version: 1, Routes: routes(), Services: []configuration.Service{{Name: "s"}}}
	b.step(t, 0, chain.ChangeSubmitted{Change: &statemachine.Change{ID: "v1", Config: &statemachine.ConfigChange{Version: 1, Doc: doc}}})
	b.advance(t, 4)
	for i := uint64(1); i <= uint64(count); i++ {
		edit := &configuration.Edit{Version: i + 1, Routes: routes()}
		b.step(t, 0, chain.ChangeSubmitted{Change: &statemachine.Change{ID: fmt.Sprint("e", i), Config: &statemachine.ConfigChange{Base: i, Version: i + 1, Edit: edit}}})
		b.advance(t, 1)
	}
	b.advance(t, 10)
	if v := b.nodes[1].State().Version(); v != uint64(count)+1 {
		t.Fatalf("version after %d edits: got %d, want %d", count, v, count+1)
	}
}

// halfDiskBytes is half of a disk of 128 MB.
const halfDiskBytes = 64 << 20

// A control node's files, including a snapshot that is being written beside the previous one, stay below half of a disk of
// 128 MB, however many changes pass through the log. Without a bound on the log the same workload must exceed that size.
func TestDiskUsageStaysBelowHalfOf128MB(t *testing.T) {
	if raceEnabled {
		t.Skip("too slow under the race detector, and the test uses one goroutine")
	}
	for name, workload := range map[string]func(b *testChain, t *testing.T){
		"declarations of 4 MB":   func(b *testChain, t *testing.T) { b.submitDeclarations(t, 20, 4<<20) },
		"declarations of 200 KB": func(b *testChain, t *testing.T) { b.submitDeclarations(t, 400, 200<<10) },
		"edits of 200 KB":        func(b *testChain, t *testing.T) { b.submitEdits(t, 400, 200<<10) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newTestChain(t, 0)
			workload(b, t)
			if b.maxDiskBytes > halfDiskBytes || b.snapshotCount < 2 {
				t.Errorf("got up to %d bytes on disk and %d snapshots, want at most %d bytes and at least 2 snapshots",
					b.maxDiskBytes, b.snapshotCount, halfDiskBytes)
			}
			t.Logf("up to %.1f MB on disk, %d snapshots saved", float64(b.maxDiskBytes)/(1<<20), b.snapshotCount)
			unbounded := newTestChain(t, 1<<40)
			workload(unbounded, t)
			if unbounded.maxDiskBytes <= halfDiskBytes {
				t.Errorf("disk usage without a log bound: got %d bytes, want more than %d, as the check can't fail otherwise",
					unbounded.maxDiskBytes, halfDiskBytes)
			}
		})
	}
}

// rejoinRepeatedly restarts a member 200 times, so that views change while no entry is written.
func rejoinRepeatedly(t *testing.T, maxLogBytes int64) *testChain {
	b := newTestChain(t, maxLogBytes)
	b.submitDeclarations(t, 1, 100)
	for range 200 {
		node, err := chain.NewNode(chain.Options{Self: chain.Member{ID: "m2", Name: "m2", Addr: "m2"}, Incarnation: fmt.Sprint("m2/", b.nowUs)}, nil, b.nowUs)
		if err != nil {
			t.Fatal(err)
		}
		b.nodes[2] = node
		b.step(t, 2, chain.AddrsLearned{Addrs: []string{"m0", "m1"}})
		b.advance(t, 60)
	}
	if views := b.nodes[1].View().Number; views < 200 {
		t.Fatalf("view number after 200 restarts: got %d, want at least 200", views)
	}
	return b
}

// A log that grows only by view changes is compacted too. Without a bound on the log the same workload must exceed the limit.
func TestLogOfViewsOnlyIsBounded(t *testing.T) {
	const maxLogBytes = 32 << 10
	b := rejoinRepeatedly(t, maxLogBytes)
	if b.snapshotCount == 0 || b.store.LogBytes() > 2*maxLogBytes {
		t.Errorf("got %d snapshots and a log of %d bytes, want at least 1 snapshot and at most %d bytes",
			b.snapshotCount, b.store.LogBytes(), 2*maxLogBytes)
	}
	if b := rejoinRepeatedly(t, 1<<40); b.store.LogBytes() <= 2*maxLogBytes {
		t.Errorf("log without a bound: got %d bytes, want more than %d, as the check can't fail otherwise",
			b.store.LogBytes(), 2*maxLogBytes)
	}
}
