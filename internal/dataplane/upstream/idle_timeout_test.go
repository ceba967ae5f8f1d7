package upstream

import (
	"testing"

	"petreltide/internal/process/clock"
)

func TestHowLongIdleConnectionsAreUsedAgain(t *testing.T) {
	type observedClose struct {
		atMs      int64
		replica   string
		idleMs    int64
		shortIdle bool
	}
	for _, c := range []struct {
		name   string
		closes []observedClose
		atMs   int64
		wantMs int64
	}{
		{"none was found dead", nil, 1000, unlimitedIdleUs / clock.Ms},
		{"one replica's alone may be ill", []observedClose{{100, "a", 900, false}, {200, "a", 800, false}}, 300, unlimitedIdleUs / clock.Ms},
		{"two replicas' show how long they are kept", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}}, 300, 400},
		{"those of long ago show nothing", []observedClose{{100, "a", 900, false}, {20_000, "b", 800, false}}, 20_100, unlimitedIdleUs / clock.Ms},
		{"it falls further", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}, {300, "c", 300, false}}, 400, 150},
		{"one that had hardly lain idle is the replica's doing", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}, {300, "c", 90, true}}, 400, 400},
		{"nor is one that was used a moment ago", []observedClose{{100, "a", 20, true}, {200, "b", 10, true}}, 300, unlimitedIdleUs / clock.Ms},
		{"it rises while none is", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}}, 4300, 625},
		{"it is never less than a moment", []observedClose{{100, "a", 60, false}, {200, "b", 60, false}}, 300, minIdleUs / clock.Ms},
	} {
		timeout := &idleTimeout{closes: map[string]earlyClose{}}
		for _, d := range c.closes {
			if shortIdle := timeout.recordClose(d.atMs*clock.Ms, d.replica, d.idleMs*clock.Ms); shortIdle != d.shortIdle {
				t.Errorf("%s: one idle for %d ms: the replica's doing %t", c.name, d.idleMs, shortIdle)
			}
		}
		if got := timeout.currentUs(c.atMs*clock.Ms) / clock.Ms; got != c.wantMs {
			t.Errorf("%s: %d ms, want %d", c.name, got, c.wantMs)
		}
	}
}

// Whose end it was: the connection's own where it had lain idle, the replica's where it was new or fresh from use.
func TestWhatEndsOnAReusedConnection(t *testing.T) {
	for _, c := range []struct {
		name     string
		conn     Conn
		wantIdle bool
	}{
		{"it was new", Conn{replica: "a"}, false},
		{"it had lain idle", Conn{replica: "a", Reused: true, idleUs: 300 * clock.Ms}, true},
		{"it was used a moment ago", Conn{replica: "a", Reused: true, idleUs: 5 * clock.Ms}, false},
	} {
		p := New(Options{MaxConnsPerReplica: func(string) int { return 4 }, ServiceOf: func(string) string { return "s" }})
		if got := p.ReportEarlyClose(&c.conn); got != c.wantIdle {
			t.Errorf("%s: its own end %t", c.name, got)
		}
	}
	p := New(Options{MaxConnsPerReplica: func(string) int { return 4 }, ServiceOf: func(string) string { return "s" }})
	for _, replica := range []string{"a", "b"} {
		p.ReportEarlyClose(&Conn{replica: replica, Reused: true, idleUs: 300 * clock.Ms})
	}
	if maxIdleUs := p.maxIdleUs(clock.NowUs(), "c"); maxIdleUs > 200*clock.Ms {
		t.Errorf("connections of the same service are used again after %d ms", maxIdleUs/clock.Ms)
	}
}
