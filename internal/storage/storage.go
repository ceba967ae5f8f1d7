package storage

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"
	"sync"

	"github.com/juju/errors"

	"petreltide/internal/chain"
	"petreltide/internal/fault"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const frameBytes = 4

func Frame(payload []byte) []byte {
	framed := make([]byte, frameBytes, frameBytes+len(payload))
	binary.LittleEndian.PutUint32(framed, crc32.Checksum(payload, castagnoli))
	return append(framed, payload...)
}

func Unframe(framed []byte) ([]byte, *fault.Fault) {
	if len(framed) < frameBytes {
		return nil, fault.New(fault.DamagedData, "", "a record of %d bytes has no checksum", len(framed))
	}
	payload := framed[frameBytes:]
	if binary.LittleEndian.Uint32(framed) != crc32.Checksum(payload, castagnoli) {
		return nil, fault.New(fault.DamagedData, "", "checksum does not match")
	}
	return payload, nil
}

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

type Opened struct {
	Store   *Store
	Records []chain.Record
	Fresh   bool
	Cut     int
	// Refused is why the disk took no bytes while the folder was opened. All of it is read all the same;
	// what could not be written goes before the next records.
	Refused error
}

// kept is a copy as it is put away, with the place of the log's record that it stands before: what is in the
// log before that place came before the copy.
type kept struct {
	chain.Copy
	From uint64 `json:"from"`
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
	held, err := s.readCopy()
	if err != nil {
		return nil, err
	}
	lay := func() {
		opened.Records = append(opened.Records, chain.Record{Copy: &held.Copy})
		held = nil
	}
	opened.Cut, err = s.log.load(func(payload []byte) error {
		if held != nil && s.log.next >= held.From {
			lay()
		}
		var batch []chain.Record
		if err := json.Unmarshal(payload, &batch); err != nil {
			return fault.New(fault.DamagedData, dir, "record %d: %v", s.log.next, err)
		}
		for _, r := range batch {
			if r.Seal != nil {
				s.seal = *r.Seal
			}
		}
		opened.Records = append(opened.Records, batch...)
		return nil
	})
	var bad *fault.Fault
	if errors.As(err, &bad) {
		return nil, bad
	}
	if err != nil {
		return nil, fault.New(fault.DataUnwritable, dir, "%v", err)
	}
	if held != nil {
		lay()
	}
	switch {
	case s.seal.Identity == "" && len(opened.Records) > 0:
		return nil, fault.New(fault.ForeignData, dir, "records without a seal")
	case s.seal.Identity == "":
		opened.Fresh = true
		s.seal = seal
	case s.seal.Name != seal.Name:
		return nil, fault.New(fault.ForeignData, dir, "the folder belongs to %q, not to %q", s.seal.Name, seal.Name)
	default:
		s.sealed = true
	}
	_ = fs.Remove(filepath.Join(dir, copyName+newMark))
	if _, err := s.Write(nil, false); os.IsPermission(err) {
		return nil, fault.New(fault.DataUnwritable, dir, "%v", err)
	} else if err != nil {
		opened.Refused = err
	}
	return opened, nil
}

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

// packed is a copy as it lies on the disk, where for a while there are two of it beside the log.
func packed(c kept) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, frameBytes))
	zip, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := json.NewEncoder(zip).Encode(c); err != nil {
		return nil, err
	}
	if err := zip.Close(); err != nil {
		return nil, err
	}
	framed := buf.Bytes()
	binary.LittleEndian.PutUint32(framed, crc32.Checksum(framed[frameBytes:], castagnoli))
	return framed, nil
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
		return nil, fault.New(fault.DataUnwritable, s.dir, "%v", err)
	}
	damaged := func(why string) error { return fault.New(fault.DamagedData, s.dir, "the copy: %s", why) }
	payload, bad := Unframe(framed)
	if bad != nil {
		return nil, damaged(bad.Detail)
	}
	zip, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, damaged(err.Error())
	}
	c := &kept{}
	if err := json.NewDecoder(zip).Decode(c); err != nil {
		return nil, damaged(err.Error())
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
