package rpc

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// noted is a connection that closes a channel when it is closed.
type noted struct {
	net.Conn
	closed chan struct{}
}

func (c *noted) Close() error {
	close(c.closed)
	return nil
}

// A machine that comes back while another one dials it has not received the SYN packet, which the operating system
// retransmits only after one second: gateways and control nodes connected 250 to 400 ms late.
func TestRedialerStartsSecondAttemptIfFirstIsUnanswered(t *testing.T) {
	refused := errors.New("refused")
	for name, c := range map[string]struct {
		err  error
		late bool
	}{"second attempt connects": {nil, false}, "second attempt is refused": {refused, false}, "first attempt connects late": {nil, true}} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			waits := make(chan time.Time, 1)
			waits <- time.Time{}
			second := &noted{closed: make(chan struct{})}
			first := &noted{closed: make(chan struct{})}
			r := &redialer{timeout: time.Minute, after: func(time.Duration) <-chan time.Time { return waits }, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
				if calls.Add(1) > 1 {
					if c.err != nil {
						return nil, c.err
					}
					return second, nil
				}
				<-ctx.Done()
				if c.late {
					return first, nil
				}
				return nil, ctx.Err()
			}}
			conn, err := r.DialContext(context.Background(), "tcp", "a")
			if !errors.Is(err, c.err) || (c.err == nil && conn != second) {
				t.Fatalf("DialContext: got %v, %v, want the second connection or error %v", conn, err, c.err)
			}
			if c.late {
				<-first.closed
			}
			if n := calls.Load(); n != 2 {
				t.Errorf("got %d attempts, want 2", n)
			}
		})
	}
}

func TestRedialerReturnsWhenContextIsCanceled(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	r := &redialer{timeout: time.Minute, after: func(time.Duration) <-chan time.Time { return nil }, dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}
	if conn, err := r.DialContext(ctx, "tcp", "a"); conn != nil || !errors.Is(err, context.Canceled) {
		t.Fatalf("DialContext: got %v, %v, want nil, %v", conn, err, context.Canceled)
	}
}
