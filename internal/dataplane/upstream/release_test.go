package upstream

import (
	"context"
	"net"
	"testing"

	"petreltide/internal/process/clock"
)

// A dial that gets no connection, for whatever reason, gives its place back.
func TestFailedDialReleasesItsPlace(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	_ = listener.Close()
	limitPanics := false
	p := New(Options{DialTimeoutUs: clock.Sec, MaxConnsPerReplica: func(string) int {
		if limitPanics {
			panic("planted")
		}
		return 1
	}})
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, ctx := range map[string]context.Context{"refused": t.Context(), "canceled": canceled} {
		for range 3 {
			if c, err := p.Get(ctx, "r", addr); err == nil || c != nil {
				t.Fatalf("%s dial: got a connection, want an error", name)
			}
		}
	}
	limitPanics = true
	func() {
		defer func() { _ = recover() }()
		_, _ = p.Get(t.Context(), "r", addr)
	}()
	if open := p.OpenConns(); len(open) != 0 {
		t.Errorf("open connections after failed dials: got %v, want none", open)
	}
}
