package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"

	"petreltide/internal/api/fault"
)

type (
	// pieceEvent is a piece of the answer, endEvent its end after so many pieces, brokenEvent an end that is none.
	pieceEvent struct {
		Text string `json:"text"`
	}
	endEvent struct {
		Pieces int `json:"pieces"`
	}
	brokenEvent struct {
		Error  *fault.Fault `json:"error"`
		Pieces int          `json:"pieces"`
	}
)

type stream struct {
	w      http.ResponseWriter
	flush  func() error
	opened bool
	failed bool
	pieces []string
}

func (s *stream) open() {
	if s.opened {
		return
	}
	s.opened = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
	s.w.WriteHeader(http.StatusOK)
}

func (s *stream) event(id int, name string, v any) {
	s.open()
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
	if !s.opened {
		refuse(s.w, statusOf(f), f)
		return
	}
	s.event(0, "broken", brokenEvent{Error: f, Pieces: len(s.pieces)})
}
