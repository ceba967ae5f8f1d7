package upstream

import (
	"testing"

	"petreltide/internal/process/clock"
)

func TestHowLongIdleConnectionsAreUsedAgain(t *testing.T) {
	type found struct {
		atMs    int64
		replica string
		ageMs   int64
		short   bool
	}
	for _, c := range []struct {
		what   string
		deaths []found
		atMs   int64
		mostMs int64
	}{
		{"none was found dead", nil, 1000, unlimitedIdleUs / clock.Ms},
		{"one replica's alone may be ill", []found{{100, "a", 900, false}, {200, "a", 800, false}}, 300, unlimitedIdleUs / clock.Ms},
		{"two replicas' show how long they are kept", []found{{100, "a", 900, false}, {200, "b", 800, false}}, 300, 400},
		{"those of long ago show nothing", []found{{100, "a", 900, false}, {20_000, "b", 800, false}}, 20_100, unlimitedIdleUs / clock.Ms},
		{"it falls further", []found{{100, "a", 900, false}, {200, "b", 800, false}, {300, "c", 300, false}}, 400, 150},
		{"one that had hardly lain idle is the replica's doing", []found{{100, "a", 900, false}, {200, "b", 800, false}, {300, "c", 90, true}}, 400, 400},
		{"nor is one that was used a moment ago", []found{{100, "a", 20, true}, {200, "b", 10, true}}, 300, unlimitedIdleUs / clock.Ms},
		{"it rises while none is", []found{{100, "a", 900, false}, {200, "b", 800, false}}, 4300, 625},
		{"it is never less than a moment", []found{{100, "a", 60, false}, {200, "b", 60, false}}, 300, minIdleUs / clock.Ms},
	} {
		l := &idleTimeout{closes: map[string]earlyClose{}}
		for _, d := range c.deaths {
			if short := l.recordClose(d.atMs*clock.Ms, d.replica, d.ageMs*clock.Ms); short != d.short {
				t.Errorf("%s: one idle for %d ms: the replica's doing %t", c.what, d.ageMs, short)
			}
		}
		if got := l.current(c.atMs*clock.Ms) / clock.Ms; got != c.mostMs {
			t.Errorf("%s: %d ms, want %d", c.what, got, c.mostMs)
		}
	}
}

// Whose end it was: the connection's own where it had lain idle, the replica's where it was new or fresh from use.
func TestWhatEndsOnAReusedConnection(t *testing.T) {
	for _, c := range []struct {
		what  string
		conn  Conn
		idles bool
	}{
		{"it was new", Conn{replica: "a"}, false},
		{"it had lain idle", Conn{replica: "a", Reused: true, idleUs: 300 * clock.Ms}, true},
		{"it was used a moment ago", Conn{replica: "a", Reused: true, idleUs: 5 * clock.Ms}, false},
	} {
		p := New(Options{MaxConnsPerReplica: func(string) int { return 4 }, ServiceOf: func(string) string { return "s" }})
		if got := p.ReportEarlyClose(&c.conn); got != c.idles {
			t.Errorf("%s: its own end %t", c.what, got)
		}
	}
	p := New(Options{MaxConnsPerReplica: func(string) int { return 4 }, ServiceOf: func(string) string { return "s" }})
	for _, replica := range []string{"a", "b"} {
		p.ReportEarlyClose(&Conn{replica: replica, Reused: true, idleUs: 300 * clock.Ms})
	}
	if most := p.maxIdleUs(clock.NowUs(), "c"); most > 200*clock.Ms {
		t.Errorf("connections of the same service are used again after %d ms", most/clock.Ms)
	}
}
