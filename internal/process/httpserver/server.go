package httpserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// connectionPoll is the interval at which a server that shuts down looks whether all its connections have ended.
const connectionPoll = 5 * time.Millisecond

// Server serves HTTP on one address within limits.
//
// It never closes a connection beneath a request that has been read whole. While it drains, connections stay open, their requests are
// served, and the responses say that the connection closes. Once it shuts down, a connection on which no request is being served reads as
// ended: net/http then closes it itself. So a request has either been given to net/http in full, and is answered, or it is never handled.
type Server struct {
	limits   Limits
	http     *http.Server
	draining atomic.Bool
	// tick counts sweeps, from 1.
	tick atomic.Int64
	// refusals count the requests refused, and evictions the connections closed to make room, by reason and by state.
	refusals  [refusalCount]atomic.Uint64
	evictions [stateCount]atomic.Uint64
	timeouts  [stateCount]atomic.Uint64

	mu       sync.Mutex
	listener net.Listener
	// connections are the open connections; closing means that those without a request read as ended.
	connections map[*connection]bool
	closing     bool
	// heldHeadBytes and heldBodyBytes are what the requests hold now.
	heldHeadBytes, heldBodyBytes int64
}

// New returns a server that passes requests to handler, within limits.
func New(handler http.Handler, limits Limits) *Server {
	s := &Server{limits: limits, connections: map[*connection]bool{}}
	s.tick.Store(1)
	s.http = &http.Server{
		Handler:        http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(handler, w, r) }),
		MaxHeaderBytes: maxHeadBytes,
		// Every request has to pass serve, which follows its connection.
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, tracked := conn.(*connection); tracked && state == http.StateIdle {
				c.endRequest()
			}
		},
	}
	return s
}

// maxHeadBytes bounds what net/http reads of one head, whatever the limits are.
const maxHeadBytes = 1 << 20

// connectionKey is the key of the connection in a request's context.
type connectionKey struct{}

// serve handles one request whose head has been read.
func (s *Server) serve(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() || isChunked(r) {
		// Behind a body in chunks the beginning of the next request would not be found again.
		w.Header().Set("Connection", "close")
	}
	if c, tracked := r.Context().Value(connectionKey{}).(*connection); tracked {
		c.beginRequest(r)
		if r.Body != http.NoBody {
			body := &requestBody{ReadCloser: r.Body, server: s, connection: c}
			defer body.release()
			r.Body = body
		}
	}
	handler.ServeHTTP(w, r)
}

// Listen listens on a TCP address for Serve. Sockets that are accepted there hold a bounded number of bytes for the server to read.
func (s *Server) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// A system that does not know the option keeps its own bound.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, s.limits.unreadBytes())
		})
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// Serve accepts connections until the server is shut down.
func (s *Server) Serve(listener net.Listener) error {
	s.mu.Lock()
	s.listener = listener
	closing := s.closing
	s.mu.Unlock()
	if closing {
		return listener.Close()
	}
	done := make(chan struct{})
	defer close(done)
	go s.sweepUntil(done)
	err := s.http.Serve(&trackingListener{Listener: listener, server: s})
	if errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// BeginDrain makes responses say that their connection closes.
func (s *Server) BeginDrain() { s.draining.Store(true) }

// Shutdown accepts no more connections, ends those on which no request is served, and waits until the others have ended or ctx is
// done. It then closes what is left.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.endIdle()
	poll := time.NewTicker(connectionPoll)
	defer poll.Stop()
	for s.openConnections() > 0 {
		select {
		case <-ctx.Done():
			_ = s.Close()
			return ctx.Err()
		case <-poll.C:
		}
	}
	return s.Close()
}

// Close closes the server with all its connections at once.
func (s *Server) Close() error {
	if err := s.http.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

// endIdle closes the listening socket and lets connections without a request read as ended.
func (s *Server) endIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for c := range s.connections {
		c.end()
	}
}

func (s *Server) openConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

// trackingListener accepts connections for a server.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection for which there is room. It is tracked until it is closed.
func (l *trackingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: conn, server: l.server, state: stateNew, sinceTime: time.Now()}
		if l.server.admit(c) {
			return c, nil
		}
		_ = conn.Close()
	}
}
