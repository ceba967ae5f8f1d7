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
	// maxSegmentBytes is the default size at which a new segment is started.
	maxSegmentBytes   = 4 << 20
	segmentNameDigits = 20
)

// segment is one file of the log.
type segment struct {
	// firstIndex is the number of the segment's first record.
	firstIndex uint64
	// syncedBytes is how much of the file was synced.
	syncedBytes int64
}

// wal is a write-ahead log in segments. A record is one batch that is written at once into one segment, so a failed write can
// leave partial data only at the end of the last segment, beyond the synced bytes. The partial data is truncated before the
// next write.
type wal struct {
	files    fileSystem
	dir      string
	segments []segment
	// nextIndex is the number of the next record; the first record has number 1.
	nextIndex uint64
	// tailFile is the last segment, open for appending; nil where it is not open.
	tailFile file
	// needsRepair reports that files may contain bytes, and folders names, that were not synced.
	needsRepair bool
	// removalUnsynced reports that removed names may reappear after a power loss, as the folder is not synced yet.
	removalUnsynced bool
	// maxSegmentBytes is the size at which a new segment is started.
	maxSegmentBytes int64
}

func segmentName(first uint64) string { return fmt.Sprintf("%0*d", segmentNameDigits, first) }

func (w *wal) path(s segment) string { return filepath.Join(w.dir, segmentName(s.firstIndex)) }

// segmentStarts returns the first record numbers of the segments in the folder, in ascending order.
func (w *wal) segmentStarts() ([]uint64, error) {
	names, err := w.files.DirNames(w.dir)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	firstIndexes := []uint64{}
	for _, name := range names {
		if first, err := strconv.ParseUint(name, 10, 64); err == nil && len(name) == segmentNameDigits && first > 0 {
			firstIndexes = append(firstIndexes, first)
		}
	}
	slices.Sort(firstIndexes)
	return firstIndexes, nil
}

// load passes the payload of each record to handle and returns the size of a torn last record, which is dropped. It modifies
// no file: a killed process may have left unsynced records and names, which are durable only once repair has returned.
func (w *wal) load(handle func(payload []byte) error) (tornBytes int, err error) {
	firstIndexes, err := w.segmentStarts()
	if err != nil {
		return 0, err
	}
	w.nextIndex = 1
	for i, first := range firstIndexes {
		if i > 0 && first != w.nextIndex {
			return 0, fault.New(fault.DamagedData, w.dir, "record %d is missing", w.nextIndex)
		}
		w.nextIndex = first
		s := segment{firstIndex: first}
		raw, err := w.files.ReadFile(w.path(s))
		if err != nil {
			return 0, err
		}
		end := len(raw)
		if i == len(firstIndexes)-1 {
			end = intactBytes(raw)
		}
		s.syncedBytes, tornBytes = int64(end), len(raw)-end
		for raw = raw[:end]; len(raw) > 0; {
			record, rest, ok := splitRecord(raw)
			if !ok {
				return 0, fault.New(fault.DamagedData, w.dir, "record %d is cut short", w.nextIndex)
			}
			payload, bad := DecodeRecord(record)
			if bad != nil {
				return 0, fault.New(fault.DamagedData, w.dir, "record %d: %s", w.nextIndex, bad.Detail)
			}
			if err := handle(payload); err != nil {
				return 0, err
			}
			raw = rest
			w.nextIndex++
		}
		w.segments = append(w.segments, s)
	}
	w.needsRepair = len(firstIndexes) > 0
	return tornBytes, nil
}

// append appends a record and returns once it is synced. After an error the record is not part of the log.
func (w *wal) append(payload []byte, fresh bool) error {
	if err := w.repair(); err != nil {
		return err
	}
	if last := len(w.segments) - 1; last < 0 || w.segments[last].syncedBytes >= w.maxSegmentBytes || (fresh && w.segments[last].syncedBytes > 0) {
		if err := w.startSegment(); err != nil {
			return err
		}
	}
	last := &w.segments[len(w.segments)-1]
	w.needsRepair = true
	if w.tailFile == nil {
		var err error
		if w.tailFile, err = w.files.Append(w.path(*last)); err != nil {
			w.tailFile = nil
			return err
		}
	}
	record := EncodeRecord(payload)
	raw := append(binary.AppendUvarint(make([]byte, 0, len(record)+binary.MaxVarintLen64), uint64(len(record))), record...)
	if err := writeAll(w.tailFile, raw); err != nil {
		w.closeTail()
		return err
	}
	last.syncedBytes += int64(len(raw))
	w.nextIndex++
	w.needsRepair = false
	return nil
}

// writeAll writes all bytes to a file and syncs it.
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

// startSegment creates the segment for the next record. A record never spans two segments.
func (w *wal) startSegment() error {
	w.closeTail()
	w.needsRepair = true
	if err := w.files.MkdirAll(w.dir); err != nil {
		return err
	}
	s := segment{firstIndex: w.nextIndex}
	tail, err := w.files.Create(w.path(s))
	if err != nil {
		return err
	}
	syncErr := w.syncNewNames()
	if syncErr != nil {
		_ = tail.Close()
		return syncErr
	}
	w.segments, w.tailFile, w.needsRepair = append(w.segments, s), tail, false
	return nil
}

// syncNewNames syncs the name of a new segment and, for the first segment, the name of the log folder.
func (w *wal) syncNewNames() error {
	if len(w.segments) == 0 {
		return w.syncFolders()
	}
	return w.files.SyncDir(w.dir)
}

// closeTail closes the open file. Data in it after a failed sync is never relied on: the system may have dropped the dirty
// pages, and reads would still return them.
func (w *wal) closeTail() {
	if w.tailFile != nil {
		_ = w.tailFile.Close()
		w.tailFile = nil
	}
}

// repair removes what a failed write left beyond the last record, and syncs the last segment and the names.
func (w *wal) repair() error {
	if !w.needsRepair {
		return nil
	}
	w.closeTail()
	if err := w.files.MkdirAll(w.dir); err != nil {
		return err
	}
	if err := w.removeOrphans(); err != nil {
		return err
	}
	if err := w.syncFolders(); err != nil {
		return err
	}
	w.removalUnsynced = false
	if last := len(w.segments) - 1; last >= 0 {
		if err := w.repairSegment(w.segments[last]); err != nil {
			return err
		}
	}
	w.needsRepair = false
	return nil
}

// removeOrphans removes segments that were created for a record that was never written.
func (w *wal) removeOrphans() error {
	firstIndexes, err := w.segmentStarts()
	if err != nil {
		return err
	}
	for _, first := range firstIndexes {
		if slices.ContainsFunc(w.segments, func(s segment) bool { return s.firstIndex == first }) {
			continue
		}
		if err := w.files.Remove(w.path(segment{firstIndex: first})); err != nil {
			return err
		}
		w.removalUnsynced = true
	}
	return nil
}

// syncFolders syncs the names of the segments and of the log folder.
func (w *wal) syncFolders() error {
	if err := w.files.SyncDir(w.dir); err != nil {
		return err
	}
	return w.files.SyncDir(filepath.Dir(w.dir))
}

// repairSegment truncates a segment to its synced length and syncs it. It returns a DamagedData fault where synced bytes are
// missing, which no later write can repair.
func (w *wal) repairSegment(s segment) error {
	size, err := w.files.Size(w.path(s))
	if errors.Is(err, os.ErrNotExist) || (err == nil && size < s.syncedBytes) {
		return fault.New(fault.DamagedData, w.dir, "segment %d held %d synced bytes and holds %d", s.firstIndex, s.syncedBytes, size)
	}
	if err != nil {
		return err
	}
	if size > s.syncedBytes {
		if err := w.files.Truncate(w.path(s), s.syncedBytes); err != nil {
			return err
		}
	}
	f, err := w.files.Append(w.path(s))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

// syncRemoved syncs the folder where the removal of a segment is not synced yet.
func (w *wal) syncRemoved() error {
	if !w.removalUnsynced {
		return nil
	}
	if err := w.files.SyncDir(w.dir); err != nil {
		return err
	}
	w.removalUnsynced = false
	return nil
}

// compact removes whole segments that precede a record, the oldest first, so that the remaining segments never have a gap. It
// needs no free disk space.
func (w *wal) compact(before uint64) error {
	for {
		if err := w.syncRemoved(); err != nil {
			return err
		}
		if len(w.segments) < 2 || w.segments[1].firstIndex > before {
			return nil
		}
		if err := w.files.Remove(w.path(w.segments[0])); err != nil && !errors.Is(err, os.ErrNotExist) {
			return err
		}
		w.segments, w.removalUnsynced = w.segments[1:], true
	}
}

// sizeBytes returns the number of synced bytes in all segments.
func (w *wal) sizeBytes() int64 {
	var sum int64
	for _, s := range w.segments {
		sum += s.syncedBytes
	}
	return sum
}

// splitRecord splits off the first record; ok is false where the record is incomplete.
func splitRecord(raw []byte) (record, rest []byte, ok bool) {
	size, n := binary.Uvarint(raw)
	if n <= 0 || uint64(len(raw)-n) < size {
		return nil, nil, false
	}
	end := n + int(size)
	return raw[n:end], raw[end:], true
}

// intactBytes returns the size of the last segment without a torn last record, whose sync can't have returned. Damage before
// the last record is not a torn write, so it is included for load to report.
func intactBytes(raw []byte) int {
	end := 0
	for end < len(raw) {
		record, rest, ok := splitRecord(raw[end:])
		if !ok {
			break
		}
		if _, bad := DecodeRecord(record); bad != nil && (len(rest) == 0 || allZero(raw[end:])) {
			break
		}
		end = len(raw) - len(rest)
	}
	return end
}

func allZero(raw []byte) bool {
	for _, b := range raw {
		if b != 0 {
			return false
		}
	}
	return true
}
