// Package storage keeps one member's part of the chain on its disk: a write-ahead log of records and, beside it, a
// snapshot of the state that stands for the log before it. It survives kills, losses of power and full disks; what is
// damaged, foreign or of a later version is told as a typed fault and left as it is.
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
	dir    string
	fs     files
	mu     sync.Mutex
	log    *wal
	seal   chain.Seal
	sealed bool
}

// Opened is what a folder held.
type Opened struct {
	Store *Store
	// Records are those of the log in order, with the copy in the place where it was taken.
	Records []chain.Record
	// Fresh: the folder was empty, and now bears the seal that Open was given.
	Fresh bool
	// Cut is how many bytes of a torn last record are not among the records.
	Cut int
	// Refused is why the disk took no bytes while the folder was opened. All of it is read all the same;
	// what could not be written goes before the next records.
	Refused error
}

const (
	logDir   = "chain"
	copyName = "copy"
	newMark  = ".new"
)

// Open reads all records. A torn last record is cut, since its sync cannot have
// returned; damage anywhere before it is a fault for the caller to name.
func Open(folder string, seal chain.Seal) (*Opened, error) { return open(osFiles{}, folder, seal) }

func open(fs files, folder string, seal chain.Seal) (*Opened, error) {
	dir := filepath.Join(folder, logDir)
	s := &Store{dir: dir, fs: fs, log: &wal{fs: fs, dir: dir, most: segmentMost}}
	opened := &Opened{Store: s}
	if err := opened.read(); err != nil {
		return nil, err
	}
	if bad := opened.claim(seal); bad != nil {
		return nil, bad
	}
	_ = fs.Remove(filepath.Join(dir, copyName+newMark))
	_, err := s.Write(nil, false)
	if os.IsPermission(err) {
		return nil, fault.New(fault.DataNotWritable, dir, "%v", err)
	}
	opened.Refused = err
	return opened, nil
}

// read reads the copy and all records of the log.
func (o *Opened) read() error {
	s := o.Store
	held, err := s.readCopy()
	if err != nil {
		return err
	}
	o.Cut, err = s.log.load(func(payload []byte) error {
		if held != nil && s.log.next >= held.From {
			o.Records = append(o.Records, chain.Record{Copy: &held.Copy})
			held = nil
		}
		batch, bad := decode(payload)
		if bad != nil {
			return fault.New(bad.Code, s.dir, "record %d: %s", s.log.next, bad.Detail)
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
	if held != nil {
		o.Records = append(o.Records, chain.Record{Copy: &held.Copy})
	}
	return nil
}

// claim finds the seal among the records, which must be of this name, or takes the given one for an empty folder.
func (o *Opened) claim(seal chain.Seal) *fault.Fault {
	s := o.Store
	for _, r := range o.Records {
		if r.Seal != nil {
			s.seal = *r.Seal
		}
	}
	switch {
	case s.seal.Identity == "" && len(o.Records) > 0:
		return fault.New(fault.ForeignData, s.dir, "records without a seal")
	case s.seal.Identity == "":
		o.Fresh, s.seal = true, seal
	case s.seal.Name != seal.Name:
		return fault.New(fault.ForeignData, s.dir, "the folder belongs to %q, not to %q", s.seal.Name, seal.Name)
	default:
		s.sealed = true
	}
	return nil
}

// Seal is whose folder this is.
func (s *Store) Seal() chain.Seal { return s.seal }

// Write returns once the records are synced, with their place in the log. fresh begins them with what a
// log needs, so that all before them can go once a copy is kept. Without records it only makes good what
// a write before has left.
func (s *Store) Write(records []chain.Record, fresh bool) (from uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = s.log.next
	if fresh || !s.sealed {
		records = append([]chain.Record{{Seal: &s.seal}}, records...)
	}
	if len(records) == 0 {
		return from, s.log.mend()
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
	s.sealed = true
	return from, nil
}

// LogBytes is how much of the disk the log takes.
func (s *Store) LogBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.bytes()
}

// Keep puts a copy in the place of the one before; from is the place of the record that it stands before, and
// nothing in the log before that is read on top of it. It returns once the copy would outlast a loss of
// power; until then the older one and the log stand.
func (s *Store) Keep(c chain.Copy, from uint64) error {
	framed, err := packed(kept{c, from})
	if err != nil {
		return err
	}
	if err := s.beforeSync(); err != nil {
		return err
	}
	at := filepath.Join(s.dir, copyName)
	if err := s.writeNew(at+newMark, framed); err != nil {
		_ = s.fs.Remove(at + newMark)
		return err
	}
	if err := s.fs.Rename(at+newMark, at); err != nil {
		return err
	}
	return s.fs.SyncFolder(s.dir)
}

func (s *Store) writeNew(path string, raw []byte) error {
	f, err := s.fs.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return writeAll(f, raw)
}

// Forget drops the log before a place, once a copy stands for it.
func (s *Store) Forget(before uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.forget(before)
}

func (s *Store) readCopy() (*kept, error) {
	framed, err := s.fs.ReadFile(filepath.Join(s.dir, copyName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.New(fault.DataNotWritable, s.dir, "%v", err)
	}
	c, bad := unpack(framed)
	if bad != nil {
		return nil, fault.New(bad.Code, s.dir, "the copy: %s", bad.Detail)
	}
	return c, nil
}

// Close lets go of the files; what was synced is on the disk already.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.leave()
	return nil
}

// SetAside keeps a damaged folder under another name, so that nothing is erased.
func SetAside(folder, mark string) (string, error) {
	to := filepath.Join(folder, logDir+".damaged-"+mark)
	if err := os.Rename(filepath.Join(folder, logDir), to); err != nil {
		return to, err
	}
	return to, osFiles{}.SyncFolder(folder)
}
