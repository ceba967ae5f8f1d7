package storage

import (
	"bytes"
	"compress/gzip"
	"os"
	"path/filepath"
	"testing"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
)

// openFault opens a folder and returns the code of the fault; empty where it opens. A refused folder must be unmodified.
func openFault(t *testing.T, dir string) fault.Code {
	t.Helper()
	before := readFiles(t, dir)
	_, err := reopen(t, dir)
	var bad *fault.Fault
	if err != nil && !errors.As(err, &bad) {
		t.Fatalf("got error %v, want a fault", err)
	}
	if bad == nil {
		return ""
	}
	for path, raw := range readFiles(t, dir) {
		if !bytes.Equal(raw, before[path]) {
			t.Fatalf("%s was modified by a refused Open", path)
		}
		delete(before, path)
	}
	if len(before) > 0 {
		t.Fatalf("files removed by a refused Open: %v", before)
	}
	return bad.Code
}

func readFiles(t *testing.T, dir string) map[string][]byte {
	t.Helper()
	all := map[string][]byte{}
	paths, err := filepath.Glob(filepath.Join(dir, logDir, "*"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if all[path], err = os.ReadFile(path); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// A record with content that only a later version knows is refused as UnknownFormat at every nesting level, and not modified.
func TestRecordOfUnknownFormatIsRefused(t *testing.T) {
	for name, payload := range map[string]string{
		"unknown record type":                   `[{"lease":{"until":5}}]`,
		"unknown field of an entry":             `[{"entry":{"index":6,"view":1,"change":{"id":"c"},"after":5}}]`,
		"unknown change type":                   `[{"entry":{"index":6,"view":1,"change":{"id":"c","quota":{}}}}]`,
		"unknown field of a view":               `[{"view":{"number":2,"voters":null,"order":null,"weights":[1]}}]`,
		"empty record":                          `[{}]`,
		"unknown record type after a known one": `[{"whole":1},{"lease":{}}]`,
	} {
		dir := newFilledDir(t, 5)
		o, err := Open(dir, testOwner)
		if err != nil {
			t.Fatal(err)
		}
		if err := o.Store.log.append([]byte(payload), false); err != nil {
			t.Fatal(err)
		}
		if err := o.Store.Close(); err != nil {
			t.Fatal(err)
		}
		if code := openFault(t, dir); code != fault.UnknownFormat {
			t.Errorf("%s: got code %q, want %q", name, code, fault.UnknownFormat)
		}
	}
}

// replaceSnapshot replaces the stored snapshot by other JSON with a valid checksum.
func replaceSnapshot(t *testing.T, dir, text string) {
	t.Helper()
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if _, err := zip.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(dir, logDir, snapshotName), EncodeRecord(buf.Bytes()), 0o640); err != nil {
		t.Fatal(err)
	}
}

func TestSnapshotOfUnknownFormatIsRefused(t *testing.T) {
	for text, want := range map[string]fault.Code{
		`{"index":2,"view":1,"state":{},"from":1,"parts":2}`:  fault.UnknownFormat,
		`{"index":2,"view":1,"state":{"quotas":{}},"from":1}`: fault.UnknownFormat,
		`{"index":2,"view":1,"state":{"epoch":"x"},"from":1}`: fault.DamagedData,
		`{"index":2,"view":1,"state":{"epoch":1},"from":1}`:   "",
	} {
		dir := newFilledDir(t, 3)
		replaceSnapshot(t, dir, text)
		if code := openFault(t, dir); code != want {
			t.Errorf("snapshot %s: got code %q, want %q", text, code, want)
		}
	}
}

// A snapshot with a flipped bit in any byte is refused, and so is one truncated at any byte.
func TestDamagedSnapshotIsRefused(t *testing.T) {
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
	for i := range raw {
		flipped := bytes.Clone(raw)
		flipped[i] ^= 1
		for _, damaged := range [][]byte{flipped, raw[:i]} {
			if _, bad := decodeSnapshot(damaged); bad == nil || bad.Code != fault.DamagedData {
				t.Fatalf("snapshot damaged or truncated at byte %d: got fault %v, want code %q", i, bad, fault.DamagedData)
			}
		}
	}
}
