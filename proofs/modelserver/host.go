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

	"petreltide/internal/clock"
	"petreltide/internal/wire"
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
	mux.HandleFunc("POST /v1/legs", h.leg)
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
	raw, _ := json.Marshal(map[string]any{"replica": id, "unit": o.Ticket.Unit, "sizeMb": o.Ticket.SizeMb, "holdUs": h.core.LoadUs(o.Ticket.SizeMb)})
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
	h.core.Fetched(clock.NowUs(), o.Ticket.Number)
}

func (h *Host) leg(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	e, edgy := edgeOf(h.Naughty)
	h.mu.Unlock()
	if edgy {
		h.playEdge(w, r, e)
		return
	}
	var l wire.Leg
	if err := json.NewDecoder(r.Body).Decode(&l); err != nil {
		answer(w, 400, wire.LegRefusal{Code: "bad_json"})
		return
	}
	stop := make(chan struct{})
	h.mu.Lock()
	run, refusal, firstUs := h.core.StartLeg(clock.NowUs(), l)
	if run != nil {
		h.stops[l.Leg] = stop
	}
	naughty, pieceUs := h.Naughty, h.core.PieceUs()
	h.mu.Unlock()
	if refusal != nil {
		answer(w, 409, refusal)
		return
	}
	whole := false
	defer func() {
		h.mu.Lock()
		h.core.EndLeg(clock.NowUs(), run, whole)
		delete(h.stops, l.Leg)
		h.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(200)
	flush := http.NewResponseController(w).Flush
	enc := json.NewEncoder(w)
	pause := func(us int64) bool {
		timer := time.NewTimer(time.Duration(us) * time.Microsecond)
		defer timer.Stop()
		select {
		case <-timer.C:
			return true
		case <-stop:
		case <-r.Context().Done():
		}
		return false
	}
	if !pause(firstUs) {
		return
	}
	for n := l.First; n <= run.Total; n++ {
		p := wire.Piece{Leg: l.Leg, N: n, Text: Text(l.Prompt, l.Model, l.Adapter, n, run.Nonce)}
		if n == l.First+2 {
			switch naughty {
			case "foreign":
				p.Leg = "other/leg/1"
			case "gap":
				p.N++
			case "repeat":
				p.N--
			case "close":
				panic(http.ErrAbortHandler)
			case "garbage":
				_, _ = w.Write([]byte("{{{\n"))
			}
		}
		if enc.Encode(p) != nil || flush() != nil {
			return
		}
		h.mu.Lock()
		run.Sent = n
		h.mu.Unlock()
		if n < run.Total && !pause(pieceUs) {
			return
		}
	}
	if naughty == "noend" {
		return
	}
	whole = true
	h.mu.Lock()
	run.Ended = true
	h.core.journal(Line{End: run})
	h.mu.Unlock()
	_ = enc.Encode(wire.Piece{Leg: l.Leg, End: true, N: run.Total})
}

func (h *Host) stop(w http.ResponseWriter, r *http.Request) {
	id, inc := h.core.ID()
	leg := id + "/" + inc + "/" + r.PathValue("number")
	if r.URL.Query().Get("inc") != inc {
		answer(w, 404, map[string]string{"error": "another incarnation"})
		return
	}
	h.mu.Lock()
	if stop := h.stops[leg]; stop != nil {
		select {
		case <-stop:
		default:
			close(stop)
		}
	}
	h.mu.Unlock()
	for i := 0; i < 200; i++ {
		h.mu.Lock()
		running := h.core.Running(leg)
		h.mu.Unlock()
		if !running {
			answer(w, 200, map[string]bool{"ended": true})
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	answer(w, 503, map[string]bool{"ended": false})
}
