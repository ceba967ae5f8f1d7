package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout bounds the opening of one connection; a server with many open ones may be slow to accept.
	dialTimeout = 5 * time.Second
	// settleInterval is the time without any progress after which a crowd has settled.
	settleInterval = 700 * time.Millisecond
	// maxSettleTime bounds the wait until a crowd has settled.
	maxSettleTime = 45 * time.Second
	// maxOpens is how often a member opens a connection in all, if the server closes it.
	maxOpens = 3
	// writeBytes is the size of one write of a part that is repeated.
	writeBytes = 16 << 10
)

// Script is what one member sends on each of its connections.
type Script struct {
	// Start is sent first.
	Start string
	// Repeat is sent after it again and again, until MaxBytes are sent in all.
	Repeat   string
	MaxBytes int
	// Unread means that the member reads nothing of what the server sends.
	Unread bool
}

// Kind is a kind of crowd: its number of connections, and the script of each member by its number.
type Kind struct {
	Name        string
	Connections int
	Script      func(member int) Script
}

// Crowd is a crowd whose connections are open, as far as the server leaves them so.
type Crowd struct {
	address string
	// progress counts the connections opened and closed, and the writes that have ended.
	progress atomic.Int64
	stop     context.CancelFunc
	members  sync.WaitGroup
}

// Open opens the connections of a crowd at an address. They stay open until Close.
func Open(ctx context.Context, address string, kind Kind) *Crowd {
	ctx, stop := context.WithCancel(ctx)
	c := &Crowd{address: address, stop: stop}
	for n := range kind.Connections {
		c.members.Go(func() { c.play(ctx, kind.Script(n)) })
	}
	return c
}

// Close closes all connections.
func (c *Crowd) Close() {
	c.stop()
	c.members.Wait()
}

// Settle waits until the members have sent what they are going to send, or the server takes no more of it.
func (c *Crowd) Settle() {
	last, since := c.progress.Load(), time.Now()
	for end := time.Now().Add(maxSettleTime); time.Now().Before(end) && time.Since(since) < settleInterval; {
		time.Sleep(settleInterval / 10)
		if now := c.progress.Load(); now != last {
			last, since = now, time.Now()
		}
	}
}

// play opens a member's connection, and again where the server closes it.
func (c *Crowd) play(ctx context.Context, script Script) {
	for range maxOpens {
		c.playConnection(ctx, script)
		if ctx.Err() != nil {
			return
		}
	}
}

// playConnection sends a script on a new connection and keeps it open until the server closes it or ctx is done.
func (c *Crowd) playConnection(ctx context.Context, script Script) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", c.address)
	if err != nil {
		return
	}
	c.progress.Add(1)
	defer c.progress.Add(1)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	closed := make(chan struct{})
	if !script.Unread {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	if !c.send(conn, script) {
		return
	}
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// send sends a script and reports false if the connection ended meanwhile.
func (c *Crowd) send(conn net.Conn, script Script) bool {
	if _, err := io.WriteString(conn, script.Start); err != nil {
		return false
	}
	c.progress.Add(1)
	if script.Repeat == "" {
		return true
	}
	block := make([]byte, 0, writeBytes+len(script.Repeat))
	for len(block) < writeBytes {
		block = append(block, script.Repeat...)
	}
	for sent := len(script.Start); sent < script.MaxBytes; {
		part := block[:min(len(block), script.MaxBytes-sent)]
		n, err := conn.Write(part)
		if err != nil {
			return false
		}
		sent += n
		c.progress.Add(1)
	}
	return true
}
