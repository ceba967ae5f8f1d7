package httpserver

import (
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// sentRequest is one request of a seeded connection, and what has become of it.
type sentRequest struct {
	id, raw, body string
	// whole means that all of it was sent.
	whole  bool
	status int
	answer string
}

// drawRequest draws a request, of which the end may be missing.
func drawRequest(r *rand.Rand, id string) *sentRequest {
	body := strings.Repeat(id, r.Intn(3)*r.Intn(600))
	head := fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: h\r\nX-Number: %s\r\n", r.Intn(2), id) + strings.Repeat("x:\r\n", r.Intn(40))
	q := &sentRequest{id: id, body: body, whole: r.Intn(5) > 0}
	if r.Intn(3) == 0 {
		q.raw = head + "Transfer-Encoding: chunked\r\n\r\n"
		for rest := body; rest != ""; {
			n := 1 + r.Intn(len(rest))
			q.raw += fmt.Sprintf("%x\r\n%s\r\n", n, rest[:n])
			rest = rest[n:]
		}
		q.raw += "0\r\n\r\n"
	} else {
		q.raw = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	if !q.whole {
		q.raw = q.raw[:r.Intn(len(q.raw))]
	}
	return q
}

// playConnection sends requests in pieces, some of them before the answer to the one before has come, and notes the answers.
func playConnection(t *testing.T, address string, seed int64, requests []*sentRequest) {
	r := rand.New(rand.NewSource(seed))
	c := dial(t, address)
	defer c.conn.Close()
	_ = c.conn.SetDeadline(time.Now().Add(300 * time.Millisecond))
	pipelined := r.Intn(2) == 0
	sent := make(chan struct{}, len(requests))
	go func() {
		for _, q := range requests {
			for rest := q.raw; rest != ""; {
				n := min(len(rest), 1+r.Intn(1500))
				c.write(rest[:n])
				rest = rest[n:]
			}
			if !pipelined || !q.whole {
				sent <- struct{}{}
			}
		}
	}()
	for _, q := range requests {
		if !pipelined {
			<-sent
		}
		if q.status, q.answer = c.read(); q.status == 0 {
			return
		}
	}
}

// Connections that are cut anywhere, under limits that let some of them go, against a plain model: a request is handled once at most, and
// with the whole of its body; one that was handled is answered; one that was refused, or sent in part, is never handled.
func TestSeededConnectionsKeepTheRules(t *testing.T) {
	t.Parallel()
	var answered, refused, closed atomic.Int64
	for seed := range int64(60) {
		r := rand.New(rand.NewSource(seed))
		var mu sync.Mutex
		handled := map[string]string{}
		times := map[string]int{}
		limits := Limits{MaxConnections: 1 + r.Intn(12), MaxHeldHeadBytes: int64(5_000 + r.Intn(40_000)), MaxHeldBodyBytes: int64(500 + r.Intn(20_000))}
		s, address := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			id := r.Header.Get("X-Number")
			mu.Lock()
			handled[id] = string(body)
			times[id]++
			mu.Unlock()
			w.Header().Set("Content-Length", strconv.Itoa(len(body)))
			_, _ = w.Write(body)
		})
		var clients sync.WaitGroup
		all := []*sentRequest{}
		for n := range 1 + r.Intn(16) {
			requests := []*sentRequest{}
			for m := range 1 + r.Intn(4) {
				q := drawRequest(r, fmt.Sprintf("r%d-%d", n, m))
				requests = append(requests, q)
				if !q.whole {
					break
				}
			}
			all = append(all, requests...)
			connectionSeed := r.Int63()
			clients.Go(func() { playConnection(t, address, connectionSeed, requests) })
		}
		clients.Wait()
		awaitNothingHeld(t, s)
		for _, q := range all {
			body, ran := handled[q.id]
			switch {
			case times[q.id] > 1:
				t.Errorf("seed %d, request %s: handled %d times, want once at most", seed, q.id, times[q.id])
			case ran && (body != q.body || !q.whole && q.raw != "" && len(body) < len(q.body)):
				t.Errorf("seed %d, request %s: handled with a body of %d bytes, want the %d that were sent", seed, q.id, len(body), len(q.body))
			case ran && (q.status != http.StatusOK || q.answer != q.body):
				t.Errorf("seed %d, request %s: handled, and answered with status %d and %d bytes, want %d and %d", seed, q.id, q.status, len(q.answer), http.StatusOK, len(q.body))
			case !ran && q.status == http.StatusOK:
				t.Errorf("seed %d, request %s: answered with status %d without being handled", seed, q.id, q.status)
			}
			switch {
			case ran:
				answered.Add(1)
			case q.status != 0:
				refused.Add(1)
			default:
				closed.Add(1)
			}
		}
	}
	if answered.Load() == 0 || refused.Load() == 0 || closed.Load() == 0 {
		t.Errorf("requests answered, refused, closed: got %d, %d, %d, want some of each", answered.Load(), refused.Load(), closed.Load())
	}
	t.Logf("%d answered, %d refused, %d closed", answered.Load(), refused.Load(), closed.Load())
}
