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

// powerDisk is an in-memory file system that models what a power loss may leave:
//   - Each name created, renamed or removed since the last sync of its folder is independently kept or lost. Syncing a new
//     file does not make its name durable.
//   - Each write since the last sync of its file is independently complete, missing or torn.
//
// A killed process leaves everything as it was.
type powerDisk struct {
	names   map[string]*fileContent
	durable map[string]*fileContent
	pending []nameChange

	changes int
	// before is called before every change.
	before func()
	// fullFrom is the first change at which the disk is full, fullSpan the number of changes that it then refuses. It refuses
	// changes that need space: writes, new names and syncs.
	fullFrom, fullSpan int
	mutation           mutation
}

// fileContent is the current, synced and unsynced content of a file. A folder has none.
type fileContent struct {
	folder  bool
	data    []byte
	synced  []byte
	pending []pendingWrite
}

// pendingWrite is an unsynced change of a file's bytes: bytes written at an offset, or a truncation.
type pendingWrite struct {
	at           int
	bytes        []byte
	isTruncation bool
}

// nameChange is an unsynced creation, renaming or removal of a name.
type nameChange struct {
	folder   string
	from, to string
	file     *fileContent
}

// mutation is a deliberate defect of the file system, injected to test that the checks detect it.
type mutation string

const (
	noMutation       mutation = ""
	skipDirSync      mutation = "folder sync without effect"
	skipSnapshotSync mutation = "snapshot sync without effect"
	skipLogSync      mutation = "log sync without effect"
)

func newPowerDisk() *powerDisk {
	root := &fileContent{folder: true}
	return &powerDisk{names: map[string]*fileContent{"/data": root}, durable: map[string]*fileContent{"/data": root}}
}

// change counts one change of the disk and returns an error where the disk is full.
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

// changeName applies a name change and records it as unsynced. An empty from creates a name, an empty to removes one.
func (d *powerDisk) changeName(from, to string, of *fileContent) {
	path := to
	if to == "" {
		path = from
	}
	d.pending = append(d.pending, nameChange{folder: filepath.Dir(path), from: from, to: to, file: of})
	d.pending[len(d.pending)-1].apply(d.names)
}

// apply applies the change to a set of names. A name that refers to another file by now is not removed.
func (c nameChange) apply(names map[string]*fileContent) {
	if c.from != "" && names[c.from] == c.file {
		delete(names, c.from)
	}
	if c.to != "" {
		names[c.to] = c.file
	}
}

func (d *powerDisk) MkdirAll(path string) error {
	if d.names[path] != nil {
		return nil
	}
	if err := d.change(true); err != nil {
		return err
	}
	d.changeName("", path, &fileContent{folder: true})
	return nil
}

func (d *powerDisk) DirNames(folder string) ([]string, error) {
	if d.names[folder] == nil {
		return nil, notExistError(folder)
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
		return nil, notExistError(path)
	}
	return slices.Clone(f.data), nil
}

func (d *powerDisk) Size(path string) (int64, error) {
	f := d.names[path]
	if f == nil {
		return 0, notExistError(path)
	}
	return int64(len(f.data)), nil
}

func (d *powerDisk) Create(path string) (file, error) {
	if err := d.change(true); err != nil {
		return nil, err
	}
	f := d.names[path]
	if f == nil {
		f = &fileContent{}
		d.changeName("", path, f)
	} else {
		f.truncate(0)
	}
	return &powerFile{disk: d, path: path, content: f}, nil
}

func (d *powerDisk) Append(path string) (file, error) {
	f := d.names[path]
	if f == nil {
		return nil, notExistError(path)
	}
	return &powerFile{disk: d, path: path, content: f}, nil
}

func (d *powerDisk) Truncate(path string, size int64) error {
	if err := d.change(false); err != nil {
		return err
	}
	d.names[path].truncate(int(size))
	return nil
}

func (d *powerDisk) Rename(from, to string) error {
	if err := d.change(true); err != nil {
		return err
	}
	d.changeName(from, to, d.names[from])
	return nil
}

func (d *powerDisk) Remove(path string) error {
	f := d.names[path]
	if f == nil {
		return notExistError(path)
	}
	if err := d.change(false); err != nil {
		return err
	}
	d.changeName(path, "", f)
	return nil
}

func (d *powerDisk) SyncDir(path string) error {
	if d.names[path] == nil {
		return notExistError(path)
	}
	if err := d.change(true); err != nil {
		return err
	}
	if d.mutation == skipDirSync {
		return nil
	}
	d.pending = slices.DeleteFunc(d.pending, func(c nameChange) bool {
		if c.folder != path {
			return false
		}
		c.apply(d.durable)
		return true
	})
	return nil
}

func (f *fileContent) truncate(size int) {
	f.data = f.data[:size:size]
	f.pending = append(f.pending, pendingWrite{at: size, isTruncation: true})
}

type powerFile struct {
	disk    *powerDisk
	path    string
	content *fileContent
}

func (h *powerFile) Write(raw []byte) (int, error) {
	if err := h.disk.change(true); err != nil {
		return 0, err
	}
	w := pendingWrite{at: len(h.content.data), bytes: slices.Clone(raw)}
	h.content.data, h.content.pending = spliceBytes(h.content.data, w.at, raw), append(h.content.pending, w)
	return len(raw), nil
}

func (h *powerFile) Sync() error {
	if err := h.disk.change(true); err != nil {
		return err
	}
	isCopy := strings.HasPrefix(filepath.Base(h.path), snapshotName)
	if h.disk.mutation == skipSnapshotSync && isCopy || h.disk.mutation == skipLogSync && !isCopy {
		return nil
	}
	h.content.synced, h.content.pending = slices.Clip(h.content.data), nil
	return nil
}

func (h *powerFile) Close() error { return nil }

// spliceBytes returns data with more written at an offset; a gap before the offset is filled with zeros.
func spliceBytes(data []byte, at int, more []byte) []byte {
	if at == len(data) {
		return append(data, more...)
	}
	out := make([]byte, max(len(data), at+len(more)))
	copy(out, data)
	copy(out[at:], more)
	return out
}

// possibleData lists the file contents that a power loss may leave: each unsynced write is complete, missing, cut short, or of
// full length with its second half zeroed.
func (f *fileContent) possibleData() [][]byte {
	all := [][]byte{f.synced}
	for _, w := range f.pending {
		more := [][]byte{}
		for _, data := range all {
			more = append(more, data)
			if w.isTruncation {
				more = append(more, data[:min(len(data), w.at)])
				continue
			}
			half := w.bytes[:(len(w.bytes)+1)/2]
			zeros := make([]byte, len(w.bytes)-len(half))
			for _, left := range [][]byte{w.bytes, w.bytes[:1], half, append(slices.Clone(half), zeros...)} {
				more = append(more, spliceBytes(slices.Clip(data), w.at, left))
			}
		}
		all = more
	}
	return all
}

// afterPowerLoss lists every disk that a power loss at this moment may leave.
func (d *powerDisk) afterPowerLoss() []*powerDisk {
	left := []*powerDisk{}
	for keptNames := range 1 << len(d.pending) {
		names := map[string]*fileContent{}
		for path, f := range d.durable {
			names[path] = f
		}
		for i, c := range d.pending {
			if keptNames>>i&1 == 1 {
				c.apply(names)
			}
		}
		left = append(left, dataCombinations(names)...)
	}
	return left
}

// randomAfterPowerLoss returns a random one of the disks that a power loss may leave, for cases with too many to list.
func (d *powerDisk) randomAfterPowerLoss(r *rand.Rand) *powerDisk {
	names := map[string]*fileContent{}
	for path, f := range d.durable {
		names[path] = f
	}
	for _, c := range d.pending {
		if r.Intn(2) == 0 {
			c.apply(names)
		}
	}
	left := &powerDisk{names: map[string]*fileContent{}, mutation: d.mutation}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		if isReachable(names, path) {
			f := names[path]
			data := f.randomData(r)
			left.names[path] = &fileContent{folder: f.folder, data: data, synced: data}
		}
	}
	return left
}

// randomData returns a random one of the contents that a power loss may leave.
func (f *fileContent) randomData(r *rand.Rand) []byte {
	data := f.synced
	for _, w := range f.pending {
		all := (&fileContent{synced: data, pending: []pendingWrite{w}}).possibleData()
		data = all[r.Intn(len(all))]
	}
	return data
}

// dataCombinations returns one disk for each combination of the possible contents of the files.
func dataCombinations(names map[string]*fileContent) []*powerDisk {
	paths := []string{}
	for path := range names {
		if isReachable(names, path) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	all := []*powerDisk{{names: map[string]*fileContent{}}}
	for _, path := range paths {
		f := names[path]
		more := []*powerDisk{}
		for _, d := range all {
			for _, data := range f.possibleData() {
				c := &powerDisk{names: map[string]*fileContent{}}
				for other, file := range d.names {
					c.names[other] = file
				}
				c.names[path] = &fileContent{folder: f.folder, data: data, synced: data}
				more = append(more, c)
			}
		}
		all = more
	}
	return all
}

// isReachable reports whether all folders above a path exist; a file whose folder was lost is lost too.
func isReachable(names map[string]*fileContent, path string) bool {
	for dir := filepath.Dir(path); dir != "/"; dir = filepath.Dir(dir) {
		if names[dir] == nil {
			return false
		}
	}
	return true
}

// clone returns a deep copy of the disk for another process, with unsynced changes still unsynced.
func (d *powerDisk) clone() *powerDisk {
	clones := map[*fileContent]*fileContent{}
	cloneFile := func(f *fileContent) *fileContent {
		if clones[f] == nil {
			clones[f] = &fileContent{folder: f.folder, data: slices.Clone(f.data), synced: f.synced, pending: slices.Clone(f.pending)}
		}
		return clones[f]
	}
	c := &powerDisk{names: map[string]*fileContent{}, durable: map[string]*fileContent{}, mutation: d.mutation}
	for path, f := range d.names {
		c.names[path] = cloneFile(f)
	}
	for path, f := range d.durable {
		c.durable[path] = cloneFile(f)
	}
	for _, p := range d.pending {
		p.file = cloneFile(p.file)
		c.pending = append(c.pending, p)
	}
	return c
}

// withAllDurable returns a copy of the disk in which all names are durable, as after power is restored.
func (d *powerDisk) withAllDurable() *powerDisk {
	c := &powerDisk{names: d.names, mutation: d.mutation}
	c = c.clone()
	for path, f := range c.names {
		c.durable[path] = f
	}
	return c
}

// hasLog reports whether the disk contains the first segment of a log.
func (d *powerDisk) hasLog() bool {
	_, found := d.names[filepath.Join("/data", logDir, segmentName(1))]
	return found
}

// fingerprint returns a text that identifies the disk's content.
func (d *powerDisk) fingerprint() string {
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
