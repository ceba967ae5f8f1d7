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

// trio is three members of which the middle one has a store; what it has on its disk is counted with every
// operation.
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

func randomHex(r *rand.Rand, bytes int) string {
	raw := make([]byte, bytes/2)
	r.Read(raw)
	return hex.EncodeToString(raw)
}

// changed plays declarations of a size, each another, that take the place of one another.
func (b *testChain) submitDeclarations(t *testing.T, count, bytes int) {
	r := rand.New(rand.NewSource(1))
	for i := range count {
		doc := &configuration.Declaration{Name: "large", Policy: configuration.Policy{Name: "steady", Source: randomHex(r, bytes)}}
		b.step(t, 0, chain.ChangeSubmitted{Change: &statemachine.Change{ID: fmt.Sprint("c", i), Config: &statemachine.ConfigChange{Base: uint64(i), Doc: doc}}})
		b.advance(t, 1)
	}
	b.advance(t, 10)
	if b.acknowledgedCount < count {
		t.Fatalf("%d of %d acknowledged", b.acknowledgedCount, count)
	}
}

// edited plays numbered edits of one declaration, which the ledger keeps for those that are behind.
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
		t.Fatalf("version %d after %d edits", v, count)
	}
}

const halfDiskBytes = 64 << 20

// What a control node has on its disk, a copy that is being kept beside the one before included, stays under half
// of a disk of 128 MB, however much passes through it.
func TestADiskOf128MBIsNeverHalfFull(t *testing.T) {
	if raceEnabled {
		t.Skip("too slow under the race detector, and all of it is one goroutine")
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
				t.Errorf("up to %d bytes on the disk, %d copies kept", b.maxDiskBytes, b.snapshotCount)
			}
			t.Logf("up to %.1f MB on the disk, %d copies kept", float64(b.maxDiskBytes)/(1<<20), b.snapshotCount)
			unbounded := newTestChain(t, 1<<40)
			workload(unbounded, t)
			if unbounded.maxDiskBytes <= halfDiskBytes {
				t.Errorf("without a bound only %d bytes: the check proves nothing", unbounded.maxDiskBytes)
			}
		})
	}
}

// flapped plays members that come and go while nothing is written.
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
		t.Fatalf("only %d views", views)
	}
	return b
}

// Views come and go and nothing is written: the log is begun anew all the same.
func TestLogOfViewsOnlyIsBounded(t *testing.T) {
	const maxLogBytes = 32 << 10
	b := rejoinRepeatedly(t, maxLogBytes)
	if b.snapshotCount == 0 || b.store.LogBytes() > 2*maxLogBytes {
		t.Errorf("%d copies, a log of %d bytes", b.snapshotCount, b.store.LogBytes())
	}
	if b := rejoinRepeatedly(t, 1<<40); b.store.LogBytes() <= 2*maxLogBytes {
		t.Errorf("without a bound only %d bytes: the check proves nothing", b.store.LogBytes())
	}
}
