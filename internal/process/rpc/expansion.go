package rpc

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"connectrpc.com/connect"
)

// byteLimit bounds the bytes that the compressed messages of a process take while they are expanded and decoded.
type byteLimit struct {
	max, held atomic.Int64
}

// expansions is the limit of this process.
var expansions = newByteLimit(maxReadBytes)

func newByteLimit(max int64) *byteLimit {
	l := &byteLimit{}
	l.max.Store(max)
	return l
}

// LimitExpansion bounds the memory of compressed messages, once expanded, that this process decodes at the same time.
func LimitExpansion(bytes int64) { expansions.max.Store(min(bytes, maxReadBytes)) }

// errExpanded is the error of a message that does not fit into the limit once it is expanded.
var errExpanded = errors.New("compressed messages take as much memory as they may")

// errExpandedSize is the error of a message that is longer than it states.
var errExpandedSize = errors.New("a compressed message is longer than it states")

// hold counts bytes and reports whether they are within the limit. They are counted either way.
func (l *byteLimit) hold(bytes int64) bool { return l.held.Add(bytes) <= l.max.Load() }

// expand returns what a compressed message of one gzip member stands for. The caller calls release when it no longer needs it.
func (l *byteLimit) expand(raw []byte) (bare []byte, release func(), err error) {
	size := expandedBytes(raw)
	release = func() { l.held.Add(-size) }
	if !l.hold(size) {
		return nil, release, connect.NewError(connect.CodeResourceExhausted, errExpanded)
	}
	z := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(z)
	if err := z.Reset(bytes.NewReader(raw)); err != nil {
		return nil, release, err
	}
	bare = make([]byte, size)
	if _, err := io.ReadFull(z, bare); err != nil {
		return nil, release, err
	}
	// The reader checks the size and the checksum at the end.
	if n, err := z.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return nil, release, errors.Join(errExpandedSize, err)
	}
	return bare, release, nil
}

// expandedBytes returns the size that the end of a gzip member states.
func expandedBytes(raw []byte) int64 {
	if len(raw) < gzipSizeBytes {
		return 0
	}
	return int64(binary.LittleEndian.Uint32(raw[len(raw)-gzipSizeBytes:]))
}

// gzipSizeBytes is the size of the field at the end of a gzip member that states the member's size once it is expanded.
const gzipSizeBytes = 4

var gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}

// noDecompressor refuses messages that are compressed in transit. Nodes compress messages before they send them, so that one that is
// sent to many is compressed once.
type noDecompressor struct{}

var errCompressedInTransit = errors.New("messages that are compressed in transit are not accepted")

func (noDecompressor) Read([]byte) (int, error) { return 0, errCompressedInTransit }
func (noDecompressor) Close() error             { return nil }
func (noDecompressor) Reset(io.Reader) error    { return errCompressedInTransit }

// responseCompression lets a handler compress its responses, but accept no compressed request.
var responseCompression = connect.WithCompression("gzip", func() connect.Decompressor { return noDecompressor{} },
	func() connect.Compressor { return gzip.NewWriter(io.Discard) })
