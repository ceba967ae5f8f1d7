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

// newFilledDir returns a folder with the owner record and n entries.
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
		t.Fatalf("segments in %s: got %v, error %v; want at least one", dir, names, err)
	}
	return names[len(names)-1]
}

// reopen opens a folder for the same member name with a new member ID.
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
		t.Fatalf("got %d records, created %v, owner %+v; want 6 records, false, owner %+v, last entry 5",
			len(o.Records), o.Created, o.Store.Owner(), testOwner)
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
			t.Fatalf("log without its last %d bytes: got error %v, want none", cut, err)
		}
		if len(o.Records) != 5 || o.TornBytes == 0 {
			t.Fatalf("log without its last %d bytes: got %d records, %d torn bytes; want 5 records, some torn bytes",
				cut, len(o.Records), o.TornBytes)
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
		t.Fatalf("damaged segment after Open: got %d bytes, error %v; want %d bytes", len(after), err, len(raw))
	}
	kept, err := Quarantine(dir, "x")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(kept); err != nil {
		t.Fatal(err)
	}
	if o, err := reopen(t, dir); err != nil || !o.Created || o.Store.Owner().MemberID == testOwner.MemberID {
		t.Fatalf("open after Quarantine: got %+v, error %v; want an empty folder of a new member", o, err)
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

// The log before a snapshot may be removed only once the snapshot is saved. A kill at any stage of this loses nothing.
func TestLogIsCompactedOnlyOnceSnapshotIsSynced(t *testing.T) {
	for stage, want := range map[string]struct{ records, snapshots int }{
		"new segment": {50 + 1 + 2, 0}, "partial snapshot": {50 + 1 + 2, 0}, "snapshot saved": {50 + 1 + 2 + 1, 1}, "log compacted": {3, 1},
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
		if stage == "partial snapshot" {
			if err := os.WriteFile(filepath.Join(dir, logDir, snapshotName+".new"), []byte("half"), 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if stage == "snapshot saved" || stage == "log compacted" {
			if err := o.Store.SaveSnapshot(chain.Snapshot{Index: 50, View: 2, State: statemachine.NewState()}, from); err != nil {
				t.Fatal(err)
			}
		}
		if stage == "log compacted" {
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
			t.Errorf("%s: got %d records, %d snapshots, owner %+v; want %+v, owner %+v",
				stage, len(o.Records), snapshotCount, o.Store.Owner(), want, testOwner)
		}
	}
}

// A control node that was removed from the view with entries that no other member had installs a peer's snapshot. After a
// restart, it must not replay those entries on top of the snapshot.
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
		t.Errorf("last entry after the snapshot at 12: got %d, want 12", got)
	}
	if _, err := o.Store.Write([]chain.Record{{Entry: &chain.Entry{Index: 13, View: 2}}}, false); err != nil {
		t.Fatal(err)
	}
	if got := last(); got != 13 {
		t.Errorf("last entry with one entry after the snapshot at 12: got %d, want 13", got)
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

func FuzzDecodeRecord(f *testing.F) {
	f.Add(EncodeRecord([]byte("hello")))
	f.Add([]byte{1, 2, 3})
	f.Fuzz(func(t *testing.T, raw []byte) {
		payload, bad := DecodeRecord(raw)
		if bad == nil && string(EncodeRecord(payload)) != string(raw) {
			t.Fatalf("record %x was decoded to a payload that encodes differently", raw)
		}
	})
}

func FuzzIntactBytes(f *testing.F) {
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
			t.Fatalf("intactBytes: got %d for %d bytes, want a length within the data that is intact itself", kept, len(raw))
		}
		if _, _, ok := splitRecord(raw[kept:]); ok && !allZero(raw[kept:]) {
			if framed, rest, _ := splitRecord(raw[kept:]); len(rest) > 0 {
				t.Fatalf("truncated at byte %d of %d, before a complete record of %d bytes and %d further bytes",
					kept, len(raw), len(framed), len(rest))
			}
		}
	})
}
