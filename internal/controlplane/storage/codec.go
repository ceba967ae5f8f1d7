package storage

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"hash/crc32"
	"io"
	"strings"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

const checksumBytes = 4

// EncodeRecord puts a checksum before a payload.
func EncodeRecord(payload []byte) []byte {
	record := make([]byte, checksumBytes, checksumBytes+len(payload))
	binary.LittleEndian.PutUint32(record, crc32.Checksum(payload, castagnoli))
	return append(record, payload...)
}

// DecodeRecord is the payload of a frame, or the fault that its checksum shows.
func DecodeRecord(record []byte) ([]byte, *fault.Fault) {
	if len(record) < checksumBytes {
		return nil, fault.New(fault.DamagedData, "", "a record of %d bytes has no checksum", len(record))
	}
	payload := record[checksumBytes:]
	if binary.LittleEndian.Uint32(record) != crc32.Checksum(payload, castagnoli) {
		return nil, fault.New(fault.DamagedData, "", "checksum does not match")
	}
	return payload, nil
}

// decodeRecords reads one record of the log, a batch. What this version does not know is a fault, not something to leave out:
// the rest would be read as a history that it is not.
func decodeRecords(payload []byte) ([]chain.Record, *fault.Fault) {
	var batch []chain.Record
	if bad := decodeStrict(bytes.NewReader(payload), &batch); bad != nil {
		return nil, bad
	}
	for _, r := range batch {
		if r == (chain.Record{}) {
			return nil, fault.New(fault.UnknownFormat, "", "it says nothing")
		}
	}
	return batch, nil
}

// unknownFieldPrefix begins the error by which the JSON package tells that a field is not known.
const unknownFieldPrefix = "json: unknown field "

func decodeStrict(from io.Reader, into any) *fault.Fault {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	switch {
	case err == nil:
		return nil
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		return fault.New(fault.UnknownFormat, "", "%v: a later version wrote it", err)
	}
	return fault.New(fault.DamagedData, "", "%v", err)
}

// storedSnapshot is a copy as it is put away, with the place of the log's record that it stands before: what is in the
// log before that place came before the copy.
type storedSnapshot struct {
	chain.Snapshot
	FirstRecord uint64 `json:"from"`
}

// encodeSnapshot is a copy as it lies on the disk, where for a while there are two of it beside the log.
func encodeSnapshot(c storedSnapshot) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, checksumBytes))
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
	record := buf.Bytes()
	binary.LittleEndian.PutUint32(record, crc32.Checksum(record[checksumBytes:], castagnoli))
	return record, nil
}

// decodeSnapshot reads a copy as it lies on the disk.
func decodeSnapshot(record []byte) (*storedSnapshot, *fault.Fault) {
	payload, bad := DecodeRecord(record)
	if bad != nil {
		return nil, bad
	}
	zip, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fault.New(fault.DamagedData, "", "%v", err)
	}
	c := &storedSnapshot{}
	if bad := decodeStrict(zip, c); bad != nil {
		return nil, bad
	}
	return c, nil
}
