package desk

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"petreltide/internal/actor"
	"petreltide/internal/clock"
	"petreltide/internal/dispatch"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/office"
	"petreltide/internal/rpc"
	"petreltide/internal/subscriber"
	"petreltide/internal/watch"
	"petreltide/internal/wire"
)

// CallAsk is what a caller sends.
type CallAsk struct {
	Kind     string   `json:"kind"`
	Model    string   `json:"model"`
	Adapter  string   `json:"adapter,omitempty"`
	Prefix   []string `json:"prefix,omitempty"`
	Prompt   string   `json:"prompt"`
	ExpiryMs int64    `json:"expiryMs,omitempty"`
	Resume   *bool    `json:"resumable,omitempty"`
	Had      []string `json:"had,omitempty"`
	MostOut  int      `json:"mostOut,omitempty"`
}

const (
	prefixPartsMost = 64
	keyMost         = 200
	pieceMost       = 1 << 20
	streamMost      = 64 << 20
)

type Status struct {
	Desk   string           `json:"desk"`
	Inc    string           `json:"inc"`
	Zone   string           `json:"zone"`
	Tail   string           `json:"tail"`
	Work   dispatch.Note    `json:"work"`
	Gauges []dispatch.Gauge `json:"gauges"`
	// Connections are those to replicas, by the replica, where they are kept.
	Connections map[string]Connections `json:"connections,omitempty"`
}

// Connections are how many a desk has open to one replica, and its share of what the replica takes.
type Connections struct {
	Open int `json:"open"`
	Most int `json:"most"`
}

func (h *Host) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls", h.serveCall)
	mux.HandleFunc("GET /v1/status", h.status)
	mux.HandleFunc("GET /v1/ready", h.ready)
	mux.HandleFunc("GET /v1/log", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(h.ring.Bytes()) })
	rpc.Serve(mux, rpc.WherePath, func(context.Context, *wire.WhereAsk) (*wire.Where, error) {
		if w := h.where.Load(); w != nil {
			return w, nil
		}
		return &wire.Where{}, nil
	})
	rpc.Serve(mux, rpc.BeatPath, func(_ context.Context, b *watch.Beat) (*wire.Receipt, error) {
		h.tellSubscriber(subscriber.Event{Beat: b})
		return &wire.Receipt{}, nil
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		refuse(w, http.StatusNotFound, fault.New(fault.NotFound, "path", "%s %s", r.Method, r.URL.Path))
	})
	return mux
}

func (h *Host) status(w http.ResponseWriter, _ *http.Request) {
	st := Status{Desk: h.set.Name, Inc: h.inc, Zone: h.set.Zone, Tail: h.tail().ID}
	if now, ran := actor.Ask(h.act.Ctx, h.act, func() Status { return Status{Work: h.decider.Note(), Gauges: h.decider.Gauges()} }); ran {
		st.Work, st.Gauges = now.Work, now.Gauges
	}
	if h.open != nil {
		st.Connections = map[string]Connections{}
		for replica, n := range h.open() {
			st.Connections[replica] = Connections{Open: n, Most: h.ConnectionShare(replica)}
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st)
}

// ready is for whoever hands clients to this desk.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	f, ran := actor.Ask(h.act.Ctx, h.act, func() *fault.Fault { return h.decider.Ready(clock.NowUs()) })
	if !ran {
		f = fault.New(fault.Draining, "", "stopping")
	}
	if f != nil {
		refuse(w, http.StatusServiceUnavailable, f)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]bool{"ready": true})
}

func refuse(w http.ResponseWriter, status int, f *fault.Fault) {
	if f.Run == "" {
		f.Run = fault.RunNone
	}
	if f.RetryMs > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((f.RetryMs+999)/1000, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": f})
}

func statusOf(f *fault.Fault) int {
	switch f.Code {
	case fault.BadJSON, fault.BadField, fault.BadLastEventID, fault.PastExpiry:
		return http.StatusBadRequest
	case fault.UnknownKind, fault.UnknownModel, fault.UnknownAdapter:
		return http.StatusNotFound
	case fault.TooLarge:
		return http.StatusRequestEntityTooLarge
	case fault.KeyRunning, fault.KeyUnknown, fault.KeyEnded:
		return http.StatusConflict
	case fault.Expired:
		return http.StatusGatewayTimeout
	case fault.ReplicaFailed, fault.Unknown, fault.Broken:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// read checks everything that can be checked without asking the decider.
func (h *Host) read(w http.ResponseWriter, r *http.Request) (*CallAsk, *dispatch.Call, bool, *fault.Fault) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(h.set.BodyMaxKb)<<10))
	if err != nil {
		if _, ok := err.(*http.MaxBytesError); ok {
			return nil, nil, false, fault.New(fault.TooLarge, "", "a body may have %d KiB", h.set.BodyMaxKb)
		}
		return nil, nil, false, fault.New(fault.BadJSON, "", "%v", err)
	}
	ask := &CallAsk{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(ask); err != nil {
		field := ""
		if e, ok := err.(*json.UnmarshalTypeError); ok {
			field = e.Field
		} else if _, name, found := strings.Cut(err.Error(), "unknown field "); found {
			field = strings.Trim(name, `"`)
		}
		return nil, nil, false, fault.New(fault.BadJSON, field, "%v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return nil, nil, false, fault.New(fault.BadJSON, "", "more than one JSON value")
	}
	s := h.snap.Load()
	if s == nil || s.Doc == nil {
		f := fault.New(fault.NoLease, "", "this desk has no declaration yet")
		f.RetryMs = 500
		return nil, nil, false, f
	}
	last := r.Header.Get("Last-Event-Id")
	once := ask.Resume != nil && !*ask.Resume
	kind, bad := s.Lookup(dispatch.Asked{Kind: ask.Kind, Model: ask.Model, Adapter: ask.Adapter, Once: once, Had: last != ""}, clock.NowUs(), h.leaseUs.Load())
	switch {
	case bad != nil:
		return nil, nil, false, bad
	case ask.Prompt == "":
		return nil, nil, false, fault.New(fault.BadField, "prompt", "it is empty")
	case len(ask.Prefix) > prefixPartsMost:
		return nil, nil, false, fault.New(fault.BadField, "prefix", "%d parts, at most %d", len(ask.Prefix), prefixPartsMost)
	case ask.ExpiryMs < 0:
		return nil, nil, false, fault.New(fault.PastExpiry, "expiryMs", "it is %d ms in the past", -ask.ExpiryMs)
	case ask.MostOut < 0:
		return nil, nil, false, fault.New(fault.BadField, "mostOut", "it is negative")
	case len(r.Header.Get("Idempotency-Key")) > keyMost:
		return nil, nil, false, fault.New(fault.BadField, "Idempotency-Key", "longer than %d bytes", keyMost)
	}
	c := &dispatch.Call{
		ID: h.set.Name + "-" + office.RandomID(8), Kind: kind.Name, Model: ask.Model, Adapter: ask.Adapter,
		Prefix: ask.Prefix, Once: once, MostMs: ask.ExpiryMs, TakenUs: clock.NowUs(),
	}
	if f := resumeAt(last, ask, c); f != nil {
		return nil, nil, false, f
	}
	return ask, c, kind.Resumable && !once, nil
}

// resumeAt lets a caller go on at any desk: it names the last piece and sends all it holds.
func resumeAt(last string, ask *CallAsk, c *dispatch.Call) *fault.Fault {
	if last == "" {
		if len(ask.Had) > 0 {
			return fault.New(fault.BadLastEventID, "Last-Event-Id", "pieces are sent without it")
		}
		return nil
	}
	n, err := strconv.Atoi(last)
	switch {
	case err != nil || n < 0 || strconv.Itoa(n) != last:
		return fault.New(fault.BadLastEventID, "Last-Event-Id", "%q is not a piece number", last)
	case n != len(ask.Had):
		return fault.New(fault.BadLastEventID, "had", "%d pieces are sent, the last one named is %d", len(ask.Had), n)
	}
	c.Had = n
	c.Progress.Store(int64(n))
	return nil
}

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
	s.event(0, "broken", map[string]any{"error": f, "pieces": len(s.pieces)})
}

func (h *Host) serveCall(w http.ResponseWriter, r *http.Request) {
	h.calls.Add(1)
	defer h.calls.Add(-1)
	ask, c, resumable, bad := h.read(w, r)
	if bad != nil {
		refuse(w, statusOf(bad), bad)
		return
	}
	key := r.Header.Get("Idempotency-Key")
	keyed := key != "" && !resumable
	if keyed {
		if f := h.claim(r.Context(), key, c); f != nil {
			refuse(w, statusOf(f), f)
			return
		}
	}
	s := &stream{w: w, flush: http.NewResponseController(w).Flush, pieces: append([]string(nil), ask.Had...)}
	end := h.carry(r.Context(), c, &legsEdge{h: h, ask: ask, call: c, s: s})
	if keyed {
		h.endKey(key, c, end)
	}
}

// carry takes one call through the decider and its legs to the one final answer.
func (h *Host) carry(ctx context.Context, c *dispatch.Call, edge Edge) string {
	mine := &caller{next: make(chan dispatch.Effect, 4)}
	if !h.do(func() {
		h.waiting[c.ID] = mine
		h.step(dispatch.Event{Arrived: c})
	}) {
		edge.Fail(&fault.Fault{Code: fault.Draining, Run: fault.RunNone, RetryMs: 200})
		return fault.RunNone
	}
	defer h.act.Tell(func() { delete(h.waiting, c.ID) })
	ran, why := fault.RunNone, ""
	for {
		var e dispatch.Effect
		select {
		case e = <-mine.next:
		case <-ctx.Done():
			h.do(func() { h.step(dispatch.Event{Gone: c.ID}) })
			select {
			case e = <-mine.next:
			default:
				return ran
			}
			if e.Start != nil {
				h.tell(dispatch.Event{Ended: &dispatch.Ended{Call: c.ID, Leg: e.Start.Leg, Ending: dispatch.Unsent}})
			}
			return ran
		}
		if e.Give != nil {
			if c.Routed != nil {
				_ = h.log.Log("event", "given up", "path", c.Kind, "model", c.Model, "adapter", c.Adapter, "waitedMs", (clock.NowUs()-c.TakenUs)/1000, "mostMs", c.MostMs, "retryMs", e.Give.Fault.RetryMs, "why", e.Give.Fault.Detail)
			}
			edge.Fail(e.Give.Fault)
			return e.Give.Fault.Run
		}
		if e.Over != nil {
			f := fault.New(fault.Unknown, "", "%s", why)
			f.Run = fault.RunUnknown
			if e.Over.Ending == dispatch.Final {
				f.Code = fault.Expired
			} else if edge.Opened() {
				f.Code, f.Run = fault.Broken, fault.RunPartial
			}
			edge.Fail(f)
			return f.Run
		}
		ending, said := h.leg(ctx, *e.Start, mine, edge)
		why = said
		if ctx.Err() != nil {
			h.tell(dispatch.Event{Gone: c.ID})
		}
		h.tell(dispatch.Event{Ended: &dispatch.Ended{Call: c.ID, Leg: e.Start.Leg, Ending: ending}})
		switch ending {
		case dispatch.Done:
			return fault.RunYes
		case dispatch.Failed:
			return fault.RunUnknown
		case dispatch.Unsent, dispatch.Refused, dispatch.Missing, dispatch.Elsewhere:
		default:
			ran = fault.RunUnknown
		}
		if ctx.Err() != nil {
			return ran
		}
	}
}

// leg runs one leg. Those under granted numbers run under a context that the decider can end.
func (h *Host) leg(ctx context.Context, st dispatch.Start, mine *caller, edge Edge) (dispatch.Ending, string) {
	if st.Call.Routed != nil {
		fromUs := clock.NowUs()
		ending, why := edge.Leg(ctx, st)
		firstMs := int64(-1)
		if firstUs := st.Call.FirstUs.Load(); firstUs >= fromUs {
			firstMs = (firstUs - fromUs) / 1000
		}
		_ = h.log.Log("event", "leg", "path", st.Call.Kind, "model", st.Call.Model, "adapter", st.Call.Adapter, "replica", st.Replica, "tokens", st.Call.Routed.PromptIn,
			"waitedMs", (fromUs-st.Call.TakenUs)/1000, "guessMs", int64(st.GuessMs), "firstMs", firstMs, "allMs", (clock.NowUs()-fromUs)/1000, "running", st.Running, "aimMs", st.Call.Routed.Route.AimMs, "mostMs", st.Call.MostMs, "ending", ending, "why", why)
		return ending, why
	}
	legCtx, cancel := context.WithDeadline(ctx, time.Now().Add(time.Duration(st.ExpiryUs-clock.NowUs())*time.Microsecond))
	defer cancel()
	h.do(func() { mine.arm(cancel) })
	defer h.do(func() { mine.arm(nil) })
	return edge.Leg(legCtx, st)
}

// legsEdge is this product's own interface: JSON calls, server-sent events, JSON legs.
type legsEdge struct {
	h    *Host
	ask  *CallAsk
	call *dispatch.Call
	s    *stream
}

func (e *legsEdge) Fail(f *fault.Fault) { e.s.fail(f) }

func (e *legsEdge) Opened() bool { return e.s.opened }

func (e *legsEdge) Leg(ctx context.Context, st dispatch.Start) (dispatch.Ending, string) {
	ending, why := e.h.runLeg(ctx, e.ask, e.call, st, e.s)
	if e.s.failed {
		e.h.tell(dispatch.Event{Gone: e.call.ID})
	}
	if ending == dispatch.Done {
		e.s.event(0, "end", map[string]any{"pieces": len(e.s.pieces)})
	}
	return ending, why
}

func legNumber(leg string) string { return leg[strings.LastIndexByte(leg, '/')+1:] }

// runLeg obeys one decision. Only when no byte can have left, or the replica itself said that
// it did not start, is the ending one that lets the call run elsewhere.
func (h *Host) runLeg(legCtx context.Context, ask *CallAsk, c *dispatch.Call, st dispatch.Start, s *stream) (dispatch.Ending, string) {
	raw, err := json.Marshal(wire.Leg{
		Leg: st.Leg, Ticket: st.Ticket, Inc: st.Inc, Call: c.ID, Model: c.Model, Adapter: c.Adapter,
		Prefix: ask.Prefix, Prompt: ask.Prompt, Had: s.pieces, First: len(s.pieces) + 1, MostOut: ask.MostOut,
	})
	if err != nil {
		panic(err)
	}
	var connected atomic.Bool
	body := &checked{h: h, st: st, r: bytes.NewReader(raw)}
	trace := &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { connected.Store(true) },
		Got100Continue: func() { body.asked.Store(true) },
	}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(legCtx, trace), http.MethodPost, "http://"+st.Addr+"/v1/legs", io.NopCloser(body))
	if err != nil {
		return dispatch.Unsent, err.Error()
	}
	req.ContentLength = int64(len(raw))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Expect", "100-continue")
	if !h.maySend(st) {
		return dispatch.Unsent, "the news changed before it was sent"
	}
	res, err := h.legs.Do(req)
	if err != nil {
		if !connected.Load() || !body.left.Load() {
			return dispatch.Unsent, err.Error()
		}
		h.settleLeg(st)
		return endingOf(legCtx, st), err.Error()
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		refusal := wire.LegRefusal{Started: true}
		answer, readErr := io.ReadAll(io.LimitReader(res.Body, 1<<16))
		if readErr == nil && json.Unmarshal(answer, &refusal) == nil && refusal.Code != "" && !refusal.Started {
			return dispatch.Refused, refusal.Code
		}
		return dispatch.Unknown, "the replica answered " + res.Status
	}
	ending, why := h.readPieces(c, st, s, res.Body)
	if ending == dispatch.Done {
		return ending, ""
	}
	stopped := legCtx.Err() != nil
	_ = res.Body.Close()
	h.settleLeg(st)
	if stopped {
		return endingOf(legCtx, st), "the leg was stopped"
	}
	return ending, why
}

func endingOf(legCtx context.Context, st dispatch.Start) dispatch.Ending {
	switch {
	case clock.NowUs() >= st.ExpiryUs:
		return dispatch.Final
	case legCtx.Err() != nil:
		return dispatch.Moved
	}
	return dispatch.Unknown
}

func (h *Host) maySend(st dispatch.Start) bool {
	return st.MaySend(h.snap.Load(), clock.NowUs(), h.leaseUs.Load())
}

// checked is a leg's body. It leaves only after the replica has asked for it, so that none waits
// in the socket of a frozen one, and after one more look at the lease and the newest news.
type checked struct {
	h     *Host
	st    dispatch.Start
	r     *bytes.Reader
	left  atomic.Bool
	asked atomic.Bool
}

func (b *checked) Read(p []byte) (int, error) {
	if !b.left.Load() {
		if !b.asked.Load() {
			return 0, fault.New(fault.ReplicaFailed, "", "the replica did not ask for the leg")
		}
		if !b.h.maySend(b.st) {
			return 0, fault.New(fault.NoLease, "", "the news changed before it was sent")
		}
		b.left.Store(true)
	}
	return b.r.Read(p)
}

func (h *Host) readPieces(c *dispatch.Call, st dispatch.Start, s *stream, body io.Reader) (dispatch.Ending, string) {
	bounded := &io.LimitedReader{R: body, N: pieceMost}
	dec := json.NewDecoder(bounded)
	held := 0
	for {
		var p wire.Piece
		if err := dec.Decode(&p); err != nil {
			return dispatch.Broken, "the replica's stream ended early: " + err.Error()
		}
		bounded.N = pieceMost
		if held += len(p.Text); held > streamMost {
			return dispatch.Broken, "the replica's stream is too long"
		}
		ending, why := dispatch.Judge(st.Leg, len(s.pieces), p)
		if ending != "" {
			if ending == dispatch.Broken {
				_ = h.log.Log("event", "stream broken", "leg", st.Leg, "why", why)
			}
			return ending, why
		}
		c.FirstUs.CompareAndSwap(0, clock.NowUs())
		s.pieces = append(s.pieces, p.Text)
		c.Progress.Store(int64(len(s.pieces)))
		s.event(len(s.pieces), "piece", map[string]any{"text": p.Text})
		if s.failed {
			return dispatch.Broken, "the caller is gone"
		}
	}
}

// settleLeg tells the replica that nobody waits any more and returns when it says the leg is
// over, so that the slot is free when it is counted free.
func (h *Host) settleLeg(st dispatch.Start) {
	ctx, done := context.WithTimeout(h.act.Ctx, cancelWait)
	defer done()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+st.Addr+"/v1/legs/"+legNumber(st.Leg)+"?inc="+st.Inc, nil)
	if err != nil {
		return
	}
	res, err := h.inner.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 1<<12))
	_ = res.Body.Close()
}

func (h *Host) claim(ctx context.Context, key string, c *dispatch.Call) *fault.Fault {
	change := ledger.Change{ID: "key-" + c.ID, Key: &ledger.KeyChange{Key: key, Desk: h.set.Name, DeskInc: h.inc, Call: c.ID}}
	result, err := h.Submit(ctx, change)
	if err != nil {
		f := fault.New(fault.Overloaded, "Idempotency-Key", "the key could not be claimed in time")
		f.Run, f.RetryMs = fault.RunNone, 1000
		h.free(key, c)
		return f
	}
	out := result.Outcome
	if out.Fault != nil {
		out.Fault.Run, out.Fault.RetryMs = fault.RunNone, 2000
		return out.Fault
	}
	if out.Key == nil || !out.Again {
		return nil
	}
	f := fault.New(fault.KeyRunning, "Idempotency-Key", "a call with this key was taken by desk %s", out.Key.Desk)
	f.Run = fault.RunUnknown
	if out.Key.Ended != "" {
		f.Code, f.Run = fault.KeyEnded, out.Key.Ended
		f.Detail = "the call with this key has ended"
	} else if out.Key.Desk == h.set.Name && out.Key.DeskInc != h.inc {
		f.Code, f.Detail = fault.KeyUnknown, "the desk that took it went down; what it did is not known"
	}
	return f
}

func (h *Host) keyChange(key string, c *dispatch.Call, end string) {
	change := ledger.Change{ID: "key-" + end + "-" + c.ID, Key: &ledger.KeyChange{Key: key, Desk: h.set.Name, DeskInc: h.inc, Call: c.ID, End: end, Free: end == ""}}
	h.calls.Add(1)
	h.act.Spawn(func() {
		defer h.calls.Add(-1)
		if _, err := h.Submit(h.act.Ctx, change); err != nil {
			_ = h.log.Log("event", "key end not recorded", "call", c.ID, "end", end, "err", err)
		}
	})
}

func (h *Host) free(key string, c *dispatch.Call) { h.keyChange(key, c, "") }

func (h *Host) endKey(key string, c *dispatch.Call, end string) {
	if end == fault.RunNone {
		end = ""
	}
	h.keyChange(key, c, end)
}
