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

// trial is a file system in memory that refuses one stretch of its operations, and that knows what a
// loss of power would leave. After a sync that failed it has dropped what was to be synced, and shows it
// all the same, as systems do.
type trial struct {
	now, lasting map[string]*inode
	ops          int
	from, span   int
	how          string
	refused      int
	after        func(what string)
	each         func()
}

type inode struct {
	data, synced []byte
	dropped      int
}

func newTrial() *trial { return &trial{now: map[string]*inode{}, lasting: map[string]*inode{}} }

var errEIO = syscall.EIO

// op counts an operation that changes something, and refuses it where it is this one's turn.
func (d *trial) op(what string) error {
	d.ops++
	if d.each != nil {
		d.each()
	}
	if d.ops < d.from || d.ops >= d.from+d.span {
		return nil
	}
	d.refused++
	defer func() {
		if d.after != nil {
			d.after(what)
		}
	}()
	return &os.PathError{Op: what, Path: fmt.Sprint("operation ", d.ops), Err: syscall.ENOSPC}
}

func missing(path string) error { return &os.PathError{Op: "open", Path: path, Err: syscall.ENOENT} }

func (d *trial) MkdirAll(string) error { return d.op("mkdir") }

func (d *trial) DirNames(folder string) ([]string, error) {
	names := []string{}
	for path := range d.now {
		if filepath.Dir(path) == folder {
			names = append(names, filepath.Base(path))
		}
	}
	return names, nil
}

func (d *trial) ReadFile(path string) ([]byte, error) {
	f := d.now[path]
	if f == nil {
		return nil, missing(path)
	}
	return slices.Clone(f.data), nil
}

func (d *trial) Size(path string) (int64, error) {
	f := d.now[path]
	if f == nil {
		return 0, missing(path)
	}
	return int64(len(f.data)), nil
}

func (d *trial) Create(path string) (file, error) {
	if err := d.op("create"); err != nil {
		return nil, err
	}
	d.now[path] = &inode{dropped: -1}
	return &handle{d, path, d.now[path]}, nil
}

func (d *trial) Append(path string) (file, error) {
	if d.now[path] == nil {
		return nil, missing(path)
	}
	if err := d.op("append"); err != nil {
		return nil, err
	}
	return &handle{d, path, d.now[path]}, nil
}

func (d *trial) Truncate(path string, size int64) error {
	if err := d.op("truncate"); err != nil {
		return err
	}
	f := d.now[path]
	if d.how != "truncate lies" {
		f.data = f.data[:size:size]
	}
	if f.dropped >= int(size) {
		f.dropped = -1
	}
	return nil
}

func (d *trial) Rename(from, to string) error {
	if err := d.op("rename"); err != nil {
		return err
	}
	d.now[to] = d.now[from]
	delete(d.now, from)
	return nil
}

func (d *trial) Remove(path string) error {
	if d.now[path] == nil {
		return missing(path)
	}
	if err := d.op("remove"); err != nil {
		return err
	}
	delete(d.now, path)
	return nil
}

func (d *trial) SyncDir(string) error {
	if err := d.op("sync folder"); err != nil {
		return err
	}
	d.lasting = maps.Clone(d.now)
	return nil
}

type handle struct {
	disk *trial
	path string
	of   *inode
}

func (h *handle) Write(raw []byte) (int, error) {
	if err := h.disk.op("write"); err != nil {
		n := 0
		switch h.disk.how {
		case "half":
			n = len(raw) / 2
		case "all but one":
			n = len(raw) - 1
		}
		h.of.data = append(h.of.data, raw[:n]...)
		return n, err
	}
	h.of.data = append(h.of.data, raw...)
	return len(raw), nil
}

func (h *handle) Sync() error {
	if err := h.disk.op("sync"); err != nil {
		h.of.dropped = len(h.of.synced)
		return &os.PathError{Op: "sync", Path: h.path, Err: errEIO}
	}
	if h.disk.how == "sync lies" {
		return nil
	}
	was := len(h.of.synced)
	h.of.synced = slices.Clone(h.of.data)
	if h.of.dropped >= 0 {
		clear(h.of.synced[min(h.of.dropped, len(h.of.synced)):])
	}
	if was > len(h.of.synced) || h.of.dropped < 0 {
		h.of.dropped = -1
	}
	for path, f := range h.disk.now {
		if f == h.of {
			h.disk.lasting[path] = f
		}
	}
	return nil
}

func (h *handle) Close() error { return nil }

// left is the disk as another process finds it: after a kill, or after a loss of power with what was not
// synced gone, or half of it gone.
func (d *trial) left(loss string) *trial {
	l := newTrial()
	from := d.now
	if loss != "killed" {
		from = d.lasting
	}
	for path, f := range from {
		data := slices.Clone(f.synced)
		switch {
		case loss == "killed":
			data = slices.Clone(f.data)
		case loss == "torn" && len(f.data) > len(f.synced):
			data = slices.Clone(f.data[:(len(f.synced)+len(f.data)+1)/2])
		}
		l.now[path] = &inode{data: data, synced: slices.Clone(data), dropped: -1}
	}
	l.lasting = maps.Clone(l.now)
	return l
}

// caller tries the same again until the disk takes it, as a control node does.
type caller struct {
	store  *Store
	synced []uint64
	trying []uint64
	copied uint64
}

func (c *caller) insist(try func() error) error {
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
	return errors.New("the disk takes bytes again, and the store does not")
}

func (c *caller) write(fresh bool, indexes ...uint64) (from uint64, err error) {
	records := []chain.Record{}
	for _, i := range indexes {
		r := entry(i)
		r.Entry.Change.ID = strings.Repeat("x", int(40+i*7%300))
		records = append(records, r)
	}
	c.trying = indexes
	err = c.insist(func() (err error) {
		from, err = c.store.Write(records, fresh)
		return err
	})
	c.synced, c.trying = append(c.synced, indexes...), nil
	return from, err
}

// found holds what a folder gives back against what was synced: all of it, in order and once, and at
// most the one write under way besides.
func (c *caller) found(d *trial) string {
	o, err := openFiles(d, "/data", chain.Owner{MemberID: "core-1-zz", Name: "core-1"})
	if err != nil {
		return err.Error()
	}
	if len(c.synced) > 0 && (o.Created || o.Store.Owner() != mine) {
		return fmt.Sprintf("it came back as %+v, fresh %v", o.Store.Owner(), o.Created)
	}
	got := []uint64{}
	copied := uint64(0)
	for _, r := range o.Records {
		switch {
		case r.Snapshot != nil:
			copied = r.Snapshot.Index
		case r.Entry != nil:
			got = append(got, r.Entry.Index)
		}
	}
	if copied < c.copied {
		return fmt.Sprintf("the copy at %d is gone: found %d", c.copied, copied)
	}
	want := slices.Clone(c.synced)
	for len(want) > 0 && want[0] <= copied && (len(got) == 0 || want[0] < got[0]) {
		want = want[1:]
	}
	if slices.Equal(got, want) || (len(c.trying) > 0 && slices.Equal(got, append(want, c.trying...))) {
		return ""
	}
	return fmt.Sprintf("got %v, want %v, under way %v, copy %d", got, want, c.trying, copied)
}

// life is a store's whole life: records, a copy with a fresh beginning, forgetting, and records again.
func life(d *trial, judge func(c *caller) string) (string, int) {
	c := &caller{}
	var o *OpenResult
	if err := c.insist(func() (err error) {
		o, err = openFiles(d, "/data", mine)
		return err
	}); err != nil {
		return err.Error(), 0
	}
	c.store = o.Store
	c.store.log.maxSegmentBytes = 600
	seen := ""
	look := func(at string) {
		if seen == "" {
			if why := judge(c); why != "" {
				seen = at + ": " + why
			}
		}
	}
	d.after = func(what string) { look("while " + what + " is refused") }
	step := func(err error) {
		if err != nil && seen == "" {
			seen = err.Error()
		}
	}
	next := uint64(0)
	some := func(n int) (indexes []uint64) {
		for ; n > 0; n-- {
			next++
			indexes = append(indexes, next)
		}
		return indexes
	}
	for round := 0; round < 2; round++ {
		for _, n := range []int{1, 3, 1, 4, 1} {
			_, err := c.write(false, some(n)...)
			step(err)
		}
		upto := next
		from, err := c.write(true, some(2)...)
		step(err)
		step(c.insist(func() error {
			return c.store.SaveSnapshot(chain.Snapshot{Index: upto, State: statemachine.NewState()}, from)
		}))
		c.copied = upto
		step(c.insist(func() error { return c.store.Compact(from) }))
		step(func() error { _, err := c.write(false, some(3)...); return err }())
	}
	step(c.store.Close())
	look("at the end")
	return seen, len(c.synced)
}

var losses = []string{"killed", "lost", "torn"}

func judged(d *trial) func(c *caller) string {
	return func(c *caller) string {
		for _, loss := range losses {
			if why := c.found(d.left(loss)); why != "" {
				return loss + ": " + why
			}
		}
		return ""
	}
}

// Whatever the disk refuses, and for however long: the same is tried again, and at every moment all that
// was synced is there, once and in order, after a kill and after a loss of power.
func TestRefusedWriteIsRetriedExactlyOnce(t *testing.T) {
	plain := newTrial()
	if why, n := life(plain, judged(plain)); why != "" || n < 30 {
		t.Fatal(why, n)
	}
	spans, stride := []int{1, 3, 20}, 1
	if raced {
		spans, stride = []int{3}, 3
	}
	for _, how := range []string{"whole", "half", "all but one"} {
		for _, span := range spans {
			t.Run(fmt.Sprintf("%s, %d", how, span), func(t *testing.T) {
				t.Parallel()
				for from := 1; from <= plain.ops; from += stride {
					d := newTrial()
					d.how, d.from, d.span = how, from, span
					if why, _ := life(d, judged(d)); why != "" {
						t.Fatalf("%d operations from %d on refused: %s", span, from, why)
					}
					if d.refused == 0 {
						t.Fatalf("nothing was refused from %d on", from)
					}
				}
			})
		}
	}
	t.Logf("%d operations, each refused alone and as the first of 3 and of 20", plain.ops)
}

// The check itself must be able to fail: a disk that does not cut, and one that does not sync.
func TestRefusedWriteCheckCanFail(t *testing.T) {
	for _, how := range []string{"truncate lies", "sync lies"} {
		caught := false
		for from := 1; from <= 80 && !caught; from++ {
			d := newTrial()
			d.how, d.from, d.span = how, from, 1
			why, _ := life(d, judged(d))
			caught = why != ""
		}
		if !caught {
			t.Errorf("%s was not caught", how)
		}
	}
}
