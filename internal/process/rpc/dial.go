package rpc

import (
	"context"
	"net"
	"time"
)

// redialInterval is after how long without an answer an opening packet is taken for lost: one that was sent to a machine
// without power is sent again by the system after a second only.
const redialInterval = 80 * time.Millisecond

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialed is how one attempt ended.
type dialed struct {
	conn net.Conn
	err  error
}

// redialer opens a connection by several attempts, each begun when those before have had no answer for a while. The
// first answer counts, also a refusal.
type redialer struct {
	dial    dialFunc
	timeout time.Duration
	after   func(time.Duration) <-chan time.Time
}

// DialContext returns the connection of the first attempt that is answered.
func (r *redialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timeout)
	answers := make(chan dialed)
	attempts := 0
	attempt := func() {
		attempts++
		go func() {
			conn, err := r.dial(ctx, network, addr)
			answers <- dialed{conn, err}
		}()
	}
	attempt()
	for {
		select {
		case first := <-answers:
			cancel()
			go closeRest(answers, attempts-1)
			return first.conn, first.err
		case <-r.after(redialInterval):
			attempt()
		}
	}
}

// closeRest closes the connections of the attempts that are left.
func closeRest(answers <-chan dialed, left int) {
	for range left {
		if late := <-answers; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}
