package storage

import (
	"encoding/json"
	"os"
	"path/filepath"
	"sync"

	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
)

// Store stores the log and the newest snapshot. One goroutine may write the log while another saves a snapshot. A write
// that failed leaves the stored content unchanged and may be retried.
type Store struct {
	dir          string
	files        fileSystem
	mu           sync.Mutex
	log          *wal
	owner        chain.Owner
	ownerWritten bool
}

// OpenResult is an opened store and the content that was found in its folder.
type OpenResult struct {
	Store *Store
	// Records are the records of the log in order, with the snapshot at the position at which it was taken.
	Records []chain.Record
	// Created reports that the folder was empty; it now belongs to the owner passed to Open.
	Created bool
	// TornBytes is the size of the torn last record that was dropped; 0 where there was none.
	TornBytes int
	// WriteErr is the error of the write that Open made; nil where it succeeded. Records is complete in either case, and the
	// next Write first repeats what could not be written.
	WriteErr error
}

const (
	logDir       = "chain"
	snapshotName = "copy"
	tempSuffix   = ".new"
)

// Open opens the store in a folder and reads all records. A torn last record is dropped, since its sync can't have returned.
// Damage anywhere before it is returned as a fault, and so is a folder whose owner has a name other than that of owner. An
// empty folder becomes owner's.
func Open(folder string, owner chain.Owner) (*OpenResult, error) {
	return openFiles(osFileSystem{}, folder, owner)
}

func openFiles(fs fileSystem, folder string, owner chain.Owner) (*OpenResult, error) {
	dir := filepath.Join(folder, logDir)
	s := &Store{dir: dir, files: fs, log: &wal{files: fs, dir: dir, maxSegmentBytes: maxSegmentBytes}}
	opened := &OpenResult{Store: s}
	if err := opened.read(); err != nil {
		return nil, err
	}
	if bad := opened.checkOwner(owner); bad != nil {
		return nil, bad
	}
	_ = fs.Remove(filepath.Join(dir, snapshotName+tempSuffix))
	_, err := s.Write(nil, false)
	if os.IsPermission(err) {
		return nil, fault.New(fault.DataNotWritable, dir, "%v", err)
	}
	opened.WriteErr = err
	return opened, nil
}

// read reads the snapshot and all records of the log.
func (o *OpenResult) read() error {
	s := o.Store
	snapshot, err := s.readSnapshot()
	if err != nil {
		return err
	}
	o.TornBytes, err = s.log.load(func(payload []byte) error {
		if snapshot != nil && s.log.nextIndex >= snapshot.FirstRecord {
			o.Records = append(o.Records, chain.Record{Snapshot: &snapshot.Snapshot})
			snapshot = nil
		}
		batch, bad := decodeRecords(payload)
		if bad != nil {
			return fault.New(bad.Code, s.dir, "record %d: %s", s.log.nextIndex, bad.Detail)
		}
		o.Records = append(o.Records, batch...)
		return nil
	})
	var bad *fault.Fault
	if errors.As(err, &bad) {
		return bad
	}
	if err != nil {
		return fault.New(fault.DataNotWritable, s.dir, "%v", err)
	}
	if snapshot != nil {
		o.Records = append(o.Records, chain.Record{Snapshot: &snapshot.Snapshot})
	}
	return nil
}

// checkOwner finds the owner among the records and returns a fault unless it has the given owner's name. An empty folder
// gets the given owner.
func (o *OpenResult) checkOwner(owner chain.Owner) *fault.Fault {
	s := o.Store
	for _, r := range o.Records {
		if r.Owner != nil {
			s.owner = *r.Owner
		}
	}
	switch {
	case s.owner.MemberID == "" && len(o.Records) > 0:
		return fault.New(fault.ForeignData, s.dir, "the records name no owner")
	case s.owner.MemberID == "":
		o.Created, s.owner = true, owner
	case s.owner.Name != owner.Name:
		return fault.New(fault.ForeignData, s.dir, "the folder belongs to %q, not to %q", s.owner.Name, owner.Name)
	default:
		s.ownerWritten = true
	}
	return nil
}

// Owner returns the member that the folder belongs to.
func (s *Store) Owner() chain.Owner { return s.owner }

// Write appends records as one batch and returns its record number once the batch is synced. With fresh, the batch starts a
// new segment and begins with the owner, so that the log before it can be removed once a snapshot is saved. A call without
// records only repairs what a failed write left behind.
func (s *Store) Write(records []chain.Record, fresh bool) (from uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = s.log.nextIndex
	if fresh || !s.ownerWritten {
		records = append([]chain.Record{{Owner: &s.owner}}, records...)
	}
	if len(records) == 0 {
		return from, s.log.repair()
	}
	raw, err := json.Marshal(records)
	if err != nil {
		return from, err
	}
	if err := s.beforeSync(); err != nil {
		return from, err
	}
	if err := s.log.append(raw, fresh); err != nil {
		return from, err
	}
	s.ownerWritten = true
	return from, nil
}

// LogBytes returns the size of the log on disk in bytes.
func (s *Store) LogBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.sizeBytes()
}

// SaveSnapshot replaces the stored snapshot. from is the number of the first log record that follows the snapshot; records
// before it are not replayed on top of it. SaveSnapshot returns once the snapshot survives a power loss; until then the
// previous snapshot and the log remain valid.
func (s *Store) SaveSnapshot(c chain.Snapshot, from uint64) error {
	record, err := encodeSnapshot(storedSnapshot{c, from})
	if err != nil {
		return err
	}
	if err := s.beforeSync(); err != nil {
		return err
	}
	path := filepath.Join(s.dir, snapshotName)
	if err := s.writeNew(path+tempSuffix, record); err != nil {
		_ = s.files.Remove(path + tempSuffix)
		return err
	}
	if err := s.files.Rename(path+tempSuffix, path); err != nil {
		return err
	}
	return s.files.SyncDir(s.dir)
}

// writeNew creates a file with the given content and syncs the file, not its folder.
func (s *Store) writeNew(path string, raw []byte) error {
	f, err := s.files.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return writeAll(f, raw)
}

// Compact removes log segments whose records all precede a record number. Call it once a snapshot replaces them.
func (s *Store) Compact(before uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.compact(before)
}

// readSnapshot returns the stored snapshot, or nil where there is none.
func (s *Store) readSnapshot() (*storedSnapshot, error) {
	record, err := s.files.ReadFile(filepath.Join(s.dir, snapshotName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.New(fault.DataNotWritable, s.dir, "%v", err)
	}
	c, bad := decodeSnapshot(record)
	if bad != nil {
		return nil, fault.New(bad.Code, s.dir, "the snapshot: %s", bad.Detail)
	}
	return c, nil
}

// Close closes the open file. Everything that was acknowledged is already synced.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.closeTail()
	return nil
}

// Quarantine renames the log folder of a damaged data folder, so that no data is erased, and returns its new path.
func Quarantine(folder, suffix string) (string, error) {
	to := filepath.Join(folder, logDir+".damaged-"+suffix)
	if err := os.Rename(filepath.Join(folder, logDir), to); err != nil {
		return to, err
	}
	return to, osFileSystem{}.SyncDir(folder)
}
