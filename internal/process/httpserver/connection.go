package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// unknownLength is the number of body bytes that are missing while a body comes in chunks.
const unknownLength = -1

// connection is a client's connection. It follows the requests through the bytes that it gives to net/http, and can be made to read as
// ended: whether the next request is read or not is decided by its Read alone.
type connection struct {
	net.Conn
	server *Server
	// writeTick is the server's tick at the beginning of the write that is under way, 0 if there is none.
	writeTick atomic.Int64
	closeOnce sync.Once

	mu    sync.Mutex
	state state
	// sinceTime is when the state began, or when the last byte of a body came; bodyTime is when the reading of the body began.
	sinceTime, bodyTime time.Time
	head                headScanner
	// heldHeadBytes is the memory that the server counts for the head.
	heldHeadBytes int64
	// surplus are bytes that net/http has been given beyond the request that it serves: the beginning of the next one.
	surplus []byte
	// missingBodyBytes is the number of bytes of the body that are still to come, or unknownLength.
	missingBodyBytes int64
	// widened means that the socket holds more unread bytes, for a long body.
	widened bool
	// awaitsChunk means that a Read waits for more of a body in chunks, so that the body is not whole.
	awaitsChunk bool
	// ended means that no further request is read; evicted that nothing more is read at all.
	ended, evicted bool
	// readDeadline is the one that net/http has set. While waking is set, a past deadline replaces it, to return from a Read that waits.
	readDeadline time.Time
	waking       bool
}

// pastDeadline is a deadline in the past: it ends a Read that waits.
var pastDeadline = time.Unix(1, 0)

// Read reads from the connection. It returns io.EOF once the connection has been ended between two requests, evicted or refused.
func (c *connection) Read(into []byte) (int, error) {
	for c.beginRead(len(into)) {
		n, err := c.Conn.Read(into)
		if n > 0 {
			return c.take(into[:n], err)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.restoreDeadline() {
			return n, err
		}
	}
	return 0, io.EOF
}

// beginRead reports whether the connection may be read. While net/http serves a request whose body has ended it asks for a single byte,
// to notice when the client disconnects, so a Read of more bytes means that more of a body is missing.
func (c *connection) beginRead(size int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitsChunk = c.state == stateBody && size > 1
	return !c.evicted && c.state != stateRefused && (!c.ended || !c.betweenRequests())
}

// betweenRequests reports whether no request is being served, and no body is being read.
func (c *connection) betweenRequests() bool {
	return c.state == stateNew || c.state == stateIdle || c.state == stateHead
}

// take accounts for bytes that were read before net/http gets them. It returns io.EOF in place of the bytes if the connection has to go.
func (c *connection) take(raw []byte, err error) (int, error) {
	var cost int64
	var refused refusal
	c.mu.Lock()
	c.awaitsChunk = false
	switch c.state {
	case stateNew, stateIdle, stateHead:
		cost, refused = c.takeHead(raw)
	case stateBody:
		c.takeBody(raw)
	case stateServing:
		c.takeSurplus(raw)
	}
	complete := cost > 0 && c.head.complete
	c.mu.Unlock()
	if refused == refusalNone && cost > 0 {
		refused = c.server.holdHead(c, cost)
	}
	if refused == refusalNone && complete && !c.server.servesHead(c) {
		refused = refusalHeadsFull
	}
	if !c.handOver(refused) {
		return 0, io.EOF
	}
	return len(raw), err
}

// takeSurplus keeps the beginning of the next request. More than net/http can hold means that it no longer serves the request that this
// connection follows, so that nothing more may be read. The caller holds mu.
func (c *connection) takeSurplus(raw []byte) {
	c.surplus = append(c.surplus, raw...)
	if len(c.surplus) > maxSurplusBytes {
		c.surplus, c.evicted = nil, true
	}
}

// handOver decides whether net/http gets the bytes that were read last.
func (c *connection) handOver(refused refusal) bool {
	c.mu.Lock()
	evicted := c.evicted
	if !evicted && refused != refusalNone {
		c.setState(stateRefused)
	}
	c.mu.Unlock()
	if !evicted && refused != refusalNone {
		c.writeRefusal(refused)
	}
	return !evicted && refused == refusalNone
}

// takeHead scans bytes of a head and returns by how much the head's memory grows. A head that is whole is going to be served or refused:
// from now on it doesn't give way to others, however long it has to wait for its memory to be counted. The caller holds mu.
func (c *connection) takeHead(raw []byte) (cost int64, refused refusal) {
	if c.state != stateHead {
		c.setState(stateHead)
	}
	before := c.head.cost()
	used := c.head.scan(raw)
	c.surplus = append(c.surplus, raw[used:]...)
	if !c.head.complete && c.head.bytes > c.server.limits.maxHeadBytes()+readAheadBytes {
		return 0, refusalHeadTooLarge
	}
	if c.head.complete {
		c.setState(stateServing)
	}
	return c.head.cost() - before, refusalNone
}

// takeBody counts bytes of a body. The caller holds mu.
func (c *connection) takeBody(raw []byte) {
	c.sinceTime = time.Now()
	switch {
	case c.missingBodyBytes == unknownLength:
		// The bytes behind a body in chunks are of no use: its connection closes.
	case int64(len(raw)) < c.missingBodyBytes:
		c.missingBodyBytes -= int64(len(raw))
	default:
		c.surplus = append(c.surplus, raw[c.missingBodyBytes:]...)
		c.missingBodyBytes = 0
		c.setState(stateServing)
	}
}

// beginRequest is called when net/http hands a request to the handler, with its head read whole.
func (c *connection) beginRequest(r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isChunked(r) {
		c.missingBodyBytes, c.surplus = unknownLength, nil
	} else {
		given := min(int64(len(c.surplus)), max(r.ContentLength, 0))
		c.missingBodyBytes, c.surplus = max(r.ContentLength, 0)-given, c.surplus[given:]
	}
	if len(c.surplus) == 0 {
		c.surplus = nil
	}
	if c.missingBodyBytes == 0 {
		c.setState(stateServing)
		return
	}
	c.setState(stateBody)
	c.bodyTime = c.sinceTime
	if unread := c.server.limits.unreadBytes(); unread < bodyUnreadBytes && (c.missingBodyBytes == unknownLength || c.missingBodyBytes > int64(unread)) {
		c.widened = true
		c.setReadBuffer(bodyUnreadBytes)
	}
}

// setReadBuffer bounds what the socket holds for the server to read. A connection that knows no such bound keeps its own.
func (c *connection) setReadBuffer(bytes int) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(bytes)
	}
}

// endBody is called when a body has been read whole.
func (c *connection) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == stateBody {
		c.missingBodyBytes = 0
		c.setState(stateServing)
	}
}

// endRequest is called when the response has been sent and the connection is kept. Bytes that net/http holds already begin the next head.
func (c *connection) endRequest() {
	c.server.releaseHead(c)
	c.mu.Lock()
	c.head = headScanner{}
	c.setState(stateIdle)
	next := c.surplus
	c.surplus = nil
	cost := int64(0)
	if len(next) > 0 {
		cost, _ = c.takeHead(next)
	}
	c.mu.Unlock()
	if cost > 0 {
		_ = c.server.holdHead(c, cost)
	}
}

// setState changes the state. The caller holds mu.
func (c *connection) setState(s state) {
	c.state, c.sinceTime = s, time.Now()
	if c.widened && s == stateServing {
		c.widened = false
		c.setReadBuffer(c.server.limits.unreadBytes())
	}
}

// writeRefusal writes a refusal, after which nothing more is read.
func (c *connection) writeRefusal(r refusal) {
	c.server.refusals[r].Add(1)
	c.server.releaseHead(c)
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	_, _ = io.WriteString(c.Conn, r.response())
}

// mayEvict reports whether the connection is in a state and may be closed to make room. A body in chunks has no length, so whether it is
// whole is known only while a Read waits for more of it. The caller holds mu.
func (c *connection) mayEvict(from state) bool {
	if c.evicted || c.state != from || from == stateServing {
		return false
	}
	return from != stateBody || c.missingBodyBytes != unknownLength || c.awaitsChunk
}

// evict closes the connection if its state still is one of which connections may be closed, and reports whether it did. No byte that
// was read later is served.
func (c *connection) evict(from state) bool {
	c.mu.Lock()
	evicts := c.mayEvict(from)
	c.evicted = c.evicted || evicts
	c.mu.Unlock()
	if evicts {
		_ = c.close()
	}
	return evicts
}

// giveUp closes the connection because its client took too long in a state, and reports whether it did: a client that has gone on
// meanwhile is not given up. No byte that was read later is served.
func (c *connection) giveUp(in state) bool {
	c.mu.Lock()
	givesUp := !c.evicted && (c.state == in || in == stateServing)
	c.evicted = c.evicted || givesUp
	c.mu.Unlock()
	if givesUp {
		_ = c.close()
	}
	return givesUp
}

// end makes the connection read as ended between two requests from now on, also in a Read that waits.
func (c *connection) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	if c.betweenRequests() {
		c.waking = true
		_ = c.Conn.SetReadDeadline(pastDeadline)
	}
}

// restoreDeadline sets net/http's read deadline again if end has replaced it, and returns whether it has.
func (c *connection) restoreDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.waking {
		return false
	}
	c.waking = false
	_ = c.Conn.SetReadDeadline(c.readDeadline)
	return true
}

// SetReadDeadline sets the time after which Read fails.
func (c *connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.waking {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the time after which Read and Write fail.
func (c *connection) SetDeadline(t time.Time) error {
	return errors.Join(c.SetWriteDeadline(t), c.SetReadDeadline(t))
}

// Write writes in pieces, so that the server can tell a client that reads slowly from one that does not read.
func (c *connection) Write(raw []byte) (int, error) {
	defer c.writeTick.Store(0)
	written := 0
	for {
		c.writeTick.Store(c.server.tick.Load())
		n, err := c.Conn.Write(raw[written:min(len(raw), written+pieceBytes)])
		if written += n; err != nil || written == len(raw) {
			return written, err
		}
	}
}

// stalledTicks returns for how many sweeps the write that is under way has lasted, 0 if there is none.
func (c *connection) stalledTicks() int64 {
	began := c.writeTick.Load()
	if began == 0 {
		return 0
	}
	return c.server.tick.Load() - began
}

// CloseWrite ends the sending side, so that the client can read the last response before the connection is closed.
func (c *connection) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection. After a refusal it does so a little later, so that the client can read the refusal.
func (c *connection) Close() error {
	c.mu.Lock()
	lingers := c.state == stateRefused && !c.evicted && !c.ended
	c.mu.Unlock()
	if !lingers {
		return c.close()
	}
	_ = c.CloseWrite()
	time.AfterFunc(lingerTime, func() { _ = c.close() })
	return nil
}

// close closes the connection at once and gives back what the server counts for it.
func (c *connection) close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.server.remove(c)
	})
	return err
}
