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

// Store keeps the log and, beside it, the newest copy of the state. One goroutine writes the log;
// a copy is kept by another meanwhile. After a write that the disk refused, the same may be tried again:
// what is in the store then is what it was before.
type Store struct {
	dir          string
	files        fileSystem
	mu           sync.Mutex
	log          *wal
	owner        chain.Owner
	ownerWritten bool
}

// OpenResult is what a folder held.
type OpenResult struct {
	Store *Store
	// Records are those of the log in order, with the copy in the place where it was taken.
	Records []chain.Record
	// Created: the folder was empty, and now bears the seal that Open was given.
	Created bool
	// TornBytes is how many bytes of a torn last record are not among the records.
	TornBytes int
	// WriteErr is why the disk took no bytes while the folder was opened. All of it is read all the same;
	// what could not be written goes before the next records.
	WriteErr error
}

const (
	logDir       = "chain"
	snapshotName = "copy"
	tempSuffix   = ".new"
)

// Open reads all records. A torn last record is cut, since its sync cannot have
// returned; damage anywhere before it is a fault for the caller to name.
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

// read reads the copy and all records of the log.
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

// checkOwner finds the seal among the records, which must be of this name, or takes the given one for an empty folder.
func (o *OpenResult) checkOwner(owner chain.Owner) *fault.Fault {
	s := o.Store
	for _, r := range o.Records {
		if r.Owner != nil {
			s.owner = *r.Owner
		}
	}
	switch {
	case s.owner.MemberID == "" && len(o.Records) > 0:
		return fault.New(fault.ForeignData, s.dir, "records without a seal")
	case s.owner.MemberID == "":
		o.Created, s.owner = true, owner
	case s.owner.Name != owner.Name:
		return fault.New(fault.ForeignData, s.dir, "the folder belongs to %q, not to %q", s.owner.Name, owner.Name)
	default:
		s.ownerWritten = true
	}
	return nil
}

// Owner is whose folder this is.
func (s *Store) Owner() chain.Owner { return s.owner }

// Write returns once the records are synced, with their place in the log. fresh begins them with what a
// log needs, so that all before them can go once a copy is kept. Without records it only makes good what
// a write before has left.
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

// LogBytes is how much of the disk the log takes.
func (s *Store) LogBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.sizeBytes()
}

// SaveSnapshot puts a copy in the place of the one before; from is the place of the record that it stands before, and
// nothing in the log before that is read on top of it. It returns once the copy would outlast a loss of
// power; until then the older one and the log stand.
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

func (s *Store) writeNew(path string, raw []byte) error {
	f, err := s.files.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return writeAll(f, raw)
}

// Compact drops the log before a place, once a copy stands for it.
func (s *Store) Compact(before uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.compact(before)
}

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
		return nil, fault.New(bad.Code, s.dir, "the copy: %s", bad.Detail)
	}
	return c, nil
}

// Close lets go of the files; what was synced is on the disk already.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.closeTail()
	return nil
}

// Quarantine keeps a damaged folder under another name, so that nothing is erased.
func Quarantine(folder, suffix string) (string, error) {
	to := filepath.Join(folder, logDir+".damaged-"+suffix)
	if err := os.Rename(filepath.Join(folder, logDir), to); err != nil {
		return to, err
	}
	return to, osFileSystem{}.SyncDir(folder)
}
