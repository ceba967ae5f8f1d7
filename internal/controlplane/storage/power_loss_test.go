package storage

import (
	"fmt"
	"maps"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// powerDisk is a file system in memory that knows what a loss of power may leave: of every name that was made,
// renamed or removed since the last sync of its folder, each may be kept or lost by itself; of every write since
// the last sync of its file, each may be there, missing or torn. Not even the sync of a new file makes its name
// last here. A process that is killed leaves all as it was.
type powerDisk struct {
	names   map[string]*content
	lasting map[string]*content
	pending []nameChange

	changes int
	// before is called ahead of every change.
	before func()
	// fullFrom and fullSpan say from which change on, and how often, the disk refuses what takes room: writes, new
	// names and syncs.
	fullFrom, fullSpan int
	lie                lie
}

// content is what one file holds, and what of it has been synced. A folder has none of either.
type content struct {
	folder  bool
	data    []byte
	synced  []byte
	pending []write
}

// write is a change of a file's bytes that no sync has covered: bytes put at a place, or a new length.
type write struct {
	at    int
	bytes []byte
	isCut bool
}

// nameChange is a name that was made, renamed or removed and that no sync of its folder has covered.
type nameChange struct {
	folder   string
	from, to string
	of       *content
}

// lie is a defect of the file system, planted to show that the check sees it.
type lie string

const (
	noLie              lie = ""
	foldersAreUnsynced lie = "the sync of a folder does nothing"
	copiesAreUnsynced  lie = "a copy is renamed before it is synced"
	logIsUnsynced      lie = "the sync of the log does nothing"
)

func newPowerDisk() *powerDisk {
	root := &content{folder: true}
	return &powerDisk{names: map[string]*content{"/data": root}, lasting: map[string]*content{"/data": root}}
}

// change counts one change of the disk; the disk may refuse it.
func (d *powerDisk) change(needsRoom bool) error {
	d.changes++
	if d.before != nil {
		d.before()
	}
	if needsRoom && d.fullSpan > 0 && d.changes >= d.fullFrom {
		d.fullSpan--
		return &os.PathError{Op: "write", Path: "disk", Err: syscall.ENOSPC}
	}
	return nil
}

func (d *powerDisk) renamed(from, to string, of *content) {
	path := to
	if to == "" {
		path = from
	}
	d.pending = append(d.pending, nameChange{folder: filepath.Dir(path), from: from, to: to, of: of})
	d.pending[len(d.pending)-1].apply(d.names)
}

// apply carries the change out on a set of names; where the name stands for another file by now, that one stays.
func (c nameChange) apply(names map[string]*content) {
	if c.from != "" && names[c.from] == c.of {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.of
	}
}

func (d *powerDisk) MkdirAll(path string) error {
	if d.names[path] != nil {
		return nil
	}
	if err := d.change(true); err != nil {
		return err
	}
	d.renamed("", path, &content{folder: true})
	return nil
}

func (d *powerDisk) DirNames(folder string) ([]string, error) {
	if d.names[folder] == nil {
		return nil, missing(folder)
	}
	found := []string{}
	for path := range d.names {
		if filepath.Dir(path) == folder {
			found = append(found, filepath.Base(path))
		}
	}
	return found, nil
}

func (d *powerDisk) ReadFile(path string) ([]byte, error) {
	f := d.names[path]
	if f == nil || d.names[filepath.Dir(path)] == nil {
		return nil, missing(path)
	}
	return slices.Clone(f.data), nil
}

func (d *powerDisk) Size(path string) (int64, error) {
	f := d.names[path]
	if f == nil {
		return 0, missing(path)
	}
	return int64(len(f.data)), nil
}

func (d *powerDisk) Create(path string) (file, error) {
	if err := d.change(true); err != nil {
		return nil, err
	}
	f := d.names[path]
	if f == nil {
		f = &content{}
		d.renamed("", path, f)
	} else {
		f.cut(0)
	}
	return &powerFile{disk: d, path: path, of: f}, nil
}

func (d *powerDisk) Append(path string) (file, error) {
	f := d.names[path]
	if f == nil {
		return nil, missing(path)
	}
	return &powerFile{disk: d, path: path, of: f}, nil
}

func (d *powerDisk) Truncate(path string, size int64) error {
	if err := d.change(false); err != nil {
		return err
	}
	d.names[path].cut(int(size))
	return nil
}

func (d *powerDisk) Rename(from, to string) error {
	if err := d.change(true); err != nil {
		return err
	}
	d.renamed(from, to, d.names[from])
	return nil
}

func (d *powerDisk) Remove(path string) error {
	f := d.names[path]
	if f == nil {
		return missing(path)
	}
	if err := d.change(false); err != nil {
		return err
	}
	d.renamed(path, "", f)
	return nil
}

func (d *powerDisk) SyncDir(path string) error {
	if d.names[path] == nil {
		return missing(path)
	}
	if err := d.change(true); err != nil {
		return err
	}
	if d.lie == foldersAreUnsynced {
		return nil
	}
	d.pending = slices.DeleteFunc(d.pending, func(c nameChange) bool {
		if c.folder != path {
			return false
		}
		c.apply(d.lasting)
		return true
	})
	return nil
}

func (f *content) cut(size int) {
	f.data = f.data[:size:size]
	f.pending = append(f.pending, write{at: size, isCut: true})
}

type powerFile struct {
	disk *powerDisk
	path string
	of   *content
}

func (h *powerFile) Write(raw []byte) (int, error) {
	if err := h.disk.change(true); err != nil {
		return 0, err
	}
	w := write{at: len(h.of.data), bytes: slices.Clone(raw)}
	h.of.data, h.of.pending = put(h.of.data, w.at, raw), append(h.of.pending, w)
	return len(raw), nil
}

func (h *powerFile) Sync() error {
	if err := h.disk.change(true); err != nil {
		return err
	}
	isCopy := strings.HasPrefix(filepath.Base(h.path), snapshotName)
	if h.disk.lie == copiesAreUnsynced && isCopy || h.disk.lie == logIsUnsynced && !isCopy {
		return nil
	}
	h.of.synced, h.of.pending = slices.Clip(h.of.data), nil
	return nil
}

func (h *powerFile) Close() error { return nil }

// put is a file's bytes with some more at a place; what lies between its end and there reads as zeros.
func put(data []byte, at int, more []byte) []byte {
	if at == len(data) {
		return append(data, more...)
	}
	out := make([]byte, max(len(data), at+len(more)))
	copy(out, data)
	copy(out[at:], more)
	return out
}

// remains lists what of a file's bytes a loss of power may leave: each write there, missing, cut short, or as long
// as it was with zeros for the rest.
func (f *content) remains() [][]byte {
	all := [][]byte{f.synced}
	for _, w := range f.pending {
		more := [][]byte{}
		for _, data := range all {
			more = append(more, data)
			if w.isCut {
				more = append(more, data[:min(len(data), w.at)])
				continue
			}
			half := w.bytes[:(len(w.bytes)+1)/2]
			zeros := make([]byte, len(w.bytes)-len(half))
			for _, left := range [][]byte{w.bytes, w.bytes[:1], half, append(slices.Clone(half), zeros...)} {
				more = append(more, put(slices.Clip(data), w.at, left))
			}
		}
		all = more
	}
	return all
}

// afterPowerLoss lists every disk that a loss of power at this moment may leave.
func (d *powerDisk) afterPowerLoss() []*powerDisk {
	left := []*powerDisk{}
	for kept := range 1 << len(d.pending) {
		names := map[string]*content{}
		for path, f := range d.lasting {
			names[path] = f
		}
		for i, c := range d.pending {
			if kept>>i&1 == 1 {
				c.apply(names)
			}
		}
		left = append(left, spread(names)...)
	}
	return left
}

// afterOnePowerLoss draws one of the disks that a loss of power may leave, where there are too many to list.
func (d *powerDisk) afterOnePowerLoss(r *rand.Rand) *powerDisk {
	names := map[string]*content{}
	for path, f := range d.lasting {
		names[path] = f
	}
	for _, c := range d.pending {
		if r.Intn(2) == 0 {
			c.apply(names)
		}
	}
	left := &powerDisk{names: map[string]*content{}, lie: d.lie}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		if reachable(names, path) {
			f := names[path]
			data := f.oneRemains(r)
			left.names[path] = &content{folder: f.folder, data: data, synced: data}
		}
	}
	return left
}

// oneRemains draws what of a file's bytes is left.
func (f *content) oneRemains(r *rand.Rand) []byte {
	data := f.synced
	for _, w := range f.pending {
		all := (&content{synced: data, pending: []write{w}}).remains()
		data = all[r.Intn(len(all))]
	}
	return data
}

// spread gives one disk for each choice of what remains of each file.
func spread(names map[string]*content) []*powerDisk {
	paths := []string{}
	for path := range names {
		if reachable(names, path) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	all := []*powerDisk{{names: map[string]*content{}}}
	for _, path := range paths {
		f := names[path]
		more := []*powerDisk{}
		for _, d := range all {
			for _, data := range f.remains() {
				c := &powerDisk{names: map[string]*content{}}
				for other, held := range d.names {
					c.names[other] = held
				}
				c.names[path] = &content{folder: f.folder, data: data, synced: data}
				more = append(more, c)
			}
		}
		all = more
	}
	return all
}

// reachable: a file whose folder was lost is lost with it.
func reachable(names map[string]*content, path string) bool {
	for dir := filepath.Dir(path); dir != "/"; dir = filepath.Dir(dir) {
		if names[dir] == nil {
			return false
		}
	}
	return true
}

// copied is the same disk for another process, with what was not synced still unsynced.
func (d *powerDisk) copied() *powerDisk {
	twins := map[*content]*content{}
	twin := func(f *content) *content {
		if twins[f] == nil {
			twins[f] = &content{folder: f.folder, data: slices.Clone(f.data), synced: f.synced, pending: slices.Clone(f.pending)}
		}
		return twins[f]
	}
	c := &powerDisk{names: map[string]*content{}, lasting: map[string]*content{}, lie: d.lie}
	for path, f := range d.names {
		c.names[path] = twin(f)
	}
	for path, f := range d.lasting {
		c.lasting[path] = twin(f)
	}
	for _, p := range d.pending {
		p.of = twin(p.of)
		c.pending = append(c.pending, p)
	}
	return c
}

// settled begins a disk's next span of power, where all that is there lasts.
func (d *powerDisk) settled() *powerDisk {
	c := &powerDisk{names: d.names, lie: d.lie}
	c = c.copied()
	for path, f := range c.names {
		c.lasting[path] = f
	}
	return c
}

// holdsLog: there is a segment of a log.
func (d *powerDisk) holdsLog() bool {
	_, found := d.names[filepath.Join("/data", logDir, segmentName(1))]
	return found
}

// mark tells disks apart by what they hold.
func (d *powerDisk) mark() string {
	paths := []string{}
	for path := range d.names {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	text := strings.Builder{}
	for _, path := range paths {
		fmt.Fprintf(&text, "%s %d %s;", path, len(d.names[path].data), d.names[path].data)
	}
	return text.String()
}
