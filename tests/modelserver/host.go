package modelserver

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// Host gives a Core its sockets. Naughty makes it break its own interface on purpose.
type Host struct {
	mu      sync.Mutex
	core    *Core
	stops   map[string]chan struct{}
	store   string
	Naughty string
}

// NewHost serves a core; store is the address of the weight store, empty for none.
func NewHost(core *Core, store string) *Host {
	return &Host{core: core, stops: map[string]chan struct{}{}, store: store}
}

// Serve answers on a listener until ctx ends.
func (h *Host) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: h.handler()}
	go func() {
		ticker := time.NewTicker(10 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				_ = server.Close()
				return
			case <-ticker.C:
				h.mu.Lock()
				h.core.Tick(clock.NowUs())
				h.mu.Unlock()
			}
		}
	}()
	return server.Serve(l)
}

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		st := h.core.State()
		h.mu.Unlock()
		answer(w, 200, st)
	})
	mux.HandleFunc("POST /v1/orders", h.order)
	mux.HandleFunc("POST /v1/legs", h.attempt)
	mux.HandleFunc("DELETE /v1/legs/{number}", h.stop)
	mux.HandleFunc("GET /proof/runs", func(w http.ResponseWriter, _ *http.Request) {
		h.mu.Lock()
		raw, _ := json.Marshal(map[string]any{"runs": h.core.Runs, "orders": h.core.Orders})
		h.mu.Unlock()
		_, _ = w.Write(raw)
	})
	mux.HandleFunc("POST /proof/naughty/{what}", func(_ http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.Naughty = strings.TrimPrefix(r.PathValue("what"), "none")
		h.mu.Unlock()
	})
	return mux
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (h *Host) order(w http.ResponseWriter, r *http.Request) {
	var o wire.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(w, 400, map[string]string{"error": err.Error()})
		return
	}
	h.mu.Lock()
	if h.Naughty == "order" {
		h.mu.Unlock()
		answer(w, 500, map[string]string{"error": "not now"})
		return
	}
	st, fetch := h.core.Take(clock.NowUs(), o)
	h.mu.Unlock()
	if fetch && h.store != "" {
		go h.fetch(o)
	}
	answer(w, 200, st)
}

// fetch holds one request to the weight store for as long as the weights take.
func (h *Host) fetch(o wire.Order) {
	id, _ := h.core.ID()
	raw, _ := json.Marshal(map[string]any{"replica": id, "unit": o.Command.Unit, "sizeMb": o.Command.SizeMB, "holdUs": h.core.LoadUs(o.Command.SizeMB)})
	res, err := http.Post("http://"+h.store+"/store/fetch", "application/json", bytes.NewReader(raw))
	if err == nil {
		_ = res.Body.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil {
		h.core.FailOrder(err.Error())
		return
	}
	h.core.Fetched(clock.NowUs(), o.Command.Number)
}

// attempt runs one attempt and streams its pieces, unless it is told to be naughty.
func (h *Host) attempt(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	e, edgy := edgeOf(h.Naughty)
	h.mu.Unlock()
	if edgy {
		h.playEdge(w, r, e)
		return
	}
	var l wire.Attempt
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		answer(w, http.StatusBadRequest, wire.AttemptRefusal{Code: "bad_json"})
		return
	}
	s := &chunkStream{h: h, w: w, ctx: r.Context(), attempt: l, stop: make(chan struct{}), enc: json.NewEncoder(w)}
	if refusal := s.start(); refusal != nil {
		answer(w, http.StatusConflict, refusal)
		return
	}
	whole := false
	defer func() { s.end(whole) }()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	if !s.pause(s.firstUs) || !s.pieces() || s.naughty == noEnd {
		return
	}
	whole = true
	s.sendEnd()
}

// What a naughty model server does at the third piece of an attempt, or at its end.
const (
	foreignAttempt = "foreign"
	gapInPieces    = "gap"
	repeatedChunk  = "repeat"
	closeStream    = "close"
	garbage        = "garbage"
	noEnd          = "noend"
	naughtyAfter   = 2
)

// chunkStream is the answer to one attempt.
type chunkStream struct {
	h       *Host
	w       http.ResponseWriter
	ctx     context.Context
	attempt wire.Attempt
	stop    chan struct{}
	enc     *json.Encoder
	run     *Run
	naughty string
	// firstUs is the time to the first piece, pieceUs that between two.
	firstUs, pieceUs int64
}

// start begins the run, or gives the refusal.
func (s *chunkStream) start() *wire.AttemptRefusal {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	run, refusal, firstUs := s.h.core.StartAttempt(clock.NowUs(), s.attempt)
	if run != nil {
		s.h.stops[s.attempt.ID] = s.stop
	}
	s.run, s.firstUs = run, firstUs
	s.naughty, s.pieceUs = s.h.Naughty, s.h.core.PieceUs()
	return refusal
}

// end ends the run; whole says that all of the answer was sent.
func (s *chunkStream) end(whole bool) {
	s.h.mu.Lock()
	defer s.h.mu.Unlock()
	s.h.core.EndAttempt(clock.NowUs(), s.run, whole)
	delete(s.h.stops, s.attempt.ID)
}

// pause waits; false where the attempt is stopped or its caller gone meanwhile.
func (s *chunkStream) pause(us int64) bool {
	timer := time.NewTimer(time.Duration(us) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stop:
	case <-s.ctx.Done():
	}
	return false
}

// pieces sends one piece after the other; false where it could not send all.
func (s *chunkStream) pieces() bool {
	flush := http.NewResponseController(s.w).Flush
	for n := s.attempt.NextChunk; n <= s.run.Total; n++ {
		p := wire.Chunk{AttemptID: s.attempt.ID, Number: n, Text: Text(s.attempt.Prompt, s.attempt.Model, s.attempt.Adapter, n, s.run.Nonce)}
		if n == s.attempt.NextChunk+naughtyAfter {
			s.spoil(&p)
		}
		if s.enc.Encode(p) != nil || flush() != nil {
			return false
		}
		s.h.mu.Lock()
		s.run.Sent = n
		s.h.mu.Unlock()
		if n < s.run.Total && !s.pause(s.pieceUs) {
			return false
		}
	}
	return true
}

// spoil breaks the interface at one piece, as the model server was told to.
func (s *chunkStream) spoil(p *wire.Chunk) {
	switch s.naughty {
	case foreignAttempt:
		p.AttemptID = "other/leg/1"
	case gapInPieces:
		p.Number++
	case repeatedChunk:
		p.Number--
	case closeStream:
		panic(http.ErrAbortHandler)
	case garbage:
		_, _ = s.w.Write([]byte("{{{\n"))
	}
}

// sendEnd notes that the run has ended and says so.
func (s *chunkStream) sendEnd() {
	s.h.mu.Lock()
	s.run.Ended = true
	s.h.core.journal(Line{End: s.run})
	s.h.mu.Unlock()
	_ = s.enc.Encode(wire.Chunk{AttemptID: s.attempt.ID, End: true, Number: s.run.Total})
}

// stop ends an attempt that nobody waits for, and answers once it is over.
func (h *Host) stop(w http.ResponseWriter, r *http.Request) {
	id, incarnation := h.core.ID()
	attempt := id + "/" + incarnation + "/" + r.PathValue("number")
	if r.URL.Query().Get("inc") != incarnation {
		answer(w, 404, map[string]string{"error": "another incarnation"})
		return
	}
	h.mu.Lock()
	if stop := h.stops[attempt]; stop != nil {
		select {
		case <-stop:
		default:
			close(stop)
		}
	}
	h.mu.Unlock()
	for i := 0; i < 200; i++ {
		h.mu.Lock()
		running := h.core.Running(attempt)
		h.mu.Unlock()
		if !running {
			answer(w, 200, map[string]bool{"ended": true})
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	answer(w, 503, map[string]bool{"ended": false})
}
