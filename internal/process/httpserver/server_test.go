package httpserver

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const testTimeout = 20 * time.Second

// startServer starts a server at an address of the loopback.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) (*Server, string) {
	t.Helper()
	s := New(handler, limits)
	l, err := s.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return s, l.Addr().String()
}

// client is a client's connection.
type client struct {
	t    *testing.T
	conn net.Conn
	in   *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{t, conn, bufio.NewReader(conn)}
}

// write sends raw. The server may have closed the connection.
func (c *client) write(raw string) { _, _ = io.WriteString(c.conn, raw) }

// read returns the status and the body of the next response, 0 if the connection ends without one.
func (c *client) read() (int, string) {
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, ""
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(body)
}

// awaitState waits until so many connections are in a state.
func awaitState(t *testing.T, s *Server, in state, count int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		held := s.Status()
		if held.Connections[in.String()] == count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("connections by state: got %v, want %d %s", held.Connections, count, in)
		}
		<-time.After(time.Millisecond)
	}
}

func echo(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }

const (
	getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	halfHead   = "GET / HTTP/1.1\r\nHost: h\r\n"
	halfBody   = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"
	halfChunk  = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbo"
)

// Where a new connection needs room, the one goes that has given least; none goes whose request was read whole.
func TestConnectionThatHasGivenLeastIsClosedFirst(t *testing.T) {
	for name, c := range map[string]struct {
		sent   []string
		closed int
	}{
		"nothing sent before a part of a head": {[]string{halfHead, ""}, 1},
		"part of a head before part of a body": {[]string{halfBody, halfHead}, 1},
		"part of a body before an idle one":    {[]string{getRequest, halfBody}, 1},
		"part of chunks before an idle one":    {[]string{getRequest, halfChunk}, 1},
		"idle one before one that is served":   {[]string{"GET /wait HTTP/1.1\r\nHost: h\r\n\r\n", getRequest}, 1},
		"head under way for longest":           {[]string{halfHead, halfHead}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			finish := make(chan struct{})
			s, address := startServer(t, Limits{MaxConnections: len(c.sent)}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/wait" {
					<-finish
				}
				echo(w, r)
			})
			clients := []*client{}
			for _, raw := range c.sent {
				one := dial(t, address)
				one.write(raw)
				switch {
				case raw == getRequest:
					if status, _ := one.read(); status != http.StatusOK {
						t.Fatalf("first request: got status %d, want %d", status, http.StatusOK)
					}
				case strings.Contains(raw, "/wait"):
					awaitState(t, s, stateServing, 1)
				}
				clients = append(clients, one)
				awaitSent(t, s, clients, c.sent)
			}
			newcomer := dial(t, address)
			newcomer.write(getRequest)
			if status, _ := newcomer.read(); status != http.StatusOK {
				t.Errorf("newcomer: got status %d, want %d", status, http.StatusOK)
			}
			if _, err := clients[c.closed].in.ReadByte(); err == nil {
				t.Error("connection that has given least: got a byte, want its end")
			}
			close(finish)
			for i, raw := range c.sent {
				if i == c.closed || raw == halfHead {
					continue
				}
				if strings.HasSuffix(raw, "bo") {
					clients[i].write("dy")
				} else if raw == getRequest {
					clients[i].write(getRequest)
				}
				if status, _ := clients[i].read(); status != http.StatusOK {
					t.Errorf("other connection: got status %d, want %d", status, http.StatusOK)
				}
			}
		})
	}
}

// awaitSent waits until the server has read what the clients have sent.
func awaitSent(t *testing.T, s *Server, clients []*client, sent []string) {
	t.Helper()
	want := map[state]int{}
	for i := range clients {
		switch sent[i] {
		case "":
			want[stateNew]++
		case halfHead:
			want[stateHead]++
		case halfBody, halfChunk:
			want[stateBody]++
		}
	}
	for in, count := range want {
		awaitState(t, s, in, count)
	}
}

func awaitConnections(t *testing.T, s *Server, count int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); s.openConnections() != count; {
		if time.Now().After(end) {
			t.Fatalf("open connections: got %d, want %d", s.openConnections(), count)
		}
		<-time.After(time.Millisecond)
	}
}

// Where all connections are being served, a new one is closed and the others are answered.
func TestNewConnectionIsClosedWhileAllAreServed(t *testing.T) {
	finish := make(chan struct{})
	s, address := startServer(t, Limits{MaxConnections: 2}, func(http.ResponseWriter, *http.Request) { <-finish })
	served := []*client{dial(t, address), dial(t, address)}
	for _, c := range served {
		c.write(getRequest)
	}
	awaitState(t, s, stateServing, 2)
	newcomer := dial(t, address)
	if _, err := newcomer.in.ReadByte(); err == nil {
		t.Error("newcomer: got a byte, want the end of the connection")
	}
	close(finish)
	for _, c := range served {
		if status, _ := c.read(); status != http.StatusOK {
			t.Errorf("request that was read whole: got status %d, want %d", status, http.StatusOK)
		}
	}
}

// A head beyond the limit is refused before it has ended, and the limit may change while connections are open.
func TestHeadBeyondLimitIsRefusedBeforeItsEnd(t *testing.T) {
	limit := make(chan int, 1)
	limit <- 10_000
	maxBytes := func() int {
		n := <-limit
		limit <- n
		return n
	}
	s, address := startServer(t, Limits{MaxHeadBytes: maxBytes}, echo)
	head := func(bytes int) string {
		const rest = len("\r\n\r\n")
		return halfHead + "X: " + strings.Repeat("v", bytes-len(halfHead)-len("X: ")-rest)
	}
	kept := dial(t, address)
	kept.write(head(10_000) + "\r\n\r\n")
	if status, _ := kept.read(); status != http.StatusOK {
		t.Errorf("head of exactly the limit: got status %d, want %d", status, http.StatusOK)
	}
	over := dial(t, address)
	over.write(head(10_000+readAheadBytes) + "and more")
	if status, _ := over.read(); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head beyond the limit without an end: got status %d, want %d", status, http.StatusRequestHeaderFieldsTooLarge)
	}
	<-limit
	limit <- 100_000
	kept.write(head(100_000) + "\r\n\r\n")
	if status, _ := kept.read(); status != http.StatusOK {
		t.Errorf("head of exactly the new limit on a kept connection: got status %d, want %d", status, http.StatusOK)
	}
	if refused := s.Status().Refusals[refusalHeadTooLarge.String()]; refused != 1 {
		t.Errorf("refused heads: got %d, want 1", refused)
	}
}

// The memory of heads is bounded over all connections: heads under way give way to a new one, heads that are served do not. A head that
// is alone is served whatever it takes.
func TestMemoryOfHeadsIsBoundedOverAllConnections(t *testing.T) {
	finish := make(chan struct{})
	s, address := startServer(t, Limits{MaxHeldHeadBytes: 100_000}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-finish
		}
	})
	fields := strings.Repeat("x:\r\n", 300)
	waits := dial(t, address)
	waits.write("GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 600) + "\r\n")
	awaitState(t, s, stateServing, 1)
	if held := s.Status().HeldHeadBytes; held <= 100_000 {
		t.Fatalf("memory of the head alone: got %d, want more than the limit of 100000", held)
	}
	refused := dial(t, address)
	refused.write(halfHead + fields)
	if status, _ := refused.read(); status != http.StatusServiceUnavailable {
		t.Errorf("head while all memory is held by served requests: got status %d, want %d", status, http.StatusServiceUnavailable)
	}
	close(finish)
	if status, _ := waits.read(); status != http.StatusOK {
		t.Errorf("request that was read whole: got status %d, want %d", status, http.StatusOK)
	}
	first, second := dial(t, address), dial(t, address)
	first.write(halfHead + fields)
	awaitState(t, s, stateHead, 1)
	second.write(halfHead + fields + "\r\n")
	if status, _ := second.read(); status != http.StatusOK {
		t.Errorf("second head: got status %d, want %d", status, http.StatusOK)
	}
	if _, err := first.in.ReadByte(); err == nil {
		t.Error("head under way for longest: got a byte, want its end")
	}
	_ = waits.conn.Close()
	_ = second.conn.Close()
	awaitNothingHeld(t, s)
}

// However many large heads are served at the same time, an ordinary one finds room.
func TestLargeHeadsLeaveRoomForOrdinaryOnes(t *testing.T) {
	finish := make(chan struct{})
	s, address := startServer(t, Limits{MaxHeldHeadBytes: 1_000_000}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-finish
		}
	})
	defer close(finish)
	large := "GET /wait HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 250) + "\r\n"
	waiting := 0
	for range 30 {
		c := dial(t, address)
		before := s.Status().Refusals[refusalHeadsFull.String()]
		c.write(large)
		for end := time.Now().Add(testTimeout); ; <-time.After(time.Millisecond) {
			held := s.Status()
			if held.Connections[stateServing.String()] > waiting {
				waiting++
				break
			}
			if held.Refusals[refusalHeadsFull.String()] > before {
				break
			}
			if time.Now().After(end) {
				t.Fatal("a large head is neither served nor refused")
			}
		}
	}
	if waiting == 0 || waiting == 30 {
		t.Errorf("large heads served: got %d of 30, want some", waiting)
	}
	ordinary := dial(t, address)
	ordinary.write("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 10) + "\r\n")
	if status, _ := ordinary.read(); status != http.StatusOK {
		t.Errorf("ordinary head beside %d large ones: got status %d, want %d", waiting, status, http.StatusOK)
	}
}

// No request goes around the count: one that net/http would answer itself is followed as any other, with what comes behind it.
func TestRequestForAllOptionsIsFollowed(t *testing.T) {
	s, address := startServer(t, Limits{MaxHeadBytes: Constant(1000)}, echo)
	c := dial(t, address)
	c.write("OPTIONS * HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nx\r\n\r\n")
	if status, body := c.read(); status != http.StatusOK || body != "x\r\n\r\n" {
		t.Errorf("OPTIONS *: got status %d, body %q, want %d and the body", status, body, http.StatusOK)
	}
	awaitState(t, s, stateIdle, 1)
	c.write(halfHead + "X: " + strings.Repeat("v", 1000+readAheadBytes))
	if status, _ := c.read(); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("head beyond the limit behind it: got status %d, want %d", status, http.StatusRequestHeaderFieldsTooLarge)
	}
}

// awaitNothingHeld waits until no connection is open, and checks that nothing is counted any more.
func awaitNothingHeld(t *testing.T, s *Server) {
	t.Helper()
	awaitConnections(t, s, 0)
	if held := s.Status(); held.HeldHeadBytes != 0 || held.HeldBodyBytes != 0 {
		t.Errorf("held without a connection: got %d bytes of heads and %d of bodies, want none", held.HeldHeadBytes, held.HeldBodyBytes)
	}
}

// Bodies are bounded over all requests. One that is alone is read whatever its size.
func TestMemoryOfBodiesIsBoundedOverAllRequests(t *testing.T) {
	errs := make(chan error, 2)
	s, address := startServer(t, Limits{MaxHeldBodyBytes: 1000}, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		errs <- err
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	large := dial(t, address)
	large.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("b", 3000))
	if status, _ := large.read(); status != http.StatusOK || <-errs != nil {
		t.Errorf("large body alone: got status %d, want %d", status, http.StatusOK)
	}
	held := dial(t, address)
	held.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3000\r\n\r\n" + strings.Repeat("b", 900))
	for end := time.Now().Add(testTimeout); s.Status().HeldBodyBytes != 900; <-time.After(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the held body is not counted")
		}
	}
	refused := dial(t, address)
	refused.write("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\n" + strings.Repeat("b", 200))
	if status, _ := refused.read(); status != http.StatusServiceUnavailable || <-errs == nil {
		t.Errorf("body beyond the bound: got status %d, want %d", status, http.StatusServiceUnavailable)
	}
}

// A head, a body and the reading of an answer each end.
func TestSlowClientsAreGivenUp(t *testing.T) {
	const limit = 50 * time.Millisecond
	for name, c := range map[string]struct {
		limits Limits
		raw    string
		in     state
	}{
		"nothing":          {Limits{HeadTimeout: Constant(limit)}, "", stateNew},
		"head":             {Limits{HeadTimeout: Constant(limit)}, halfHead, stateHead},
		"body":             {Limits{BodyStallTimeout: limit}, halfBody, stateBody},
		"chunk":            {Limits{BodyStallTimeout: limit}, halfChunk, stateBody},
		"body in time":     {Limits{BodyTimeout: limit}, halfBody, stateBody},
		"answer not read":  {Limits{WriteTimeout: limit}, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n", stateServing},
		"next head":        {Limits{HeadTimeout: Constant(limit)}, getRequest + halfHead, stateHead},
		"chunks, no limit": {Limits{BodyStallTimeout: limit}, halfChunk + "dy\r\n", stateBody},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, address := startServer(t, c.limits, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/large" {
					_, _ = w.Write(make([]byte, 64<<20))
				}
				echo(w, r)
			})
			one := dial(t, address)
			one.write(c.raw)
			awaitConnections(t, s, 1)
			awaitConnections(t, s, 0)
			if counts := s.Status().Timeouts; counts[c.in.String()] != 1 || len(counts) != 1 {
				t.Errorf("connections given up by state: got %v, want one in %s", counts, c.in)
			}
		})
	}
}

// Idle connections are kept, whatever the time limits are.
func TestIdleConnectionIsNotGivenUp(t *testing.T) {
	t.Parallel()
	_, address := startServer(t, Limits{HeadTimeout: Constant(time.Millisecond), BodyStallTimeout: time.Millisecond}, echo)
	c := dial(t, address)
	for range 2 {
		c.write(getRequest)
		if status, _ := c.read(); status != http.StatusOK {
			t.Fatalf("request: got status %d, want %d", status, http.StatusOK)
		}
		<-time.After(2*sweepInterval + sweepInterval/2)
	}
}

// A shutdown ends refused connections as well.
func TestShutdownEndsAllConnections(t *testing.T) {
	s, address := startServer(t, Limits{MaxHeadBytes: Constant(100)}, echo)
	for _, raw := range []string{"", halfHead, getRequest, halfHead + "X: " + strings.Repeat("v", 100+readAheadBytes)} {
		dial(t, address).write(raw)
	}
	awaitConnections(t, s, 4)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil {
		t.Errorf("shutdown: %v", err)
	}
	awaitNothingHeld(t, s)
}

// Limits follow the machine, and the least of descriptors and memory counts.
func TestLimitsFollowTheMachine(t *testing.T) {
	share := Share{Descriptors: 0.5, Connections: 0.1, Heads: 0.05, Bodies: 0.1}
	for _, c := range []struct {
		machine Machine
		want    string
	}{
		{Machine{MemoryBytes: 160 << 20, Descriptors: 1200}, "500 8388608 16777216"},
		{Machine{MemoryBytes: 160 << 20, Descriptors: 4100}, "512 8388608 16777216"},
		{Machine{MemoryBytes: 284 << 20, Descriptors: 100}, "16 14889779 29779558"},
		{Machine{}, "1948 53687091 107374182"},
	} {
		l := share.Limits(c.machine)
		if got := fmt.Sprint(l.MaxConnections, l.MaxHeldHeadBytes, l.MaxHeldBodyBytes); got != c.want {
			t.Errorf("limits on %+v: got %s, want %s", c.machine, got, c.want)
		}
	}
}

// A body in chunks may be whole as soon as nothing more of it is asked for: net/http reads a single byte while the request is served.
func TestChunkedBodyGivesWayOnlyWhileMoreOfItIsAwaited(t *testing.T) {
	c := &connection{server: New(http.NotFoundHandler(), Limits{}), state: stateBody, missingBodyBytes: unknownLength}
	for _, step := range []struct {
		readBytes int
		want      bool
	}{{0, false}, {readAheadBytes, true}, {1, false}} {
		if step.readBytes > 0 {
			c.beginRead(step.readBytes)
		}
		if got := c.mayEvict(stateBody); got != step.want {
			t.Errorf("may be closed while %d bytes are asked for: got %v, want %v", step.readBytes, got, step.want)
		}
	}
	if c.endBody(); c.mayEvict(stateServing) {
		t.Error("may be closed after the body has been read whole: got true, want false")
	}
}

// A head that is whole does not give way while its connection waits for its memory to be counted: others may begin theirs meanwhile.
func TestWholeHeadDoesNotGiveWay(t *testing.T) {
	for raw, want := range map[string]bool{halfHead: true, getRequest: false, halfBody: false} {
		c := &connection{server: New(http.NotFoundHandler(), Limits{})}
		c.takeHead([]byte(raw))
		if got := c.mayEvict(stateHead) || c.mayEvict(stateNew); got != want {
			t.Errorf("may be closed after %q: got %v, want %v", raw, got, want)
		}
	}
}
