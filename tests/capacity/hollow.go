package capacity

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/randomid"
	"petreltide/internal/process/rpc"
	"petreltide/tests/capacity/platform"
)

const (
	awayLook     = 250 * time.Millisecond
	ackWait      = time.Second
	tokensEach   = 1_800
	unreadShare  = 10
	requestS     = 12.2
	adapterShare = 0.3
)

// counter counts what one side of the hollow world said and heard.
type counter struct {
	sentB, gotB, sent, got atomic.Int64
}

type counts struct{ sentB, gotB, sent, got float64 }

func (c *counter) now() counts {
	return counts{float64(c.sentB.Load()), float64(c.gotB.Load()), float64(c.sent.Load()), float64(c.got.Load())}
}

func (c counts) since(o counts, seconds float64) counts {
	return counts{(c.sentB - o.sentB) / seconds, (c.gotB - o.gotB) / seconds, (c.sent - o.sent) / seconds, (c.got - o.got) / seconds}
}

// counted is a connection whose bytes are counted.
type counted struct {
	net.Conn
	by *counter
}

func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.by.gotB.Add(int64(n))
	return n, err
}

func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.by.sentB.Add(int64(n))
	return n, err
}

func dialFrom(ip string, by *counter) func(context.Context, string, string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: 500 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &counted{conn, by}, nil
	}
}

// frame is as much of wire.Frame as a hollow gateway looks at.
type frame struct {
	ControlNode  string         `json:"office"`
	Whole        bool           `json:"whole"`
	Settled      bool           `json:"settled"`
	View         *chain.View    `json:"view"`
	ControlNodes []chain.Member `json:"offices"`
	Revision     uint64         `json:"revision"`
	Gateways     int            `json:"desks"`
	Replicas     []struct {
		ID string `json:"id"`
	} `json:"replicas"`
}

// hollowGateway follows control nodes and reports by the product's own Mirror, which is given frames without their rows:
// whom it follows, when it gives a stream up and when it reports are a real gateway's.
type hollowGateway struct {
	name, ip, zone string
	client         *http.Client
	world          *world
	revision       atomic.Uint64
	rows           atomic.Int64
	streams        atomic.Int32
	dead           atomic.Bool
	r              *rand.Rand
	incarnation    string

	mu      sync.Mutex
	mirror  *controlclient.Informer
	cancels map[uint64]context.CancelFunc
	known   []bool
	load    *wire.Report
}

const (
	gatewayTick = 50 * time.Millisecond
	drawEvery   = 10 * time.Second
)

func (d *hollowGateway) run(ctx context.Context, seeds []string) {
	d.incarnation = randomid.New(6)
	d.mu.Lock()
	d.cancels = map[uint64]context.CancelFunc{}
	d.mirror = controlclient.NewInformer(controlclient.Options{Gateway: d.name, Incarnation: d.incarnation, Addr: platform.Gateway(d.ip), Zone: d.zone, Seeds: seeds})
	d.load = d.draw()
	d.mu.Unlock()
	pause(ctx, time.Duration(d.r.Int63n(int64(time.Second))))
	every := time.NewTicker(gatewayTick)
	defer every.Stop()
	drawn := time.Now()
	for ctx.Err() == nil {
		if time.Since(drawn) > drawEvery {
			drawn = time.Now()
			d.mu.Lock()
			d.load = d.draw()
			d.mu.Unlock()
		}
		if !d.dead.Load() {
			d.step(ctx, controlclient.InformerEvent{})
		}
		select {
		case <-ctx.Done():
		case <-every.C:
		}
	}
}

func (d *hollowGateway) step(ctx context.Context, ev controlclient.InformerEvent) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ev.NowUs = clock.NowUs()
	for _, e := range d.mirror.Step(ev) {
		switch {
		case e.Open != nil:
			stream := *e.Open
			stream.Request.Revision = d.revision.Load()
			following, done := context.WithCancel(ctx)
			d.cancels[stream.Number] = done
			d.spawn(func() {
				d.follow(following, stream)
				if ctx.Err() == nil {
					d.step(ctx, controlclient.InformerEvent{Closed: stream.Number})
				}
			})
		case e.Close != 0:
			if done := d.cancels[e.Close]; done != nil {
				done()
			}
			delete(d.cancels, e.Close)
		case e.Report != "":
			to, rep := e.Report, *d.load
			d.spawn(func() { d.report(ctx, to, &rep) })
		}
	}
	d.streams.Store(int32(d.mirror.LiveStreamCount()))
}

func (d *hollowGateway) spawn(run func()) {
	d.world.group.Add(1)
	go func() {
		defer d.world.group.Done()
		run()
	}()
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}

func (d *hollowGateway) follow(ctx context.Context, s controlclient.Stream) {
	stream, err := rpc.NewCaller[wire.SubscribeRequest, frame](d.client, s.Addr, rpc.FramesPath).Stream(ctx, &s.Request)
	if err != nil {
		return
	}
	for stream.Receive() {
		for d.dead.Load() && ctx.Err() == nil {
			pause(ctx, awayLook)
		}
		f := stream.Msg()
		d.world.gateway.got.Add(1)
		d.world.rows.Add(int64(len(f.Replicas)))
		d.learn(f)
		if have := d.revision.Load(); f.Revision > have && d.revision.CompareAndSwap(have, f.Revision) {
			d.world.track.has(d.name, f.Revision)
		}
		d.step(ctx, controlclient.InformerEvent{Stream: s.Number, Frame: &wire.Frame{
			ControlNode: f.ControlNode, Complete: f.Whole, CaughtUp: f.Settled, View: f.View, ControlNodes: f.ControlNodes, GatewayCount: f.Gateways,
		}})
	}
	_ = stream.Close()
}

// learn notes which replicas this gateway has been told of.
func (d *hollowGateway) learn(f *frame) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range f.Replicas {
		if n, ok := replicaNumber(r.ID); ok && n < len(d.known) && !d.known[n] {
			d.known[n] = true
			d.rows.Add(1)
		}
	}
}

// draw is what this gateway says it carries: running requests at replicas drawn at random, of the models that they
// hold, and arrivals of the last seconds.
func (d *hollowGateway) draw() *wire.Report {
	w := d.world
	rep := &wire.Report{
		Gateway: d.name, Incarnation: d.incarnation, Addr: platform.Gateway(d.ip), Zone: d.zone, Arrivals: map[string]float64{}, PromptTokens: map[string]float64{},
		RecentArrivals: map[string]float64{}, Queued: map[string]int{}, InFlight: map[string]int{}, UnusedGrants: map[string]wire.UnusedGrant{},
		ModelInFlight: map[string]int{}, PendingPrefill: map[string]int{},
	}
	for n := range w.size.Running {
		r := w.replicas[d.r.Intn(len(w.replicas))]
		id, unit := r.someUnit(d.r)
		if unit == "" {
			continue
		}
		rep.InFlight[id]++
		rep.ModelInFlight[id+"|"+unit]++
		if n%unreadShare == 0 {
			rep.PendingPrefill[id+"|"+unit]++
		}
	}
	perS := float64(w.size.Running) / requestS
	seen := min(w.size.Models, max(1, int(perS*4)))
	for range seen {
		model := d.r.Intn(w.size.Models)
		unit := w.modelNames[model]
		rep.Arrivals[unit] += perS / float64(seen)
		rep.PromptTokens[unit] += perS / float64(seen) * tokensEach
		rep.RecentArrivals[unit] += perS / float64(seen)
		if a := w.adaptersOf(model); a > 0 && d.r.Float64() < adapterShare {
			rep.Arrivals[unit+"/a"+strconv.Itoa(1+d.r.Intn(a))] += perS / float64(seen)
		}
	}
	return rep
}

func (d *hollowGateway) report(ctx context.Context, to string, rep *wire.Report) {
	rep.SentUs, rep.Revision = clock.NowUs(), d.revision.Load()
	d.world.press(rep)
	ctx, done := context.WithTimeout(ctx, 600*time.Millisecond)
	defer done()
	if _, err := rpc.NewCaller[wire.Report, wire.Ack](d.client, to, rpc.TellPath).Call(ctx, rep); err != nil {
		d.world.lostReports.Add(1)
		return
	}
	d.world.gateway.sent.Add(1)
}

// hollowReplica beats, takes orders and tells what it holds; it does no work.
type hollowReplica struct {
	world        *world
	n            int
	ip, zone     string
	controlNodes []string
	mu           sync.Mutex
	incarnation  int
	id           string
	units        map[string]bool
	had          map[string]bool
	busyUntil    time.Time
	seq          uint64
	dead         bool
	acked        time.Time
	mine         *rand.Rand
}

func (r *hollowReplica) addr() string { return net.JoinHostPort(r.ip, strconv.Itoa(r.world.port)) }

func (r *hollowReplica) someUnit(draw *rand.Rand) (id, unit string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := draw.Intn(max(1, len(r.units)))
	for u := range r.units {
		if unit = u; at == 0 {
			break
		}
		at--
	}
	return r.id, unit
}

// beatNow is what it says of itself; the lock is held.
func (r *hollowReplica) beatNow() platform.Beat {
	return platform.Beat{Service: serviceName, Addr: r.addr(), Zone: r.zone, Slots: 96, Units: slices.Collect(maps.Keys(r.units)), Seq: r.seq}
}

func (r *hollowReplica) body() (id string, raw []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	return r.id, r.beatNow().Body()
}

func (r *hollowReplica) run(ctx context.Context) {
	every := time.Duration(r.world.size.HeartbeatMs) * time.Millisecond
	pause(ctx, time.Duration(r.mine.Int63n(int64(every))))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	dial := dialFrom(r.ip, &r.world.beat)
	at := r.n % len(r.controlNodes)
	var conn net.Conn
	var in *bufio.Reader
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	for ctx.Err() == nil {
		r.mu.Lock()
		dead := r.dead
		r.mu.Unlock()
		if !dead {
			began := time.Now()
			if conn == nil {
				if fresh, err := dial(ctx, "tcp", r.controlNodes[at]); err == nil {
					conn, in = fresh, bufio.NewReaderSize(fresh, 512)
				}
			}
			if conn != nil && r.beat(conn, in, r.controlNodes[at]) {
				r.world.beat.sent.Add(1)
				r.mu.Lock()
				r.acked = time.Now()
				r.mu.Unlock()
				r.world.beatMs.add(time.Since(began))
			} else {
				r.world.lateBeats.Add(1)
				if conn != nil {
					_ = conn.Close()
				}
				conn, at = nil, (at+1)%len(r.controlNodes)
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (r *hollowReplica) beat(conn net.Conn, in *bufio.Reader, host string) bool {
	id, raw := r.body()
	_ = conn.SetDeadline(time.Now().Add(ackWait))
	head := "POST " + platform.BeatPath(id) + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(raw)) + "\r\n\r\n"
	if _, err := conn.Write(append([]byte(head), raw...)); err != nil {
		return false
	}
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, res.Body)
	return err == nil && res.StatusCode/100 == 2
}

// begin gives a replica a new incarnation that holds what the old one held.
func (r *hollowReplica) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.incarnation++
	r.id = fmt.Sprintf("i-%05d-%d", r.n, r.incarnation)
	r.seq, r.dead, r.busyUntil = 0, false, time.Time{}
}

func replicaNumber(id string) (int, bool) {
	if len(id) < 7 {
		return 0, false
	}
	n, err := strconv.Atoi(id[2:7])
	return n, err == nil
}

func (r *hollowReplica) order(w http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(io.LimitReader(req.Body, 1<<16))
	o, ok := platform.ReadOrder(raw)
	if err != nil || !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if meant := platform.Meant(req.Header); meant != "" && meant != r.id {
		platform.Elsewhere(w, r.id)
		return
	}
	if time.Now().Before(r.busyUntil) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	unit, span := o.Model, loadSpan
	if o.Adapter != "" {
		unit, span = o.Model+"/"+o.Adapter, 13*time.Millisecond
	} else if r.had[unit] {
		span = warmSpan
	}
	r.seq++
	r.world.ordered(!o.Unload && o.Adapter == "")
	if o.Unload {
		delete(r.units, unit)
		for u := range r.units {
			if model, _, has := strings.Cut(u, "/"); has && model == unit {
				delete(r.units, u)
			}
		}
	} else {
		r.busyUntil = time.Now().Add(span)
		time.AfterFunc(span, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.units[unit], r.had[unit] = true, true
		})
	}
	w.WriteHeader(http.StatusAccepted)
}

func (r *hollowReplica) report(w http.ResponseWriter) {
	r.mu.Lock()
	raw := r.beatNow().Report(time.Now().Before(r.busyUntil))
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(raw)
}

// spans are times whose percentiles are wanted.
type spans struct {
	mu  sync.Mutex
	all []float64
}

func (s *spans) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, float64(d)/1e6)
}

func (s *spans) take() []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.all
	s.all = nil
	slices.Sort(all)
	return all
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
