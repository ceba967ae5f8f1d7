package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"petreltide/internal/api/configuration"
	"petreltide/internal/process/clock"
)

const maxEffects = 4096

// HostOptions are where an incarnation listens and whom it tells of itself.
type HostOptions struct {
	Listen string
	Core   Options
	BeatUs int64
	// Control are the machines that serve control now; Who names a machine by its IP.
	Control func() []string
	Who     func(ip string) string
	// Said is told when a machine has acknowledged what this incarnation says of itself.
	Said func(by string, draining bool)
}

// Host is one incarnation of a replica on real sockets, in the platform's words.
type Host struct {
	opts   HostOptions
	mu     sync.Mutex
	core   *Core
	conns  map[uint64]chan Effect
	conn   uint64
	timer  *time.Timer
	server *http.Server
	dialer net.Dialer
	seq    uint64
	leaves int64
	ctx    context.Context
	stop   context.CancelFunc
	next   int
	shape  Shape
	asked  int
}

// Shape says of a request, by its incarnation's own count, how its answer is sent, whatever the answer is.
type Shape struct {
	// Early requests are turned away before their body has been read; it is read afterwards.
	Early func(n int) bool
	// Unframed answers have no length and end with their connection. Streams are never sent so.
	Unframed func(n int) bool
	// Malformed requests are not run: the answer is drawn by MalformedResponse.
	Malformed func(n int) bool
}

// Serve begins an incarnation. The journal of its options is told under a lock of this host.
func Serve(o HostOptions) (*Host, error) {
	l, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	h := &Host{opts: o, core: NewCore(o.Core), conns: map[uint64]chan Effect{}}
	h.ctx, h.stop = context.WithCancel(context.Background())
	h.timer = time.AfterFunc(time.Hour, h.step)
	if ip, _, err := net.SplitHostPort(o.Listen); err == nil {
		h.dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(ip)}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /order", h.order)
	mux.HandleFunc("GET /report", h.report)
	mux.HandleFunc("GET /health", h.health)
	mux.HandleFunc("/", h.request)
	h.server = &http.Server{Handler: mux}
	go func() { _ = h.server.Serve(l) }()
	go h.beats()
	return h, nil
}

// ID names this incarnation.
func (h *Host) ID() string { return h.opts.Core.ID }

// Ill makes this incarnation turn requests away or break them off from now on, or no more.
func (h *Host) Ill(turn, broken func(int) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core.opts.Turn, h.core.opts.Break = turn, broken
}

// Answers makes this incarnation shape its answers from now on; an empty shape ends that.
func (h *Host) Answers(s Shape) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shape = s
}

// responseShape is how the answer to one request is sent. number counts the requests of the incarnation.
type responseShape struct {
	number                     int
	early, unframed, malformed bool
}

// nextShape counts a request and returns how its answer is sent.
func (h *Host) nextShape() responseShape {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	applies := func(to func(n int) bool) bool { return to != nil && to(h.asked) }
	return responseShape{number: h.asked, early: applies(h.shape.Early), unframed: applies(h.shape.Unframed), malformed: applies(h.shape.Malformed)}
}

// turnEarly answers before the body has been read, keeps the connection and reads on.
func turnEarly(w http.ResponseWriter, r *http.Request) {
	connection := http.NewResponseController(w)
	_ = connection.EnableFullDuplex()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = connection.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// Deregister takes this incarnation's leave without a word of it before, and says who acknowledged it. It says nothing
// more of itself, and serves on until it is killed.
func (h *Host) Deregister() (by string) {
	by = h.call("/instances/"+h.ID()+"/deregister", []byte("{}"))
	h.stop()
	return by
}

// Drain says that this incarnation leaves, after some time where it is given.
func (h *Host) Drain(leftMs int64) {
	h.mu.Lock()
	h.core.Draining = true
	if leftMs > 0 {
		h.leaves = clock.NowUs() + leftMs*ms
	}
	h.mu.Unlock()
	h.beat()
}

// Kill ends this incarnation at once, with a word to those who keep track of it where it leaves in order.
func (h *Host) Kill(inOrder bool) {
	if inOrder {
		h.call("/instances/"+h.ID()+"/deregister", []byte("{}"))
	}
	h.stop()
	h.do(func() []Effect { return h.core.Kill(clock.NowUs()) })
	_ = h.server.Close()
}

func (h *Host) do(act func() []Effect) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range act() {
		if to := h.conns[e.Conn]; to != nil {
			select {
			case to <- e:
			default:
			}
		}
	}
	if nextUs := h.core.NextUs(); nextUs > 0 {
		h.timer.Reset(time.Duration(max(nextUs-clock.NowUs(), 0)) * time.Microsecond)
	}
}

func (h *Host) step() { h.do(func() []Effect { return h.core.Step(clock.NowUs()) }) }

func (h *Host) who(r *http.Request) string {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	return h.opts.Who(ip)
}

func (h *Host) health(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	draining := h.core.Draining
	h.mu.Unlock()
	w.Header().Set("Instance-Id", h.ID())
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

type heldModel struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// models are units by model, as the platform's words have them.
func models(units []string) []heldModel {
	out := []heldModel{}
	for _, u := range units {
		model, adapter := configuration.SplitUnit(u)
		if adapter == "" {
			out = append(out, heldModel{Name: model, Version: 1, Adapters: []string{}})
		}
	}
	for _, u := range units {
		model, adapter := configuration.SplitUnit(u)
		for i := range out {
			if adapter != "" && out[i].Name == model {
				out[i].Adapters = append(out[i].Adapters, adapter)
			}
		}
	}
	return out
}

func (h *Host) report(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	r := h.core.Report(clock.NowUs())
	h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "prefill_and_decode", "models": models(r.Units), "busy": r.Busy, "callSequence": r.Orders, "waiting": r.Waiting, "running": r.Running, "cacheUsed": 0, "cacheTotal": 1, "handledModels": 0,
	})
}

func (h *Host) order(w http.ResponseWriter, r *http.Request) {
	body := struct {
		Operation, Model, Adapter, Holder string
		ExpectedCount                     *uint64
		FenceNumber                       uint64
	}{}
	if json.NewDecoder(io.LimitReader(r.Body, 1<<16)).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o := Order{From: h.who(r), Operation: body.Operation, Model: body.Model, Adapter: body.Adapter, Holder: body.Holder, Fence: body.FenceNumber, Expected: body.ExpectedCount, Expect: r.Header.Get("Expected-Instance")}
	status, fallen := 0, false
	h.do(func() []Effect {
		status = h.core.Order(clock.NowUs(), o)
		fallen = h.core.Fallen
		return h.core.flush()
	})
	if status == 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	if fallen {
		go h.Kill(false)
	}
}

// ask reads a request as the platform's pages word it.
func (h *Host) ask(r *http.Request, body []byte) Ask {
	a := Ask{ID: r.Header.Get("Request-Id"), From: h.who(r), Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), Body: string(body), Priority: 5, Expect: r.Header.Get("Expected-Instance"),
		Tenant: strings.Join(r.Header.Values("Tenant-Name"), ","), Keyed: r.Header.Values("Key") != nil}
	a.Model, a.Adapter = configuration.SplitUnit(r.Header.Get("Model-Name"))
	a.Stream = a.Model != ""
	in, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	a.In, _ = strconv.ParseInt(in, 10, 64)
	for _, item := range strings.Split(r.Header.Get("Prompt-Prefix"), ",") {
		if id, tokens, ok := strings.Cut(item, ":"); ok {
			n, _ := strconv.ParseInt(tokens, 10, 64)
			a.Parts = append(a.Parts, Part{ID: id, Tokens: n})
		}
	}
	if n, err := strconv.Atoi(r.Header.Get("Request-Priority")); err == nil {
		a.Priority = n
	}
	a.Last, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	leftMs, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		leftMs = 60_000
	}
	a.DeadlineUs = clock.NowUs() + int64(leftMs*1000)
	return a
}

func (h *Host) request(w http.ResponseWriter, r *http.Request) {
	shape := h.nextShape()
	if shape.malformed {
		writeMalformed(w, r, int64(shape.number))
		return
	}
	if shape.early && r.ContentLength != 0 {
		turnEarly(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := h.ask(r, body)
	out := make(chan Effect, maxEffects)
	var conn uint64
	h.do(func() []Effect {
		h.conn++
		conn = h.conn
		h.conns[conn] = out
		return h.core.Take(clock.NowUs(), conn, a)
	})
	defer h.do(func() []Effect {
		delete(h.conns, conn)
		return h.core.Gone(clock.NowUs(), conn)
	})
	flush := http.NewResponseController(w).Flush
	for {
		var e Effect
		select {
		case e = <-out:
		case <-r.Context().Done():
			return
		}
		switch {
		case e.Broken:
			panic(http.ErrAbortHandler)
		case e.Head:
			h.head(w, a, e, shape.unframed)
		case e.End:
			return
		default:
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", e.N, e.Text)
		}
		if e.End {
			return
		}
		_ = flush()
	}
}

func (h *Host) head(w http.ResponseWriter, a Ask, e Effect, unframed bool) {
	if a.ID != "" {
		w.Header().Set("Request-Id", a.ID)
	}
	if e.NotExecuted {
		w.Header().Set("Not-Executed", "1")
	}
	if e.Status == http.StatusMisdirectedRequest && a.Expect != h.ID() {
		w.Header().Set("Instance-Id", h.ID())
	}
	if e.Seal != "" {
		w.Header().Set("Server-Seal", e.Seal)
	}
	if a.Stream && e.Status == http.StatusOK {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(e.Status)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	if unframed {
		w.Header().Set("Transfer-Encoding", "identity")
	} else {
		w.Header().Set("Content-Length", strconv.Itoa(len(e.Body)))
	}
	w.WriteHeader(e.Status)
	_, _ = io.WriteString(w, e.Body)
}

func (h *Host) beats() {
	for {
		h.beat()
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(time.Duration(h.opts.BeatUs) * time.Microsecond):
		}
	}
}

// beat tells one machine that serves control, and the next where it does not acknowledge.
func (h *Host) beat() {
	h.mu.Lock()
	h.seq++
	o := h.opts.Core
	row := map[string]any{
		"service": o.Service, "address": o.Addr, "zone": o.Zone, "version": o.Release, "capacitySlots": o.Slots, "state": "ready", "coldRemainingMs": 0, "callSequence": h.seq,
	}
	if o.Engine != nil {
		row["stage"], row["models"] = "prefill_and_decode", models(h.core.Units())
	}
	draining := h.core.Draining
	if draining {
		row["state"] = "draining"
	}
	if h.leaves > 0 {
		row["timeLeftMs"] = max(1, (h.leaves-clock.NowUs())/ms)
	}
	h.mu.Unlock()
	raw, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	if by := h.call("/instances/"+o.ID+"/heartbeat", raw); by != "" && h.opts.Said != nil {
		h.opts.Said(by, draining)
	}
}

// call goes round the machines that serve control until one acknowledges.
func (h *Host) call(path string, raw []byte) string {
	addrs := h.opts.Control()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DialContext: h.dialer.DialContext, DisableKeepAlives: true}}
	for range addrs {
		h.mu.Lock()
		h.next++
		addr := addrs[h.next%len(addrs)]
		h.mu.Unlock()
		req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(raw))
		if err != nil {
			return ""
		}
		req.Header.Set("Content-Type", "application/json")
		res, err := client.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 4<<10))
		_ = res.Body.Close()
		if res.StatusCode/100 == 2 {
			ip, _, _ := net.SplitHostPort(addr)
			return h.opts.Who(ip)
		}
	}
	return ""
}

// Service is the one that it serves.
func (h *Host) Service() string { return h.opts.Core.Service }

// Zone is where its machine is.
func (h *Host) Zone() string { return h.opts.Core.Zone }
