package storage

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"

	"petreltide/internal/api/fault"
)

const (
	segmentMost = 4 << 20
	nameDigits  = 20
)

// segment is one file of the log; size is how much of it was synced.
type segment struct {
	first uint64
	size  int64
}

// wal is a write-ahead log in segments. A record is one batch, written at once and lying in one segment,
// so that a write that fails can leave a piece behind in one place only: beyond what was synced, at the
// end. The piece is cut off before anything is written again.
type wal struct {
	fs       files
	dir      string
	segments []segment
	next     uint64
	tail     file
	// unsure: the files may hold more than was synced, and the folders names that a loss of power would take.
	unsure bool
	// removed: names that are gone may come back until the folder is synced.
	removed bool
	// most is the size at which a segment is full.
	most int64
}

func segmentName(first uint64) string { return fmt.Sprintf("%0*d", nameDigits, first) }

func (w *wal) path(s segment) string { return filepath.Join(w.dir, segmentName(s.first)) }

func (w *wal) names() ([]uint64, error) {
	names, err := w.fs.Names(w.dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	firsts := []uint64{}
	for _, name := range names {
		if first, err := strconv.ParseUint(name, 10, 64); err == nil && len(name) == nameDigits && first > 0 {
			firsts = append(firsts, first)
		}
	}
	slices.Sort(firsts)
	return firsts, nil
}

// load reads the records that are there and says how many bytes of a torn last one are not among them.
// It changes nothing: a process that was killed may have left records and names without a sync, and they last only
// once mend has returned.
func (w *wal) load(each func(payload []byte) error) (cut int, err error) {
	firsts, err := w.names()
	if err != nil {
		return 0, err
	}
	w.next = 1
	for i, first := range firsts {
		if i > 0 && first != w.next {
			return 0, fault.New(fault.DamagedData, w.dir, "record %d is missing", w.next)
		}
		w.next = first
		s := segment{first: first}
		raw, err := w.fs.ReadFile(w.path(s))
		if err != nil {
			return 0, err
		}
		end := len(raw)
		if i == len(firsts)-1 {
			end = intact(raw)
		}
		s.size, cut = int64(end), len(raw)-end
		for raw = raw[:end]; len(raw) > 0; {
			framed, rest, ok := split(raw)
			if !ok {
				return 0, fault.New(fault.DamagedData, w.dir, "record %d is cut short", w.next)
			}
			payload, bad := Unframe(framed)
			if bad != nil {
				return 0, fault.New(fault.DamagedData, w.dir, "record %d: %s", w.next, bad.Detail)
			}
			if err := each(payload); err != nil {
				return 0, err
			}
			raw = rest
			w.next++
		}
		w.segments = append(w.segments, s)
	}
	w.unsure = len(firsts) > 0
	return cut, nil
}

// append returns once the record is synced. After an error nothing of it is in the log.
func (w *wal) append(payload []byte, fresh bool) error {
	if err := w.mend(); err != nil {
		return err
	}
	if last := len(w.segments) - 1; last < 0 || w.segments[last].size >= w.most || (fresh && w.segments[last].size > 0) {
		if err := w.begin(); err != nil {
			return err
		}
	}
	last := &w.segments[len(w.segments)-1]
	w.unsure = true
	if w.tail == nil {
		var err error
		if w.tail, err = w.fs.Append(w.path(*last)); err != nil {
			w.tail = nil
			return err
		}
	}
	framed := Frame(payload)
	raw := append(binary.AppendUvarint(make([]byte, 0, len(framed)+binary.MaxVarintLen64), uint64(len(framed))), framed...)
	if err := writeAll(w.tail, raw); err != nil {
		w.leave()
		return err
	}
	last.size += int64(len(raw))
	w.next++
	w.unsure = false
	return nil
}

func writeAll(f file, raw []byte) error {
	n, err := f.Write(raw)
	if err == nil && n < len(raw) {
		err = io.ErrShortWrite
	}
	if err == nil {
		err = f.Sync()
	}
	return err
}

// begin starts a segment: a record never goes on in another file than it began in.
func (w *wal) begin() error {
	w.leave()
	w.unsure = true
	if err := w.fs.MkdirAll(w.dir); err != nil {
		return err
	}
	s := segment{first: w.next}
	tail, err := w.fs.Create(w.path(s))
	if err != nil {
		return err
	}
	synced := w.syncNewNames()
	if synced != nil {
		_ = tail.Close()
		return synced
	}
	w.segments, w.tail, w.unsure = append(w.segments, s), tail, false
	return nil
}

// syncNewNames makes a new segment's name last, and with the first one the folder's own.
func (w *wal) syncNewNames() error {
	if len(w.segments) == 0 {
		return w.syncFolders()
	}
	return w.fs.SyncFolder(w.dir)
}

// leave lets go of the open file. What a failed sync left in it is never relied on: the system may have
// dropped those pages, and would show them all the same.
func (w *wal) leave() {
	if w.tail != nil {
		_ = w.tail.Close()
		w.tail = nil
	}
}

// mend takes away what a write that failed has left beyond the last record, and makes all that is left last.
func (w *wal) mend() error {
	if !w.unsure {
		return nil
	}
	w.leave()
	if err := w.fs.MkdirAll(w.dir); err != nil {
		return err
	}
	if err := w.removeStrays(); err != nil {
		return err
	}
	if err := w.syncFolders(); err != nil {
		return err
	}
	w.removed = false
	if last := len(w.segments) - 1; last >= 0 {
		if err := w.settle(w.segments[last]); err != nil {
			return err
		}
	}
	w.unsure = false
	return nil
}

// removeStrays removes segments that were made for a record which never came.
func (w *wal) removeStrays() error {
	firsts, err := w.names()
	if err != nil {
		return err
	}
	for _, first := range firsts {
		if slices.ContainsFunc(w.segments, func(s segment) bool { return s.first == first }) {
			continue
		}
		if err := w.fs.Remove(w.path(segment{first: first})); err != nil {
			return err
		}
		w.removed = true
	}
	return nil
}

// syncFolders makes the names of the segments and of the log's own folder last.
func (w *wal) syncFolders() error {
	if err := w.fs.SyncFolder(w.dir); err != nil {
		return err
	}
	return w.fs.SyncFolder(filepath.Dir(w.dir))
}

// settle gives a segment the length that it should have and syncs it. Bytes that were synced and are gone are a
// fault that no later write mends.
func (w *wal) settle(s segment) error {
	size, err := w.fs.Size(w.path(s))
	if errors.Is(err, os.ErrNotExist) || (err == nil && size < s.size) {
		return fault.New(fault.DamagedData, w.dir, "segment %d held %d synced bytes and holds %d", s.first, s.size, size)
	}
	if err != nil {
		return err
	}
	if size > s.size {
		if err := w.fs.Truncate(w.path(s), s.size); err != nil {
			return err
		}
	}
	f, err := w.fs.Append(w.path(s))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

func (w *wal) syncRemoved() error {
	if !w.removed {
		return nil
	}
	if err := w.fs.SyncFolder(w.dir); err != nil {
		return err
	}
	w.removed = false
	return nil
}

// forget drops whole segments before a record, the oldest first, so that there is never a gap between
// two that are left. It needs no room on the disk.
func (w *wal) forget(before uint64) error {
	for {
		if err := w.syncRemoved(); err != nil {
			return err
		}
		if len(w.segments) < 2 || w.segments[1].first > before {
			return nil
		}
		if err := w.fs.Remove(w.path(w.segments[0])); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		w.segments, w.removed = w.segments[1:], true
	}
}

func (w *wal) bytes() int64 {
	var sum int64
	for _, s := range w.segments {
		sum += s.size
	}
	return sum
}

// split takes the first record off; false where it is not all there.
func split(raw []byte) (framed, rest []byte, ok bool) {
	size, n := binary.Uvarint(raw)
	if n <= 0 || uint64(len(raw)-n) < size {
		return nil, nil, false
	}
	end := n + int(size)
	return raw[n:end], raw[end:], true
}

// intact is how much of the last segment is there but for a torn last record, whose sync cannot have
// returned. Damage before it is not torn, and stays in.
func intact(raw []byte) int {
	whole := 0
	for whole < len(raw) {
		framed, rest, ok := split(raw[whole:])
		if !ok {
			break
		}
		if _, bad := Unframe(framed); bad != nil && (len(rest) == 0 || allZero(raw[whole:])) {
			break
		}
		whole = len(raw) - len(rest)
	}
	return whole
}

func allZero(raw []byte) bool {
	for _, b := range raw {
		if b != 0 {
			return false
		}
	}
	return true
}
