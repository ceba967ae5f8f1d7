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

// checksumBytes is the size of the CRC-32C checksum at the start of a record.
const checksumBytes = 4

// EncodeRecord returns a payload with its checksum prepended.
func EncodeRecord(payload []byte) []byte {
	record := make([]byte, checksumBytes, checksumBytes+len(payload))
	binary.LittleEndian.PutUint32(record, crc32.Checksum(payload, castagnoli))
	return append(record, payload...)
}

// DecodeRecord returns the payload of a record, or a DamagedData fault where its checksum is missing or does not match.
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

// decodeRecords decodes the payload of one log record, which is a batch of chain records. Content that this version does
// not know is a fault and is not skipped: the remaining records alone would give a different history.
func decodeRecords(payload []byte) ([]chain.Record, *fault.Fault) {
	var batch []chain.Record
	if bad := decodeStrict(bytes.NewReader(payload), &batch); bad != nil {
		return nil, bad
	}
	for _, r := range batch {
		if r == (chain.Record{}) {
			return nil, fault.New(fault.UnknownFormat, "", "the batch contains an empty record")
		}
	}
	return batch, nil
}

// unknownFieldPrefix is the prefix of the error that package json returns for an unknown field.
const unknownFieldPrefix = "json: unknown field "

// decodeStrict decodes JSON and returns an UnknownFormat fault for an unknown field and a DamagedData fault for any other
// error.
func decodeStrict(from io.Reader, into any) *fault.Fault {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	switch {
	case err == nil:
		return nil
	case strings.HasPrefix(err.Error(), unknownFieldPrefix):
		return fault.New(fault.UnknownFormat, "", "%v: written by a later version", err)
	}
	return fault.New(fault.DamagedData, "", "%v", err)
}

// storedSnapshot is a snapshot as it is stored, with the number of the first log record that follows it. Records with
// lower numbers precede the snapshot.
type storedSnapshot struct {
	chain.Snapshot
	FirstRecord uint64 `json:"from"`
}

// encodeSnapshot returns the file content of a snapshot. It is compressed because the disk holds two snapshots beside the
// log while one replaces the other.
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

// decodeSnapshot decodes the file content of a snapshot.
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
