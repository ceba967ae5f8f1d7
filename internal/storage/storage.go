package storage

import (
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"sync"

	"github.com/juju/errors"
	"github.com/tidwall/wal"

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
// a copy is kept by another meanwhile.
type Store struct {
	dir  string
	log  *wal.Log
	mu   sync.Mutex
	last uint64
	seal chain.Seal
}

type Opened struct {
	Store   *Store
	Records []chain.Record
	Fresh   bool
	Cut     int
}

const (
	logDir   = "chain"
	copyName = "copy"
)

// Open reads all records. A torn last record is cut, since its sync cannot have
// returned; damage anywhere before it is a fault for the caller to name.
func Open(folder string, seal chain.Seal) (*Opened, error) {
	dir := filepath.Join(folder, logDir)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fault.New(fault.DataUnwritable, dir, "%v", err)
	}
	cut, err := cutTorn(dir)
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", dir)
	}
	log, err := wal.Open(dir, &wal.Options{NoCopy: false, NoSync: false, SegmentSize: 4 << 20, AllowEmpty: true})
	if err != nil {
		if os.IsPermission(err) {
			return nil, fault.New(fault.DataUnwritable, dir, "%v", err)
		}
		return nil, fault.New(fault.DamagedData, dir, "%v", err)
	}
	s := &Store{dir: dir, log: log}
	first, err := log.FirstIndex()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if s.last, err = log.LastIndex(); err != nil {
		return nil, errors.Trace(err)
	}
	opened := &Opened{Store: s, Cut: cut}
	kept, bad := s.readCopy()
	if bad != nil {
		log.Close()
		return nil, bad
	}
	if kept != nil {
		opened.Records = append(opened.Records, chain.Record{Copy: kept})
	}
	for i := first; i > 0 && i <= s.last; i++ {
		framed, err := log.Read(i)
		if err != nil {
			return nil, fault.New(fault.DamagedData, dir, "record %d: %v", i, err)
		}
		payload, bad := Unframe(framed)
		if bad != nil {
			log.Close()
			bad.Field = dir
			bad.Detail = errors.Errorf("record %d of %d: %s", i, s.last, bad.Detail).Error()
			return nil, bad
		}
		var r chain.Record
		if err := json.Unmarshal(payload, &r); err != nil {
			log.Close()
			return nil, fault.New(fault.DamagedData, dir, "record %d: %v", i, err)
		}
		if r.Seal != nil {
			s.seal = *r.Seal
		}
		opened.Records = append(opened.Records, r)
	}
	if s.seal.Identity == "" {
		if len(opened.Records) > 0 {
			log.Close()
			return nil, fault.New(fault.ForeignData, dir, "records without a seal")
		}
		opened.Fresh = true
		s.seal = seal
		_, err := s.Write([]chain.Record{{Seal: &seal}}, false)
		return opened, err
	}
	if s.seal.Name != seal.Name {
		log.Close()
		return nil, fault.New(fault.ForeignData, dir, "the folder belongs to %q, not to %q", s.seal.Name, seal.Name)
	}
	return opened, nil
}

func (s *Store) Seal() chain.Seal { return s.seal }

// Write returns once the records are synced, with the place of the first of them in the log. fresh
// begins them with what a log needs, so that all before them can go once a copy is kept.
func (s *Store) Write(records []chain.Record, fresh bool) (from uint64, err error) {
	if fresh {
		records = append([]chain.Record{{Seal: &s.seal}}, records...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	from = s.last + 1
	if len(records) == 0 {
		return from, nil
	}
	batch := &wal.Batch{}
	for i := range records {
		raw, err := json.Marshal(records[i])
		if err != nil {
			return from, errors.Trace(err)
		}
		s.last++
		batch.Write(s.last, Frame(raw))
	}
	if err := s.beforeSync(); err != nil {
		return from, errors.Trace(err)
	}
	return from, errors.Trace(s.log.WriteBatch(batch))
}

// Keep puts a copy in the place of the one before. It returns once the copy would outlast a loss of
// power; until then the older one and the log stand.
func (s *Store) Keep(c chain.Copy) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return errors.Trace(err)
	}
	if err := s.beforeSync(); err != nil {
		return errors.Trace(err)
	}
	at := filepath.Join(s.dir, copyName)
	file, err := os.Create(at + ".new")
	if err != nil {
		return errors.Trace(err)
	}
	defer file.Close()
	if _, err := file.Write(Frame(raw)); err != nil {
		return errors.Trace(err)
	}
	if err := file.Sync(); err != nil {
		return errors.Trace(err)
	}
	if err := os.Rename(at+".new", at); err != nil {
		return errors.Trace(err)
	}
	folder, err := os.Open(s.dir)
	if err != nil {
		return errors.Trace(err)
	}
	defer folder.Close()
	return errors.Trace(folder.Sync())
}

// Forget drops the log before a place, once a copy stands for it.
func (s *Store) Forget(before uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if before <= 1 {
		return nil
	}
	return errors.Trace(s.log.TruncateFront(before))
}

func (s *Store) readCopy() (*chain.Copy, *fault.Fault) {
	framed, err := os.ReadFile(filepath.Join(s.dir, copyName))
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fault.New(fault.DataUnwritable, s.dir, "%v", err)
	}
	payload, bad := Unframe(framed)
	if bad != nil {
		bad.Field, bad.Detail = s.dir, "the copy: "+bad.Detail
		return nil, bad
	}
	c := &chain.Copy{}
	if err := json.Unmarshal(payload, c); err != nil {
		return nil, fault.New(fault.DamagedData, s.dir, "the copy: %v", err)
	}
	return c, nil
}

func (s *Store) Close() error { return s.log.Close() }

// SetAside keeps a damaged folder under another name, so that nothing is erased.
func SetAside(folder, mark string) (string, error) {
	to := filepath.Join(folder, logDir+".damaged-"+mark)
	return to, os.Rename(filepath.Join(folder, logDir), to)
}

func cutTorn(dir string) (int, error) {
	names, err := filepath.Glob(filepath.Join(dir, "[0-9]*"))
	if err != nil {
		return 0, err
	}
	segments := []string{}
	for _, n := range names {
		if len(filepath.Base(n)) == 20 {
			segments = append(segments, n)
		}
	}
	if len(segments) == 0 {
		return 0, nil
	}
	sort.Strings(segments)
	last := segments[len(segments)-1]
	raw, err := os.ReadFile(last)
	if err != nil {
		return 0, err
	}
	whole := 0
	for whole < len(raw) {
		size, n := binary.Uvarint(raw[whole:])
		if n <= 0 || uint64(len(raw)-whole-n) < size {
			break
		}
		end := whole + n + int(size)
		if _, bad := Unframe(raw[whole+n : end]); bad != nil && allZero(raw[whole:]) {
			break
		} else if bad != nil && end == len(raw) {
			break
		}
		whole = end
	}
	if whole == len(raw) {
		return 0, nil
	}
	return len(raw) - whole, os.Truncate(last, int64(whole))
}

func allZero(raw []byte) bool {
	for _, b := range raw {
		if b != 0 {
			return false
		}
	}
	return true
}
