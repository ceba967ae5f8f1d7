package httpserver

import (
	"errors"
	"io"
	"net/http"
)

// ErrBodiesFull is the error of reading a body while the bodies of all requests take as much as they may. The request has not run.
var ErrBodiesFull = errors.New("the bodies of all requests take as much memory as they may")

// isChunked reports whether a request's body has no length.
func isChunked(r *http.Request) bool { return len(r.TransferEncoding) > 0 }

// requestBody is the body of a request that a server follows. Its bytes are counted until the request ends.
type requestBody struct {
	io.ReadCloser
	server     *Server
	connection *connection
	held       int64
}

// Read returns ErrBodiesFull if the bodies of all requests exceed the limit, unless this one is alone. The body that has not moved for
// longest is then closed, so that the next request finds room.
func (b *requestBody) Read(into []byte) (int, error) {
	n, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		b.connection.endBody()
	}
	if b.server.limits.MaxHeldBodyBytes == 0 || n == 0 {
		return n, err
	}
	b.held += int64(n)
	if !b.server.holdBody(int64(n), b.held) {
		b.server.EvictStalledBody()
		return n, ErrBodiesFull
	}
	return n, err
}

// release gives the bytes back.
func (b *requestBody) release() {
	if b.held > 0 {
		b.server.holdBody(-b.held, 0)
	}
}
