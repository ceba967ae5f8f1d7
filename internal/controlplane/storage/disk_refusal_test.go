package storage

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
)

// refusingDisk is an in-memory file system that refuses a range of its operations and models what a power loss would leave.
// A failed sync drops the unsynced data from what a power loss leaves while reads still return it, as operating systems do.
type refusingDisk struct {
	files, durable          map[string]*inode
	ops                     int
	refuseFrom, refuseCount int
	mode                    string
	refused                 int
	afterRefusal            func(what string)
	beforeOp                func()
}

type inode struct {
	data, synced []byte
	dropped      int
}

// newRefusingDisk returns an empty disk that refuses nothing.
func newRefusingDisk() *refusingDisk {
	return &refusingDisk{files: map[string]*inode{}, durable: map[string]*inode{}}
}

var errEIO = syscall.EIO

// op counts a modifying operation and refuses it if it is in the range to refuse.
func (d *refusingDisk) op(what string) error {
	d.ops++
	if d.beforeOp != nil {
		d.beforeOp()
	}
	if d.ops < d.refuseFrom || d.ops >= d.refuseFrom+d.refuseCount {
		return nil
	}
	d.refused++
	defer func() {
		if d.afterRefusal != nil {
			d.afterRefusal(what)
		}
	}()
	return &os.PathError{Op: what, Path: fmt.Sprint("operation ", d.ops), Err: syscall.ENOSPC}
}

func notExistError(path string) error {
	return &os.PathError{Op: "open", Path: path, Err: syscall.ENOENT}
}

func (d *refusingDisk) MkdirAll(string) error { return d.op("mkdir") }

func (d *refusingDisk) DirNames(folder string) ([]string, error) {
	names := []string{}
	for path := range d.files {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

func (d *refusingDisk) ReadFile(path string) ([]byte, error) {
	f := d.files[path]
	if f == nil {
		return nil, notExistError(path)
	}
	return slices.Clone(f.data), nil
}

func (d *refusingDisk) Size(path string) (int64, error) {
	f := d.files[path]
	if f == nil {
		return 0, notExistError(path)
	}
	return int64(len(f.data)), nil
}

func (d *refusingDisk) Create(path string) (file, error) {
	if err := d.op("create"); err != nil {
		return nil, err
	}
	d.files[path] = &inode{dropped: -1}
	return &handle{d, path, d.files[path]}, nil
}

func (d *refusingDisk) Append(path string) (file, error) {
	if d.files[path] == nil {
		return nil, notExistError(path)
	}
	if err := d.op("append"); err != nil {
		return nil, err
	}
	return &handle{d, path, d.files[path]}, nil
}

func (d *refusingDisk) Truncate(path string, size int64) error {
	if err := d.op("truncate"); err != nil {
		return err
	}
	f := d.files[path]
	if d.mode != "truncate without effect" {
		f.data = f.data[:size:size]
	}
	if f.dropped >= int(size) {
		f.dropped = -1
	}
	return nil
}

func (d *refusingDisk) Rename(from, to string) error {
	if err := d.op("rename"); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *refusingDisk) Remove(path string) error {
	if d.files[path] == nil {
		return notExistError(path)
	}
	if err := d.op("remove"); err != nil {
		return err
	}
	delete(d.files, path)
	return nil
}

func (d *refusingDisk) SyncDir(string) error {
	if err := d.op("sync folder"); err != nil {
		return err
	}
	d.durable = maps.Clone(d.files)
	return nil
}

type handle struct {
	disk  *refusingDisk
	path  string
	inode *inode
}

func (h *handle) Write(raw []byte) (int, error) {
	if err := h.disk.op("write"); err != nil {
		n := 0
		switch h.disk.mode {
		case "half":
			n = len(raw) / 2
		case "all but one":
			n = len(raw) - 1
		}
		h.inode.data = append(h.inode.data, raw[:n]...)
		return n, err
	}
	h.inode.data = append(h.inode.data, raw...)
	return len(raw), nil
}

func (h *handle) Sync() error {
	if err := h.disk.op("sync"); err != nil {
		h.inode.dropped = len(h.inode.synced)
		return &os.PathError{Op: "sync", Path: h.path, Err: errEIO}
	}
	if h.disk.mode == "sync without effect" {
		return nil
	}
	syncedBefore := len(h.inode.synced)
	h.inode.synced = slices.Clone(h.inode.data)
	if h.inode.dropped >= 0 {
		clear(h.inode.synced[min(h.inode.dropped, len(h.inode.synced)):])
	}
	if syncedBefore > len(h.inode.synced) || h.inode.dropped < 0 {
		h.inode.dropped = -1
	}
	for path, f := range h.disk.files {
		if f == h.inode {
			h.disk.durable[path] = f
		}
	}
	return nil
}

func (h *handle) Close() error { return nil }

// afterLoss returns the disk as another process finds it: with all data after a kill, and without unsynced data or with half
// of it after a power loss.
func (d *refusingDisk) afterLoss(loss string) *refusingDisk {
	remaining := newRefusingDisk()
	from := d.files
	if loss != "killed" {
		from = d.durable
	}
	for path, f := range from {
		data := slices.Clone(f.synced)
		switch {
		case loss == "killed":
			data = slices.Clone(f.data)
		case loss == "torn" && len(f.data) > len(f.synced):
			data = slices.Clone(f.data[:(len(f.synced)+len(f.data)+1)/2])
		}
		remaining.files[path] = &inode{data: data, synced: slices.Clone(data), dropped: -1}
	}
	remaining.durable = maps.Clone(remaining.files)
	return remaining
}

// retryingCaller drives a store and retries each operation until the disk accepts it, as a control node does.
type retryingCaller struct {
	store         *Store
	synced        []uint64
	inProgress    []uint64
	snapshotIndex uint64
}

func (c *retryingCaller) retry(try func() error) error {
	for n := 0; n < 60; n++ {
		err := try()
		if err == nil {
			return nil
		}
		var bad *fault.Fault
		if errors.As(err, &bad) {
			return err
		}
	}
	return errors.New("the store still fails after 60 attempts")
}

func (c *retryingCaller) write(fresh bool, indexes ...uint64) (from uint64, err error) {
	records := []chain.Record{}
	for _, i := range indexes {
		r := newEntryRecord(i)
		r.Entry.Change.ID = strings.Repeat("x", int(40+i*7%300))
		records = append(records, r)
	}
	c.inProgress = indexes
	err = c.retry(func() (err error) {
		from, err = c.store.Write(records, fresh)
		return err
	})
	c.synced, c.inProgress = append(c.synced, indexes...), nil
	return from, err
}

// verify opens the store on a disk and returns a violation unless everything that was synced is recovered, in order and once,
// and beyond it at most the write in progress.
func (c *retryingCaller) verify(d *refusingDisk) string {
	o, err := openFiles(d, "/data", chain.Owner{MemberID: "core-1-zz", Name: "core-1"})
	if err != nil {
		return err.Error()
	}
	if len(c.synced) > 0 && (o.Created || o.Store.Owner() != testOwner) {
		return fmt.Sprintf("got owner %+v, created %v; want owner %+v of an existing folder", o.Store.Owner(), o.Created, testOwner)
	}
	got := []uint64{}
	snapshotIndex := uint64(0)
	for _, r := range o.Records {
		switch {
		case r.Snapshot != nil:
			snapshotIndex = r.Snapshot.Index
		case r.Entry != nil:
			got = append(got, r.Entry.Index)
		}
	}
	if snapshotIndex < c.snapshotIndex {
		return fmt.Sprintf("index of the snapshot: got %d, want at least %d", snapshotIndex, c.snapshotIndex)
	}
	want := slices.Clone(c.synced)
	for len(want) > 0 && want[0] <= snapshotIndex && (len(got) == 0 || want[0] < got[0]) {
		want = want[1:]
	}
	if slices.Equal(got, want) || (len(c.inProgress) > 0 && slices.Equal(got, append(want, c.inProgress...))) {
		return ""
	}
	return fmt.Sprintf("entries: got %v, want %v, with %v in progress and a snapshot at %d", got, want, c.inProgress, snapshotIndex)
}

// runLifecycle writes records, saves a snapshot, compacts the log and writes more records, twice. It returns the first
// violation that verify finds and the number of entries written.
func runLifecycle(d *refusingDisk, verify func(c *retryingCaller) string) (string, int) {
	c := &retryingCaller{}
	var o *OpenResult
	if err := c.retry(func() (err error) {
		o, err = openFiles(d, "/data", testOwner)
		return err
	}); err != nil {
		return err.Error(), 0
	}
	c.store = o.Store
	c.store.log.maxSegmentBytes = 600
	failure := ""
	check := func(at string) {
		if failure == "" {
			if reason := verify(c); reason != "" {
				failure = at + ": " + reason
			}
		}
	}
	d.afterRefusal = func(what string) { check("while " + what + " is refused") }
	step := func(err error) {
		if err != nil && failure == "" {
			failure = err.Error()
		}
	}
	next := uint64(0)
	nextIndexes := func(n int) (indexes []uint64) {
		for ; n > 0; n-- {
			next++
			indexes = append(indexes, next)
		}
		return indexes
	}
	for round := 0; round < 2; round++ {
		for _, n := range []int{1, 3, 1, 4, 1} {
			_, err := c.write(false, nextIndexes(n)...)
			step(err)
		}
		snapshotIndex := next
		from, err := c.write(true, nextIndexes(2)...)
		step(err)
		step(c.retry(func() error {
			return c.store.SaveSnapshot(chain.Snapshot{Index: snapshotIndex, State: statemachine.NewState()}, from)
		}))
		c.snapshotIndex = snapshotIndex
		step(c.retry(func() error { return c.store.Compact(from) }))
		step(func() error { _, err := c.write(false, nextIndexes(3)...); return err }())
	}
	step(c.store.Close())
	check("at the end")
	return failure, len(c.synced)
}

// losses are the ways in which a process ends: killed, or by a power loss that drops all or half of the unsynced data.
var losses = []string{"killed", "lost", "torn"}

// verifyAfterLosses returns a function that verifies what is recovered from the disk after each of losses.
func verifyAfterLosses(d *refusingDisk) func(c *retryingCaller) string {
	return func(c *retryingCaller) string {
		for _, loss := range losses {
			if reason := c.verify(d.afterLoss(loss)); reason != "" {
				return loss + ": " + reason
			}
		}
		return ""
	}
}

// Whichever operation the disk refuses and however often, the retried write is recorded once, and at every moment all synced
// entries are recovered, once and in order, after a kill and after a power loss.
func TestRefusedWriteIsRetriedExactlyOnce(t *testing.T) {
	baseline := newRefusingDisk()
	if reason, n := runLifecycle(baseline, verifyAfterLosses(baseline)); reason != "" || n < 30 {
		t.Fatalf("without refusals: got violation %q and %d entries, want none and at least 30", reason, n)
	}
	spans, stride := []int{1, 3, 20}, 1
	if raceEnabled {
		spans, stride = []int{3}, 3
	}
	for _, mode := range []string{"whole", "half", "all but one"} {
		for _, span := range spans {
			t.Run(fmt.Sprintf("%s, %d", mode, span), func(t *testing.T) {
				t.Parallel()
				for from := 1; from <= baseline.ops; from += stride {
					d := newRefusingDisk()
					d.mode, d.refuseFrom, d.refuseCount = mode, from, span
					if reason, _ := runLifecycle(d, verifyAfterLosses(d)); reason != "" {
						t.Fatalf("%d operations refused from operation %d on: %s", span, from, reason)
					}
					if d.refused == 0 {
						t.Fatalf("operations refused from operation %d on: got 0, want at least 1", from)
					}
				}
			})
		}
	}
	t.Logf("%d operations, each the first of each tested number of refusals", baseline.ops)
}

// The check must detect two mutations: a disk on which truncate has no effect, and one on which sync has none.
func TestRefusedWriteCheckCanFail(t *testing.T) {
	for _, mode := range []string{"truncate without effect", "sync without effect"} {
		detected := false
		for from := 1; from <= 80 && !detected; from++ {
			d := newRefusingDisk()
			d.mode, d.refuseFrom, d.refuseCount = mode, from, 1
			reason, _ := runLifecycle(d, verifyAfterLosses(d))
			detected = reason != ""
		}
		if !detected {
			t.Errorf("mutation %q: got no violation, want one", mode)
		}
	}
}
