package kit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Replica is a stand-in for a replica: it sends heartbeats and answers requests on raw connections.
type Replica struct {
	ID, Addr string
	// Answer returns the bytes of the answer to a request; nil stands for Sound. The second result closes the connection.
	Answer func(r *http.Request, body []byte) (raw []byte, hangUp bool)
	// Beat holds the fields of the heartbeat that differ from those of wire.json.
	Beat map[string]any

	c        *Case
	listener net.Listener
	stop     chan struct{}
	mu       sync.Mutex
	seq      int
	arrived  int
	state    string
}

// Serve starts a replica that reports to all control nodes in turn.
func (c *Case) Serve(id string, beat map[string]any) *Replica {
	addr := net.JoinHostPort(c.IP(), "8080")
	l, err := net.Listen("tcp", addr)
	if err != nil {
		c.End(2, "%v", err)
	}
	r := &Replica{ID: id, Addr: addr, Beat: beat, c: c, listener: l, stop: make(chan struct{}), state: "ready"}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	go func() {
		for {
			r.beat()
			select {
			case <-r.stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
		}
	}()
	return r
}

// Arrived returns how many requests of clients have reached the replica.
func (r *Replica) Arrived() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.arrived
}

// SetAnswer changes how requests are answered from now on.
func (r *Replica) SetAnswer(answer func(r *http.Request, body []byte) ([]byte, bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Answer = answer
}

// beat sends one heartbeat, to the next control node if one does not acknowledge it.
func (r *Replica) beat() {
	r.mu.Lock()
	r.seq++
	raw, _ := json.Marshal(Copy(Copy(W.Beat, r.Beat), map[string]any{"address": r.Addr, W.Sequence: r.seq, W.State: r.state}))
	seq := r.seq
	r.mu.Unlock()
	for n := range r.c.core {
		p := r.c.core[(seq+n)%len(r.c.core)]
		res, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Post(
			"http://"+p.ControlAddr()+fmt.Sprintf(W.Paths["beat"], r.ID), "application/json", bytes.NewReader(raw))
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode/100 == 2 {
			return
		}
	}
}

func (r *Replica) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		r.mu.Lock()
		answer := r.Answer
		isProbe := req.Method == http.MethodGet
		if !isProbe {
			r.arrived++
		}
		r.mu.Unlock()
		if answer == nil || isProbe {
			answer = r.Sound
		}
		raw, hangUp := answer(req, body)
		r.c.Note("%s: %s %s id %s, answered %.60q", r.ID, req.Method, req.URL, req.Header.Get(H("id")), raw)
		if _, err := conn.Write(raw); err != nil || hangUp {
			return
		}
	}
}

// Sound is the answer of a sound replica: 200 with the seal and the whole body.
func (r *Replica) Sound(req *http.Request, body []byte) ([]byte, bool) {
	return Success(req, "ran "+req.Header.Get(H("id"))), false
}

// Success returns a complete success answer to a request.
func Success(req *http.Request, text string) []byte {
	return []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal-%s\r\nContent-Length: %d\r\n\r\n%s",
		H("id"), req.Header.Get(H("id")), H("seal"), req.Header.Get(H("id")), len(text), text))
}

// Reply is what a client got: status 0 means that the connection ended without an answer.
type Reply struct {
	ID     string
	Status int
	Body   string
	Err    error
	Took   time.Duration
}

// Ask sends one try of a client on a new connection.
func (c *Case) Ask(p *Proc, id, host, path string, deadlineMs int, header map[string]string) Reply {
	req, _ := http.NewRequest(http.MethodPost, "http://"+p.Front()+path, bytes.NewReader([]byte("ask "+id)))
	req.Host = host
	req.Header.Set(H("id"), id)
	req.Header.Set(H("deadline"), fmt.Sprint(deadlineMs))
	for k, v := range header {
		req.Header.Set(H(k), v)
	}
	at := time.Now()
	out := Reply{ID: id}
	client := &http.Client{Timeout: time.Duration(deadlineMs+500) * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	res, err := client.Do(req)
	if err == nil {
		var raw []byte
		raw, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		out.Status, out.Body = res.StatusCode, string(raw)
	}
	out.Err, out.Took = err, time.Since(at)
	c.Note("client: %s to %s: status %d %.40q %v after %v", id, p.Name, out.Status, out.Body, err, out.Took.Round(time.Millisecond))
	return out
}
