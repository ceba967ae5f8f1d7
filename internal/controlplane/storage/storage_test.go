package storage

import (
	"encoding/binary"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

var testOwner = chain.Owner{MemberID: "core-1-aa", Name: "core-1"}

func newEntryRecord(i uint64) chain.Record {
	return chain.Record{Entry: &chain.Entry{Index: i, View: 1, Change: statemachine.Change{ID: "c"}}}
}

func newFilledDir(t *testing.T, n uint64) string {
	t.Helper()
	dir := t.TempDir()
	o, err := Open(dir, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	for i := uint64(1); i <= n; i++ {
		if _, err := o.Store.Write([]chain.Record{newEntryRecord(i)}, false); err != nil {
			t.Fatal(err)
		}
	}
	if err := o.Store.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

func lastSegment(t *testing.T, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, logDir, "0*"))
	if err != nil || len(names) == 0 {
		t.Fatal(names, err)
	}
	return names[len(names)-1]
}

func reopen(t *testing.T, dir string) (*OpenResult, error) {
	t.Helper()
	o, err := Open(dir, chain.Owner{MemberID: "core-1-bb", Name: "core-1"})
	if err == nil {
		t.Cleanup(func() { _ = o.Store.Close() })
	}
	return o, err
}

func TestRecordsAndOwnerSurviveReopen(t *testing.T) {
	o, err := reopen(t, newFilledDir(t, 5))
	if err != nil {
		t.Fatal(err)
	}
	if len(o.Records) != 6 || o.Created || o.Store.Owner() != testOwner || o.Records[5].Entry.Index != 5 {
		t.Fatalf("%d records, fresh %v, %+v", len(o.Records), o.Created, o.Store.Owner())
	}
}

func TestTornLastRecordIsTruncated(t *testing.T) {
	for cut := 1; cut < 50; cut += 7 {
		dir := newFilledDir(t, 5)
		raw, err := os.ReadFile(lastSegment(t, dir))
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(lastSegment(t, dir), raw[:len(raw)-cut], 0o640); err != nil {
			t.Fatal(err)
		}
		o, err := reopen(t, dir)
		if err != nil {
			t.Fatalf("cut %d: %v", cut, err)
		}
		if len(o.Records) != 5 || o.TornBytes == 0 {
			t.Fatalf("cut %d: %d records", cut, len(o.Records))
		}
		if _, err := o.Store.Write([]chain.Record{newEntryRecord(5)}, false); err != nil {
			t.Fatal(err)
		}
	}
}

func TestDamageInsideLogIsReportedNotTruncated(t *testing.T) {
	dir := newFilledDir(t, 8)
	path := lastSegment(t, dir)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 0x40
	if err := os.WriteFile(path, raw, 0o640); err != nil {
		t.Fatal(err)
	}
	_, err = reopen(t, dir)
	var bad *fault.Fault
	if !errors.As(err, &bad) || bad.Code != fault.DamagedData {
		t.Fatalf("got %v", err)
	}
	after, err := os.ReadFile(path)
	if err != nil || len(after) != len(raw) {
		t.Fatal("the damaged file was changed")
	}
	kept, err := Quarantine(dir, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(kept); err != nil {
		t.Fatal(err)
	}
	if o, err := reopen(t, dir); err != nil || !o.Created || o.Store.Owner().MemberID == testOwner.MemberID {
		t.Fatal("a set-aside folder must come back as a new member", err)
	}
}

func TestForeignDirIsRefused(t *testing.T) {
	dir := newFilledDir(t, 2)
	_, err := Open(dir, chain.Owner{MemberID: "core-9-zz", Name: "core-9"})
	var bad *fault.Fault
	if !errors.As(err, &bad) || bad.Code != fault.ForeignData {
		t.Fatalf("got %v", err)
	}
}

// A copy stands for the log before it only once it is kept; killed at any point between, nothing is lost.
func TestLogIsCompactedOnlyOnceSnapshotIsSynced(t *testing.T) {
	for stage, want := range map[string]struct{ records, snapshots int }{
		"written": {50 + 1 + 2, 0}, "half kept": {50 + 1 + 2, 0}, "kept": {50 + 1 + 2 + 1, 1}, "forgotten": {3, 1},
	} {
		dir := newFilledDir(t, 50)
		o, err := Open(dir, testOwner)
		if err != nil {
			t.Fatal(err)
		}
		from, err := o.Store.Write([]chain.Record{newEntryRecord(51)}, true)
		if err != nil {
			t.Fatal(err)
		}
		if stage == "half kept" {
			if err := os.WriteFile(filepath.Join(dir, logDir, snapshotName+".new"), []byte("half"), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if stage == "kept" || stage == "forgotten" {
			if err := o.Store.SaveSnapshot(chain.Snapshot{Index: 50, View: 2, State: statemachine.NewState()}, from); err != nil {
				t.Fatal(err)
			}
		}
		if stage == "forgotten" {
			if err := o.Store.Compact(from); err != nil {
				t.Fatal(err)
			}
		}
		if err := o.Store.Close(); err != nil {
			t.Fatal(err)
		}
		o, err = reopen(t, dir)
		if err != nil {
			t.Fatal(stage, err)
		}
		snapshotCount := 0
		for _, r := range o.Records {
			if r.Snapshot != nil {
				snapshotCount++
			}
		}
		if len(o.Records) != want.records || snapshotCount != want.snapshots || o.Store.Owner() != testOwner {
			t.Errorf("%s: %d records, %d copies, want %+v", stage, len(o.Records), snapshotCount, want)
		}
	}
}

// A control node that was put out of the view with entries nobody else had takes a peer's copy. Restarted, it
// must not find those entries again behind the copy.
func TestSnapshotIsReplayedAtItsLogPosition(t *testing.T) {
	dir := newFilledDir(t, 15)
	o, err := Open(dir, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	from, err := o.Store.Write(nil, false)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := o.Store.Write([]chain.Record{{View: &chain.View{Number: 2}}}, false); err != nil {
		t.Fatal(err)
	}
	if err := o.Store.SaveSnapshot(chain.Snapshot{Index: 12, View: 2, State: statemachine.NewState()}, from); err != nil {
		t.Fatal(err)
	}
	last := func() uint64 {
		t.Helper()
		o, err := reopen(t, dir)
		if err != nil {
			t.Fatal(err)
		}
		node, err := chain.NewNode(chain.Options{Self: chain.Member{ID: testOwner.MemberID}, Incarnation: "x"}, o.Records, clock.Sec)
		if err != nil {
			t.Fatal(err)
		}
		return node.LastIndex()
	}
	if got := last(); got != 12 {
		t.Errorf("after the copy at 12 the last entry is %d", got)
	}
	if _, err := o.Store.Write([]chain.Record{{Entry: &chain.Entry{Index: 13, View: 2}}}, false); err != nil {
		t.Fatal(err)
	}
	if got := last(); got != 13 {
		t.Errorf("with one entry behind the copy at 12 the last is %d", got)
	}
	if err := o.Store.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestDamagedSnapshotIsNeverLoaded(t *testing.T) {
	dir := newFilledDir(t, 3)
	o, err := Open(dir, testOwner)
	if err != nil {
		t.Fatal(err)
	}
	if err := o.Store.SaveSnapshot(chain.Snapshot{Index: 2, View: 2, State: statemachine.NewState()}, 1); err != nil {
		t.Fatal(err)
	}
	if err := o.Store.Close(); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, logDir, snapshotName)
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	raw[len(raw)/2] ^= 4
	if err := os.WriteFile(path, raw, 0o644); err != nil {
		t.Fatal(err)
	}
	var bad *fault.Fault
	if _, err := reopen(t, dir); !errors.As(err, &bad) || bad.Code != fault.DamagedData {
		t.Fatalf("got %v", err)
	}
}

func FuzzUnframe(f *testing.F) {
	f.Add(EncodeRecord([]byte("hello")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, bad := DecodeRecord(raw)
		if bad == nil && string(EncodeRecord(payload)) != string(raw) {
			t.Fatal("a frame was taken that its payload would not give")
		}
	})
}

func FuzzIntact(f *testing.F) {
	whole := []byte{}
	for i := 0; i < 3; i++ {
		framed := EncodeRecord([]byte("record"))
		whole = binary.AppendUvarint(whole, uint64(len(framed)))
		whole = append(whole, framed...)
	}
	f.Add(whole, 4)
	f.Add(append(slices.Clone(whole), 0, 0, 0), 0)
	f.Fuzz(func(t *testing.T, raw []byte, cut int) {
		if cut < 0 || cut > len(raw) {
			cut = 0
		}
		raw = raw[:len(raw)-cut]
		kept := intactBytes(raw)
		if kept < 0 || kept > len(raw) || intactBytes(raw[:kept]) != kept {
			t.Fatal(kept, len(raw))
		}
		if _, _, ok := splitRecord(raw[kept:]); ok && !allZero(raw[kept:]) {
			if framed, rest, _ := splitRecord(raw[kept:]); len(rest) > 0 {
				t.Fatalf("cut at %d of %d, before a record of %d and %d more bytes", kept, len(raw), len(framed), len(rest))
			}
		}
	})
}
