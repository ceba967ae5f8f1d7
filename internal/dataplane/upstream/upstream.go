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

// Options bound the kept connections of one gateway. IdleUs is how long one may lie idle where the replica
// does not say; PerReplicaMost is asked for each replica, as shares change with the number of gateways.
type Options struct {
	Local          net.IP
	DialUs         int64
	IdleUs         int64
	PerReplicaMost func(replica string) int
	// Service is that of a replica: its connections are taken to be kept alike. May be left out.
	Service func(replica string) string
}

// Conn is a connection to one incarnation of a replica.
type Conn struct {
	net.Conn
	Reader *bufio.Reader
	Reused bool

	bound   *bounded
	replica string
	untilUs int64
	givenUs int64
	ageUs   int64
}

// Bound lets no more than so many bytes be read from here on, beside those that are buffered; a read beyond
// is a fault. 0 lifts it.
func (c *Conn) Bound(bytes int64) { c.bound.most, c.bound.left = bytes, bytes }

// bounded reads a connection up to a bound, so that what never ends takes no memory without end.
type bounded struct {
	from       net.Conn
	most, left int64
}

func (b *bounded) Read(into []byte) (int, error) {
	if b.most == 0 {
		return b.from.Read(into)
	}
	if b.left <= 0 {
		return 0, fault.New(fault.TooLarge, "", "more than %d bytes", b.most)
	}
	n, err := b.from.Read(into[:min(int64(len(into)), b.left)])
	b.left -= int64(n)
	return n, err
}

// Pool keeps connections to replicas between calls; the one used last is taken first, so that the
// others lapse by themselves.
type Pool struct {
	opts   Options
	dialer net.Dialer
	mu     sync.Mutex
	idle   map[string][]*Conn
	open   map[string]int
	limits map[string]*idleLimit
	Dialed int64
}

// New is a pool without connections.
func New(opts Options) *Pool {
	p := &Pool{opts: opts, idle: map[string][]*Conn{}, open: map[string]int{}, limits: map[string]*idleLimit{}}
	p.dialer = net.Dialer{Timeout: time.Duration(opts.DialUs) * time.Microsecond, KeepAlive: -1}
	if opts.Local != nil && !opts.Local.IsUnspecified() {
		p.dialer.LocalAddr = &net.TCPAddr{IP: opts.Local}
	}
	return p
}

// Take gives a connection that was sound a moment ago, or a new one.
func (p *Pool) Take(ctx context.Context, replica, addr string) (*Conn, error) {
	if c := p.sound(replica); c != nil {
		return c, nil
	}
	return p.dial(ctx, replica, addr)
}

// TakeNew gives a connection that has carried nothing; where there may be no more of them, an idle one gives way.
func (p *Pool) TakeNew(ctx context.Context, replica, addr string) (*Conn, error) {
	c, err := p.dial(ctx, replica, addr)
	var f *fault.Fault
	if !errors.As(err, &f) || f.Code != fault.Overloaded {
		return c, err
	}
	idle := p.pop(replica)
	if idle == nil {
		return nil, err
	}
	p.Drop(idle)
	return p.dial(ctx, replica, addr)
}

// sound is an idle connection that may be used again, or nil.
func (p *Pool) sound(replica string) *Conn {
	for {
		c := p.pop(replica)
		if c == nil {
			return nil
		}
		nowUs := clock.NowUs()
		c.ageUs = nowUs - c.givenUs
		if nowUs < c.untilUs && c.ageUs < p.mostIdleUs(nowUs, replica) && quiet(c) {
			c.Reused = true
			return c
		}
		p.Drop(c)
	}
}

func (p *Pool) dial(ctx context.Context, replica, addr string) (*Conn, error) {
	p.mu.Lock()
	most := p.opts.PerReplicaMost(replica)
	if p.open[replica] >= most {
		p.mu.Unlock()
		return nil, fault.New(fault.Overloaded, replica, "all %d connections are taken", most)
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
	bound := &bounded{from: conn}
	return &Conn{Conn: conn, Reader: bufio.NewReaderSize(bound, 4096), bound: bound, replica: replica}, nil
}

func (p *Pool) pop(replica string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	free := p.idle[replica]
	if len(free) == 0 {
		return nil
	}
	c := free[len(free)-1]
	p.idle[replica] = free[:len(free)-1]
	return c
}

func (p *Pool) release(replica string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[replica]--; p.open[replica] <= 0 {
		delete(p.open, replica)
	}
}

// Give back a connection on which an answer was read whole; idleUs 0 means that the replica did not say
// how long it keeps it.
func (p *Pool) Give(c *Conn, idleUs int64) {
	if idleUs == 0 {
		idleUs = p.opts.IdleUs
	}
	if c.Reader.Buffered() > 0 || idleUs < 0 {
		p.Drop(c)
		return
	}
	_ = c.SetDeadline(time.Time{})
	c.givenUs = clock.NowUs()
	c.untilUs = c.givenUs + idleUs
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.replica] = append(p.idle[c.replica], c)
}

func (p *Pool) service(replica string) string {
	if p.opts.Service == nil {
		return replica
	}
	return p.opts.Service(replica)
}

func (p *Pool) mostIdleUs(nowUs int64, replica string) int64 {
	service := p.service(replica)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limits[service].most(nowUs)
}

// Died takes a connection on which a request was sent and that ended before the first byte of an answer. It
// is true where the connection itself may have been dead before: it was reused, and lay idle for a while.
// All others to that replica that have lain idle as long go with it.
func (p *Pool) Died(c *Conn) bool {
	if !c.Reused {
		return false
	}
	service, nowUs := p.service(c.replica), clock.NowUs()
	p.mu.Lock()
	l := p.limits[service]
	if l == nil {
		l = &idleLimit{deaths: map[string]death{}}
		p.limits[service] = l
	}
	short := l.died(nowUs, c.replica, c.ageUs)
	dead := []*Conn{}
	if !short {
		kept := []*Conn{}
		for _, other := range p.idle[c.replica] {
			if nowUs-other.givenUs >= c.ageUs/2 {
				dead = append(dead, other)
			} else {
				kept = append(kept, other)
			}
		}
		p.idle[c.replica] = kept
	}
	p.mu.Unlock()
	for _, other := range dead {
		p.Drop(other)
	}
	return !short
}

// Drop closes a connection that is not to be used again.
func (p *Pool) Drop(c *Conn) {
	_ = c.Close()
	p.release(c.replica)
}

// Sweep closes what has lain idle for too long, and everything to replicas that are gone.
func (p *Pool) Sweep(nowUs int64, known func(replica string) bool) {
	p.mu.Lock()
	lapsed := []*Conn{}
	for replica, free := range p.idle {
		kept := free[:0]
		for _, c := range free {
			if nowUs >= c.untilUs || !known(replica) {
				lapsed = append(lapsed, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, replica)
		} else {
			p.idle[replica] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range lapsed {
		p.Drop(c)
	}
}

// Counts are the open connections by replica.
func (p *Pool) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := make(map[string]int, len(p.open))
	for r, c := range p.open {
		n[r] = c
	}
	return n
}

// quiet: nothing has come on an idle connection, neither its end nor bytes that belong to no call.
func quiet(c *Conn) bool {
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	if err := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, got := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		still = got == unix.EAGAIN
		return true
	}); err != nil {
		return false
	}
	return still
}
