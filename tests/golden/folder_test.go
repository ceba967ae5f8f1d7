package golden

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/controlplane/storage"
)

// oldFolders were written by the code of commit 11c16aa: all kinds of records in two files of the log, a snapshot that
// stands before the second, and beside one of them a folder that was set aside for damage. records.json is what that
// code read there, state.json the state that it made of it.
var oldFolders = []string{"testdata/folder-declared", "testdata/folder-routed"}

// copied is a copy of an old folder that a test may change.
func copied(t *testing.T, folder string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), "data")
	if err := os.CopyFS(to, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return to
}

func readFile(t *testing.T, path ...string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

var self = chain.Owner{MemberID: "core-0-new", Name: "core-0"}

func opened(t *testing.T, folder string) *storage.OpenResult {
	t.Helper()
	o, err := storage.Open(folder, self)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = o.Store.Close() })
	return o
}

func TestOldDataFolderIsRead(t *testing.T) {
	for _, folder := range oldFolders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			dir := copied(t, folder)
			o := opened(t, dir)
			if o.Created || o.TornBytes != 0 || o.WriteErr != nil || o.Store.Owner().Name != self.Name || o.Store.Owner() == self {
				t.Fatalf("created %v, %d torn bytes, %v, owner %+v", o.Created, o.TornBytes, o.WriteErr, o.Store.Owner())
			}
			if diff := cmp.Diff(string(readFile(t, folder, "records.json")), string(encoded(t, o.Records))+"\n"); diff != "" {
				t.Errorf("records (-recorded +today):\n%s", diff)
			}
			if diff := cmp.Diff(string(readFile(t, folder, "state.json")), string(replayed(t, o.Records))+"\n"); diff != "" {
				t.Errorf("state (-recorded +today):\n%s", diff)
			}
			holdsAllKinds(t, o.Records, "seal", "view", "promised", "accepted", "entry", "copy", "whole")
			startsFrom(t, o.Records)
			setAside := filepath.Join("chain.damaged-i7", "copy")
			if _, err := os.Stat(filepath.Join(folder, setAside)); err == nil && !bytes.Equal(readFile(t, folder, setAside), readFile(t, dir, setAside)) {
				t.Error("what was set aside before was changed")
			}
		})
	}
}

// replayed is the state that the records make, from the snapshot and the entries behind it.
func replayed(t *testing.T, records []chain.Record) []byte {
	t.Helper()
	state := statemachine.NewState()
	for _, r := range records {
		switch {
		case r.Snapshot != nil:
			if before := state.Encode(); !bytes.Equal(before, r.Snapshot.State.Encode()) {
				t.Errorf("the entries before the snapshot make another state than it holds:\n%s", cmp.Diff(string(r.Snapshot.State.Encode()), string(before)))
			}
			state = r.Snapshot.State.Snapshot()
		case r.Entry != nil && r.Entry.Index > state.Index:
			state.Apply(r.Entry.Index, r.Entry.Change)
		}
	}
	return state.Encode()
}

func holdsAllKinds(t *testing.T, records []chain.Record, kinds ...string) {
	t.Helper()
	seen := map[string]bool{}
	for _, r := range records {
		fields := map[string]json.RawMessage{}
		if err := json.Unmarshal(encoded(t, r), &fields); err != nil {
			t.Fatal(err)
		}
		for kind := range fields {
			seen[kind] = true
		}
	}
	for _, kind := range kinds {
		if !seen[kind] {
			t.Errorf("the folder holds no record %q", kind)
		}
	}
}

// startsFrom checks that a member of the chain begins from the snapshot.
func startsFrom(t *testing.T, records []chain.Record) {
	t.Helper()
	snapshot := uint64(0)
	for _, r := range records {
		if r.Snapshot != nil {
			snapshot = r.Snapshot.Index
		}
	}
	node, err := chain.NewNode(chain.Options{Self: chain.Member{ID: "core-0-i1", Name: "core-0", Addr: "core-0:1", Zone: "a"}, Incarnation: "i9", BootstrapCount: 3}, records, 1_000_000)
	if err != nil {
		t.Fatal(err)
	}
	if got := node.State().Index; got != snapshot || snapshot == 0 {
		t.Errorf("the member begins at %d, the snapshot is of %d", got, snapshot)
	}
}

func TestOldDataFolderIsWrittenOn(t *testing.T) {
	for _, folder := range oldFolders {
		t.Run(filepath.Base(folder), func(t *testing.T) {
			dir := copied(t, folder)
			o := opened(t, dir)
			records := o.Records
			more := records[len(records)-1]
			if _, err := o.Store.Write([]chain.Record{more}, false); err != nil {
				t.Fatal(err)
			}
			if err := o.Store.Close(); err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(encoded(t, append(records, more))), string(encoded(t, opened(t, dir).Records))); diff != "" {
				t.Errorf("read again:\n%s", diff)
			}
		})
	}
}

func TestDamagedOldDataFolderIsSetAside(t *testing.T) {
	for _, folder := range oldFolders {
		for _, name := range []string{"copy", "00000000000000000001"} {
			t.Run(filepath.Base(folder)+"/"+name, func(t *testing.T) {
				dir := copied(t, folder)
				raw := readFile(t, dir, "chain", name)
				raw[len(raw)/2] ^= 0x40
				if err := os.WriteFile(filepath.Join(dir, "chain", name), raw, 0o640); err != nil {
					t.Fatal(err)
				}
				_, err := storage.Open(dir, self)
				var bad *fault.Fault
				if !errors.As(err, &bad) || bad.Code != "damaged_data" {
					t.Fatalf("opened with %v", err)
				}
				to, err := storage.Quarantine(dir, "i8")
				if err != nil {
					t.Fatal(err)
				}
				if want := filepath.Join(dir, "chain.damaged-i8"); to != want {
					t.Errorf("set aside as %s, not %s", to, want)
				}
				if !bytes.Equal(raw, readFile(t, to, name)) {
					t.Error("the damaged file was changed")
				}
				if o := opened(t, dir); !o.Created || len(o.Records) != 0 || o.Store.Owner() != self {
					t.Errorf("created %v, %d records, owner %+v", o.Created, len(o.Records), o.Store.Owner())
				}
			})
		}
	}
}
