package modelserver

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// edge plays a replica that does something odd at one point of an attempt, on the bare socket. An attempt whose
// body reached it whole is a run, whatever comes after.
type edge struct {
	afterMs int64
	never   bool
	early   string
	half    bool
	close   string
}

// Edges are the points of an attempt at which a replica may go wrong.
var Edges = map[string]edge{
	"never asks":                              {never: true},
	"asks shortly before the desk gives up":   {afterMs: 940},
	"asks as the desk gives up":               {afterMs: 1000},
	"asks just after the desk gave up":        {afterMs: 1060},
	"asks long after the desk gave up":        {afterMs: 1500},
	"closes before it asks":                   {close: "unasked"},
	"closes amid the body":                    {half: true},
	"closes after the body":                   {close: "silent"},
	"closes amid its headers":                 {close: "amid"},
	"closes after its headers":                {close: "headers"},
	"answers 200 before the body":             {early: "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n"},
	"refuses before the body":                 {early: "HTTP/1.1 409 Conflict\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n{\"code\":\"busy\",\"started\":false}"},
	"fails before the body without saying so": {early: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
}

// How long an attempt's body is waited for: after an early answer, where it is never asked for, and after it was.
const (
	earlyBodyMs = 300
	neverBodyMs = 2500
	askedBodyMs = 1000
)

// playEdge takes an attempt's bare socket and does one odd thing there.
func (h *Host) playEdge(w http.ResponseWriter, r *http.Request, e edge) {
	size, err := strconv.Atoi(r.Header.Get("Content-Length"))
	if err != nil {
		size = int(r.ContentLength)
	}
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	switch {
	case e.close == "unasked":
		return
	case e.early != "":
		_, _ = io.WriteString(conn, e.early)
		h.body(conn, buffered.Reader, size, earlyBodyMs)
		return
	case e.never:
		h.body(conn, buffered.Reader, size, neverBodyMs)
		return
	}
	wait := time.NewTimer(time.Duration(e.afterMs) * time.Millisecond)
	<-wait.C
	_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	if e.half {
		h.body(conn, buffered.Reader, size/2, askedBodyMs)
		return
	}
	run := h.body(conn, buffered.Reader, size, askedBodyMs)
	if run == nil {
		return
	}
	defer func() {
		h.mu.Lock()
		h.core.EndAttempt(clock.NowUs(), run, false)
		h.mu.Unlock()
	}()
	e.answer(conn, run)
}

// answer sends as much of an answer to a run as the edge lets through; without one, all pieces and no end.
func (e edge) answer(conn net.Conn, run *Run) {
	switch e.close {
	case "silent":
	case "amid":
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Ty")
	case "headers":
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n")
	default:
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nConnection: close\r\n\r\n")
		for n := 1; n <= run.Total; n++ {
			raw, _ := json.Marshal(wire.Chunk{AttemptID: run.Attempt, Number: n, Text: run.Nonce})
			_, _ = conn.Write(append(raw, '\n'))
		}
	}
}

// body reads what the gateway sends within a time; all of it makes a run.
func (h *Host) body(conn net.Conn, r *bufio.Reader, size int, waitMs int64) *Run {
	_ = conn.SetReadDeadline(time.Now().Add(time.Duration(waitMs) * time.Millisecond))
	raw := make([]byte, size)
	if _, err := io.ReadFull(r, raw); err != nil {
		return nil
	}
	var l wire.Attempt
	if json.Unmarshal(raw, &l) != nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	run, _, _ := h.core.StartAttempt(clock.NowUs(), l)
	return run
}

func edgeOf(naughty string) (edge, bool) {
	name, is := strings.CutPrefix(naughty, "edge ")
	e, known := Edges[name]
	return e, is && known
}
