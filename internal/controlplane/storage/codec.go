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

const frameBytes = 4

// Frame puts a checksum before a payload.
func Frame(payload []byte) []byte {
	framed := make([]byte, frameBytes, frameBytes+len(payload))
	binary.LittleEndian.PutUint32(framed, crc32.Checksum(payload, castagnoli))
	return append(framed, payload...)
}

// Unframe is the payload of a frame, or the fault that its checksum shows.
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

// decode reads one record of the log, a batch. What this version does not know is a fault, not something to leave out:
// the rest would be read as a history that it is not.
func decode(payload []byte) ([]chain.Record, *fault.Fault) {
	var batch []chain.Record
	if bad := decodeStrictly(bytes.NewReader(payload), &batch); bad != nil {
		return nil, bad
	}
	for _, r := range batch {
		if r == (chain.Record{}) {
			return nil, fault.New(fault.UnknownFormat, "", "it says nothing")
		}
	}
	return batch, nil
}

// unknownField begins the error by which the JSON package tells that a field is not known.
const unknownField = "json: unknown field "

func decodeStrictly(from io.Reader, into any) *fault.Fault {
	decoder := json.NewDecoder(from)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	switch {
	case err == nil:
		return nil
	case strings.HasPrefix(err.Error(), unknownField):
		return fault.New(fault.UnknownFormat, "", "%v: a later version wrote it", err)
	}
	return fault.New(fault.DamagedData, "", "%v", err)
}

// kept is a copy as it is put away, with the place of the log's record that it stands before: what is in the
// log before that place came before the copy.
type kept struct {
	chain.Copy
	From uint64 `json:"from"`
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

// unpack reads a copy as it lies on the disk.
func unpack(framed []byte) (*kept, *fault.Fault) {
	payload, bad := Unframe(framed)
	if bad != nil {
		return nil, bad
	}
	zip, err := gzip.NewReader(bytes.NewReader(payload))
	if err != nil {
		return nil, fault.New(fault.DamagedData, "", "%v", err)
	}
	c := &kept{}
	if bad := decodeStrictly(zip, c); bad != nil {
		return nil, bad
	}
	return c, nil
}
