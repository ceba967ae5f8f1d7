package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// replica stands in for a replica of a service without models. It is sound but while it is spoiling.
type replica struct {
	id, addr, service, zone string
	slots                   int
	cores                   []*node
	// spoiling makes it send bytes that form no answer to a share of the requests; spoilt counts these.
	spoiling atomic.Bool
	share    float64
	spoilt   atomic.Int64

	mu      sync.Mutex
	running int
	beatsNo int
}

func (r *replica) start() error {
	r.id = fmt.Sprintf("i-%08x", rand.Uint32())
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: r}).Serve(listener) }()
	go func() {
		for {
			for range 4 {
				if r.beat() {
					break
				}
			}
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// beat sends one heartbeat and reports whether it was acknowledged.
func (r *replica) beat() bool {
	r.mu.Lock()
	r.beatsNo++
	raw, _ := json.Marshal(fill(words["beatBody"], map[string]any{"$SERVICE": r.service, "$ADDR": r.addr, "$ZONE": r.zone, "$SLOTS": r.slots,
		"$STATE": "ready", "$MODELS": []string{}, "$SEQ": r.beatsNo}))
	r.mu.Unlock()
	url := "http://" + r.cores[rand.IntN(len(r.cores))].control() + word("instances") + r.id + word("beat")
	status, _ := call(http.MethodPost, url, map[string]string{"Content-Type": "application/json"}, raw, time.Second)
	return status == http.StatusOK
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	w.Header().Set(word("instance"), r.id)
	if want := q.Header.Get(word("expected")); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if q.URL.Path == "/health" {
		return
	}
	id := q.Header.Get(word("id"))
	w.Header().Set(word("id"), id)
	if _, err := io.ReadAll(q.Body); err != nil {
		return
	}
	r.mu.Lock()
	full := r.running >= r.slots
	if !full {
		r.running++
	}
	r.mu.Unlock()
	if full {
		w.Header().Set(word("refusedUnrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	time.Sleep(time.Duration(5+rand.IntN(60)) * time.Millisecond)
	if r.spoiling.Load() && rand.Float64() < r.share {
		r.spoilt.Add(1)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, strings.ReplaceAll(word("spoiltAnswer"), "$ID", id))
			_ = conn.Close()
		}
		return
	}
	w.Header().Set(word("seal"), "seal-of-"+r.id)
	_, _ = io.WriteString(w, "answer to "+id+" by "+r.id)
}

// clientConn is a client's connection to a gateway.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// ask sends one request and returns the status of the answer, 0 without one. It uses a kept connection if there is one.
func ask(conns map[string]*clientConn, front, path string, deadline time.Duration) int {
	id := fmt.Sprintf("%016x", rand.Uint64())
	body := "body of " + id
	c := conns[front]
	if c == nil {
		conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", front)
		if err != nil {
			return 0
		}
		c = &clientConn{conn, bufio.NewReader(conn)}
		conns[front] = c
	}
	drop := func() {
		_ = c.Close()
		delete(conns, front)
	}
	_ = c.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: one.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, word("id"), id, word("deadline"), deadline.Milliseconds(), len(body), body)
	if err != nil {
		drop()
		return 0
	}
	res, err := http.ReadResponse(c.r, nil)
	if err != nil {
		drop()
		return 0
	}
	raw, err := io.ReadAll(res.Body)
	if err != nil || res.Close {
		drop()
	}
	if res.StatusCode == http.StatusOK && !strings.HasPrefix(string(raw), "answer to "+id) {
		return 0
	}
	return res.StatusCode
}
