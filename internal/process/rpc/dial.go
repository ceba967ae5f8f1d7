package rpc

import (
	"context"
	"net"
	"time"
)

// redialInterval is the time without an answer after which the SYN packet of a connection attempt is presumed lost. The
// operating system retransmits a SYN that was sent to a powered-off machine only after one second.
const redialInterval = 80 * time.Millisecond

// dialFunc opens a connection, as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialed is the result of one attempt.
type dialed struct {
	conn net.Conn
	err  error
}

// redialer opens a connection with concurrent attempts: another one is started whenever redialInterval passes without an
// answer to the previous ones. The first answer is the result, even if it is a refusal.
type redialer struct {
	dial    dialFunc
	timeout time.Duration
	after   func(time.Duration) <-chan time.Time
}

// DialContext returns the connection or error of the first attempt that is answered.
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

// closeRest waits for the remaining attempts and closes their connections.
func closeRest(answers <-chan dialed, left int) {
	for range left {
		if late := <-answers; late.conn != nil {
			_ = late.conn.Close()
		}
	}
}
