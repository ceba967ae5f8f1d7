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

// Options bound the connections of one gateway.
type Options struct {
	// LocalIP is the address that connections leave from; nil or unspecified: the system's choice.
	LocalIP net.IP
	// DialTimeoutUs bounds a dial, in microseconds; 0 is no bound but the context's.
	DialTimeoutUs int64
	// IdleTimeoutUs is how long a connection may be idle where the replica does not say, in microseconds.
	IdleTimeoutUs int64
	// MaxConnsPerReplica is asked before each dial, as shares change with the number of gateways. It must be set.
	MaxConnsPerReplica func(replica string) int
	// ServiceOf names a replica's service, whose connections are taken to have one idle timeout; nil: each replica is
	// its own.
	ServiceOf func(replica string) string
}

// Conn is a connection to one incarnation of a replica.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Reused bool

	limited *limitedReader
	replica string
	// expiresAtUs and idleSinceUs are instants, idleUs is how long it was idle before its present use; microseconds.
	expiresAtUs int64
	idleSinceUs int64
	idleUs      int64
}

// LimitReads lets no more than so many bytes be read from here on, beside those that are buffered; a read beyond
// is a fault. 0 lifts it.
func (c *Conn) LimitReads(bytes int64) { c.limited.limit, c.limited.remaining = bytes, bytes }

// limitedReader reads a connection up to a bound, so that what never ends takes no memory without end.
type limitedReader struct {
	conn             net.Conn
	limit, remaining int64
}

func (r *limitedReader) Read(into []byte) (int, error) {
	if r.limit == 0 {
		return r.conn.Read(into)
	}
	if r.remaining <= 0 {
		return 0, fault.New(fault.TooLarge, "", "more than %d bytes", r.limit)
	}
	n, err := r.conn.Read(into[:min(int64(len(into)), r.remaining)])
	r.remaining -= int64(n)
	return n, err
}

// Pool keeps connections to replicas between calls; the one used last is taken first, so that the
// others lapse by themselves.
type Pool struct {
	opts         Options
	dialer       net.Dialer
	mu           sync.Mutex
	idle         map[string][]*Conn
	open         map[string]int
	idleTimeouts map[string]*idleTimeout
	Dialed       int64
}

// New is a pool without connections.
func New(opts Options) *Pool {
	p := &Pool{opts: opts, idle: map[string][]*Conn{}, open: map[string]int{}, idleTimeouts: map[string]*idleTimeout{}}
	p.dialer = net.Dialer{Timeout: time.Duration(opts.DialTimeoutUs) * time.Microsecond, KeepAlive: -1}
	if opts.LocalIP != nil && !opts.LocalIP.IsUnspecified() {
		p.dialer.LocalAddr = &net.TCPAddr{IP: opts.LocalIP}
	}
	return p
}

// Get gives a connection that was sound a moment ago, or a new one.
func (p *Pool) Get(ctx context.Context, replica, addr string) (*Conn, error) {
	if c := p.getIdle(replica); c != nil {
		return c, nil
	}
	return p.dial(ctx, replica, addr)
}

// GetUnused gives a connection that has carried nothing; where there may be no more of them, an idle one gives way.
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

// getIdle is an idle connection that may be used again, or nil.
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

func (p *Pool) dial(ctx context.Context, replica, addr string) (*Conn, error) {
	p.mu.Lock()
	limit := p.opts.MaxConnsPerReplica(replica)
	if p.open[replica] >= limit {
		p.mu.Unlock()
		return nil, fault.New(fault.Overloaded, replica, "all %d connections are taken", limit)
	}
	p.open[replica]++
	p.Dialed++
	p.mu.Unlock()
	conn, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		p.release(replica)
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

func (p *Pool) release(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[replica]--; p.open[replica] <= 0 {
		delete(p.open, replica)
	}
}

// PutIdle back a connection on which an answer was read whole; idleUs 0 means that the replica did not say
// how long it keeps it.
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

func (p *Pool) maxIdleUs(nowUs int64, replica string) int64 {
	service := p.service(replica)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.idleTimeouts[service].currentUs(nowUs)
}

// ReportEarlyClose takes a connection on which a request was sent and that ended before the first byte of an answer. It
// is true where the connection itself may have been dead before: it was reused, and lay idle for a while.
// All others to that replica that have lain idle as long go with it.
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

// Discard closes a connection that is not to be used again.
func (p *Pool) Discard(c *Conn) {
	_ = c.Close()
	p.release(c.replica)
}

// CloseIdle closes what has lain idle for too long, and everything to replicas that are gone.
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

// OpenConns are the open connections by replica.
func (p *Pool) OpenConns() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[string]int, len(p.open))
	for r, c := range p.open {
		n[r] = c
	}
	return n
}

// noPendingInput: nothing has come on an idle connection, neither its end nor bytes that belong to no call.
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
