package testbed

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"
)

// A host's address is chosen before it listens there. Whoever dials meanwhile may be given any port of
// the address it dials from, and that is 127.0.0.1 or a host's own.
func TestEachHostHasAnAddressThatNobodyElseDialsFrom(t *testing.T) {
	s, err := Open(Plan{Folder: t.TempDir(), ControlNodes: 3, Gateways: 2})
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	}()
	seen := map[string]bool{"127.0.0.1": true}
	for _, addr := range append(append([]string{}, s.ControlNodes...), s.Gateways...) {
		ip, _, err := net.SplitHostPort(addr)
		if err != nil {
			t.Fatal(err)
		}
		if seen[ip] {
			t.Errorf("%s is on an address that others dial from", addr)
		}
		seen[ip] = true
	}
}

func TestAHostThatEndsBeforeItsTimeIsNamed(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Fleet{cancel: cancel}
	s.run(ctx, "gone:1", func(context.Context) error { return errors.New("no disk") })
	s.run(ctx, "stays:1", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() })
	for noted := 0; noted == 0; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		noted = len(s.ended)
		s.mu.Unlock()
	}
	if err := s.Close(); err == nil || !strings.Contains(err.Error(), "gone:1: no disk") || strings.Contains(err.Error(), "stays:1") {
		t.Fatal(err)
	}
}
