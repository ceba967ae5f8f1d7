package upstream

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"petreltide/internal/api/fault"
	"petreltide/internal/process/clock"
)

// Options configure a Pool.
type Options struct {
	// LocalIP is the local address of connections; if it is nil or unspecified, the system chooses one.
	LocalIP net.IP
	// DialTimeoutUs bounds a dial, in microseconds; 0 means that only the context bounds it.
	DialTimeoutUs int64
	// IdleTimeoutUs is how long a connection may be idle if the replica does not announce a timeout, in microseconds.
	IdleTimeoutUs int64
	// MaxConnsPerReplica returns the connection limit of a replica. It is called before each dial, since a gateway's share changes with
	// the number of gateways. It is required.
	MaxConnsPerReplica func(replica string) int
	// ServiceOf returns a replica's service; connections to all replicas of a service share one idle timeout. If it is nil, each
	// replica counts as a service of its own.
	ServiceOf func(replica string) string
}

// Conn is a connection to one incarnation of a replica.
type Conn struct {
	net.Conn
	// Reader reads from the connection within the limit of LimitReads.
	Reader *bufio.Reader
	// Reused is true if the connection has carried an earlier request.
	Reused bool

	limited *limitedReader
	replica string
	// expiresAtUs and idleSinceUs are instants, and idleUs is how long the connection was idle before its current use; all in
	// microseconds.
	expiresAtUs int64
	idleSinceUs int64
	idleUs      int64
}

// LimitReads limits how many bytes can be read from now on, in addition to those already buffered. A read beyond the limit fails
// with fault.TooLarge. 0 removes the limit.
func (c *Conn) LimitReads(bytes int64) { c.limited.limit, c.limited.remaining = bytes, bytes }

// limitedReader reads from a connection up to a limit, so that an endless response does not exhaust the memory.
type limitedReader struct {
	conn             net.Conn
	limit, remaining int64
}

func (r *limitedReader) Read(into []byte) (int, error) {
	if r.limit == 0 {
		return r.conn.Read(into)
	}
	if r.remaining <= 0 {
		return 0, fault.New(fault.TooLarge, "", "the response exceeds %d bytes", r.limit)
	}
	n, err := r.conn.Read(into[:min(int64(len(into)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// Pool keeps idle connections to replicas for reuse. The most recently used connection is reused first, so that surplus ones expire.
// It is safe for concurrent use.
type Pool struct {
	opts   Options
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
	// open counts the open connections by replica, including those being dialed.
	open         map[string]int
	idleTimeouts map[string]*idleTimeout
	// Dialed counts the dials so far.
	Dialed int64
}

// New returns a pool without connections.
func New(opts Options) *Pool {
	p := &Pool{opts: opts, idle: map[string][]*Conn{}, open: map[string]int{}, idleTimeouts: map[string]*idleTimeout{}}
	p.dialer = net.Dialer{Timeout: time.Duration(opts.DialTimeoutUs) * time.Microsecond, KeepAlive: -1}
	if opts.LocalIP != nil && !opts.LocalIP.IsUnspecified() {
		p.dialer.LocalAddr = &net.TCPAddr{IP: opts.LocalIP}
	}
	return p
}

// Get returns an idle connection that shows no sign of being closed, or dials a new one.
func (p *Pool) Get(ctx context.Context, replica, addr string) (*Conn, error) {
	if c := p.getIdle(replica); c != nil {
		return c, nil
	}
	return p.dial(ctx, replica, addr)
}

// GetUnused dials a connection that has carried no request yet. At the connection limit it closes an idle connection first.
func (p *Pool) GetUnused(ctx context.Context, replica, addr string) (*Conn, error) {
	c, err := p.dial(ctx, replica, addr)
	var f *fault.Fault
	if !errors.As(err, &f) || f.Code != fault.Overloaded {
		return c, err
	}
	idle := p.popIdle(replica)
	if idle == nil {
		return nil, err
	}
	p.Discard(idle)
	return p.dial(ctx, replica, addr)
}

// getIdle returns an idle connection that can be reused, or nil. It closes those that cannot.
func (p *Pool) getIdle(replica string) *Conn {
	for {
		c := p.popIdle(replica)
		if c == nil {
			return nil
		}
		nowUs := clock.NowUs()
		c.idleUs = nowUs - c.idleSinceUs
		if nowUs < c.expiresAtUs && c.idleUs < p.maxIdleUs(nowUs, replica) && noPendingInput(c) {
			c.Reused = true
			return c
		}
		p.Discard(c)
	}
}

// dial opens a connection. It fails with fault.Overloaded at the connection limit, with fault.ReplicaRejected if the replica refuses or
// resets the connection, and otherwise with fault.ReplicaFailed.
func (p *Pool) dial(ctx context.Context, replica, addr string) (c *Conn, err error) {
	if err := p.reserve(replica); err != nil {
		return nil, err
	}
	defer func() {
		if c == nil {
			p.release(replica)
		}
	}()
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		if errors.Is(err, unix.ECONNREFUSED) || errors.Is(err, unix.ECONNRESET) {
			return nil, fault.New(fault.ReplicaRejected, replica, "%v", err)
		}
		return nil, fault.New(fault.ReplicaFailed, replica, "%v", err)
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetNoDelay(true)
	}
	limited := &limitedReader{conn: conn}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(limited, 4096), limited: limited, replica: replica}, nil
}

// reserve counts one more open connection to a replica, or fails with fault.Overloaded at the limit.
func (p *Pool) reserve(replica string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := p.opts.MaxConnsPerReplica(replica)
	if p.open[replica] >= limit {
		return fault.New(fault.Overloaded, replica, "all %d connections are in use", limit)
	}
	p.open[replica]++
	p.Dialed++
	return nil
}

// popIdle removes and returns the most recently used idle connection to a replica, or nil.
func (p *Pool) popIdle(replica string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[replica]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[replica] = idle[:len(idle)-1]
	return c
}

// release decrements the number of open connections to a replica.
func (p *Pool) release(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[replica]--; p.open[replica] <= 0 {
		delete(p.open, replica)
	}
}

// PutIdle returns a connection to the pool after a complete response was read from it. idleUs is the idle timeout that the replica
// announced, or 0 if it announced none. The connection is closed if idleUs is negative or unread data is buffered.
func (p *Pool) PutIdle(c *Conn, idleUs int64) {
	if idleUs == 0 {
		idleUs = p.opts.IdleTimeoutUs
	}
	if c.Reader.Buffered() > 0 || idleUs < 0 {
		p.Discard(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.idleSinceUs = clock.NowUs()
	c.expiresAtUs = c.idleSinceUs + idleUs
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.replica] = append(p.idle[c.replica], c)
}

func (p *Pool) service(replica string) string {
	if p.opts.ServiceOf == nil {
		return replica
	}
	return p.opts.ServiceOf(replica)
}

// maxIdleUs returns the current idle timeout of a replica's service, in microseconds.
func (p *Pool) maxIdleUs(nowUs int64, replica string) int64 {
	service := p.service(replica)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimeouts[service].currentUs(nowUs)
}

// ReportEarlyClose records that a connection on which a request was sent ended before the first byte of a response. It returns true
// if the connection may have been closed before the request, that is, if it was reused after it had been idle for a while. In that
// case it also closes all connections to the replica that have been idle for at least half as long.
func (p *Pool) ReportEarlyClose(c *Conn) bool {
	if !c.Reused {
		return false
	}
	service, nowUs := p.service(c.replica), clock.NowUs()
	p.mu.Lock()
	timeout := p.idleTimeouts[service]
	if timeout == nil {
		timeout = &idleTimeout{closes: map[string]earlyClose{}}
		p.idleTimeouts[service] = timeout
	}
	shortIdle := timeout.recordClose(nowUs, c.replica, c.idleUs)
	expired := []*Conn{}
	if !shortIdle {
		remaining := []*Conn{}
		for _, other := range p.idle[c.replica] {
			if nowUs-other.idleSinceUs >= c.idleUs/2 {
				expired = append(expired, other)
			} else {
				remaining = append(remaining, other)
			}
		}
		p.idle[c.replica] = remaining
	}
	p.mu.Unlock()
	for _, other := range expired {
		p.Discard(other)
	}
	return !shortIdle
}

// Discard closes a connection instead of returning it to the pool.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release(c.replica)
}

// CloseIdle closes idle connections that have expired, and all idle connections to replicas that are not known any more.
func (p *Pool) CloseIdle(nowUs int64, known func(replica string) bool) {
	p.mu.Lock()
	expired := []*Conn{}
	for replica, idle := range p.idle {
		remaining := idle[:0]
		for _, c := range idle {
			if nowUs >= c.expiresAtUs || !known(replica) {
				expired = append(expired, c)
			} else {
				remaining = append(remaining, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, replica)
		} else {
			p.idle[replica] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.Discard(c)
	}
}

// OpenConns returns the number of open connections by replica.
func (p *Pool) OpenConns() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[string]int, len(p.open))
	for r, c := range p.open {
		n[r] = c
	}
	return n
}

// noPendingInput reports whether an idle connection has received neither its end nor bytes that belong to no call.
func noPendingInput(c *Conn) bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	isOpenAndEmpty := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isOpenAndEmpty = errno == unix.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return isOpenAndEmpty
}
