package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"petreltide/internal/api/fault"
)

type (
	// chunkEvent is the data of a "piece" event, one chunk of the answer.
	chunkEvent struct {
		Text string `json:"text"`
	}
	// endEvent is the data of the "end" event, with the number of chunks of the complete answer.
	endEvent struct {
		Chunks int `json:"pieces"`
	}
	// brokenEvent is the data of the "broken" event, which ends an incomplete answer.
	brokenEvent struct {
		Error  *fault.Fault `json:"error"`
		Chunks int          `json:"pieces"`
	}
)

// stream writes one answer as server-sent events. Only the goroutine of its call uses it.
type stream struct {
	w           http.ResponseWriter
	flush       func() error
	headersSent bool
	// failed is true once a write to the caller has failed.
	failed bool
	// chunks are all chunks of the answer so far, including those received before a resumption.
	chunks []string
}

func (s *stream) sendHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *stream) event(id int, name string, v any) {
	s.sendHeaders()
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	var b bytes.Buffer
	if id > 0 {
		b.WriteString("id: " + strconv.Itoa(id) + "\n")
	}
	b.WriteString("event: " + name + "\ndata: ")
	b.Write(raw)
	b.WriteString("\n\n")
	if _, err := s.w.Write(b.Bytes()); err != nil {
		s.failed = true
		return
	}
	if err := s.flush(); err != nil {
		s.failed = true
	}
}

func (s *stream) fail(f *fault.Fault) {
	if !s.headersSent {
		writeFault(s.w, httpStatus(f), f)
		return
	}
	s.event(0, "broken", brokenEvent{Error: f, Chunks: len(s.chunks)})
}
