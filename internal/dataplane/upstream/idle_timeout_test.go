package upstream

import (
	"testing"

	"petreltide/internal/process/clock"
)

func TestIdleTimeoutFollowsEarlyCloses(t *testing.T) {
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
		{"no early close", nil, 1000, unlimitedIdleUs / clock.Ms},
		{"early closes by one replica only may mean that it is faulty", []observedClose{{100, "a", 900, false}, {200, "a", 800, false}}, 300, unlimitedIdleUs / clock.Ms},
		{"early closes by two replicas lower the timeout", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}}, 300, 400},
		{"early closes outside the window do not count", []observedClose{{100, "a", 900, false}, {20_000, "b", 800, false}}, 20_100, unlimitedIdleUs / clock.Ms},
		{"a further early close lowers the timeout again", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}, {300, "c", 300, false}}, 400, 150},
		{"early close after a short idle time is attributed to the replica", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}, {300, "c", 90, true}}, 400, 400},
		{"early closes right after use do not count", []observedClose{{100, "a", 20, true}, {200, "b", 10, true}}, 300, unlimitedIdleUs / clock.Ms},
		{"the timeout rises without early closes", []observedClose{{100, "a", 900, false}, {200, "b", 800, false}}, 4300, 625},
		{"the timeout is at least the minimum", []observedClose{{100, "a", 60, false}, {200, "b", 60, false}}, 300, minIdleUs / clock.Ms},
	} {
		timeout := &idleTimeout{closes: map[string]earlyClose{}}
		for _, d := range c.closes {
			if shortIdle := timeout.recordClose(d.atMs*clock.Ms, d.replica, d.idleMs*clock.Ms); shortIdle != d.shortIdle {
				t.Errorf("%s: early close after %d ms idle: got shortIdle %t, want %t", c.name, d.idleMs, shortIdle, d.shortIdle)
			}
		}
		if got := timeout.currentUs(c.atMs*clock.Ms) / clock.Ms; got != c.wantMs {
			t.Errorf("%s: idle timeout: got %d ms, want %d ms", c.name, got, c.wantMs)
		}
	}
}

// An early close is attributed to the connection if it had been idle, and to the replica if it was new or had just been used.
func TestReportEarlyCloseAttributesCloseByIdleTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		conn     Conn
		wantIdle bool
	}{
		{"new connection", Conn{replica: "a"}, false},
		{"reused after being idle", Conn{replica: "a", Reused: true, idleUs: 300 * clock.Ms}, true},
		{"reused right after use", Conn{replica: "a", Reused: true, idleUs: 5 * clock.Ms}, false},
	} {
		p := New(Options{MaxConnsPerReplica: func(string) int { return 4 }, ServiceOf: func(string) string { return "s" }})
		if got := p.ReportEarlyClose(&c.conn); got != c.wantIdle {
			t.Errorf("%s: ReportEarlyClose: got %t, want %t", c.name, got, c.wantIdle)
		}
	}
	p := New(Options{MaxConnsPerReplica: func(string) int { return 4 }, ServiceOf: func(string) string { return "s" }})
	for _, replica := range []string{"a", "b"} {
		p.ReportEarlyClose(&Conn{replica: replica, Reused: true, idleUs: 300 * clock.Ms})
	}
	if maxIdleUs := p.maxIdleUs(clock.NowUs(), "c"); maxIdleUs > 200*clock.Ms {
		t.Errorf("idle timeout of another replica of the service: got %d ms, want at most 200 ms", maxIdleUs/clock.Ms)
	}
}
