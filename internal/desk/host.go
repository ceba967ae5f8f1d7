package desk

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"petreltide/internal/chain"
	"petreltide/internal/clock"
	"petreltide/internal/deskwork"
	"petreltide/internal/fault"
	"petreltide/internal/ledger"
	"petreltide/internal/office"
	"petreltide/internal/pipe"
	"petreltide/internal/settings"
	"petreltide/internal/spike"
	"petreltide/internal/wire"
)

const (
	tickEvery   = 20 * time.Millisecond
	ackEvery    = 200 * time.Millisecond
	gapUs       = 500 * clock.Ms
	leaseCutUs  = 50 * clock.Ms
	keyWait     = 2500 * time.Millisecond
	cancelWait  = 2 * time.Second
	mailboxMost = 16384
)

type Host struct {
	set     settings.Desk
	inc     string
	decider *deskwork.Decider
	ring    *spike.Ring
	log     log.Logger
	inner   *http.Client
	legs    *http.Client

	snap    atomic.Pointer[deskwork.Snapshot]
	leaseUs atomic.Int64
	drain   atomic.Bool
	calls   atomic.Int64

	mailbox chan func()
	waiting map[string]*caller
	where   atomic.Pointer[wire.Where]
	ackNow  chan struct{}
	ctx     context.Context
	stop    context.CancelFunc
	group   sync.WaitGroup
}

type caller struct {
	next   chan deskwork.Effect
	cancel context.CancelFunc
	wanted bool
}

func (c *caller) arm(cancel context.CancelFunc) {
	c.cancel = cancel
	if cancel != nil && c.wanted {
		cancel()
	}
	c.wanted = false
}

func (c *caller) stop() {
	if c.cancel == nil {
		c.wanted = true
		return
	}
	c.cancel()
}

func Open(set settings.Desk, ring *spike.Ring) *Host {
	inc := office.RandomID(6)
	ctx, stop := context.WithCancel(context.Background())
	legs := pipe.Client(400)
	legs.Transport.(*http.Transport).DisableKeepAlives = true
	return &Host{
		set: set, inc: inc, ring: ring, log: ring.Logger("desk", set.Name), inner: pipe.Client(400), legs: legs,
		decider: deskwork.New(deskwork.Options{Desk: set.Name, Inc: inc, BacklogMax: set.BacklogMax}),
		mailbox: make(chan func(), mailboxMost), waiting: map[string]*caller{}, ackNow: make(chan struct{}, 1),
		ctx: ctx, stop: stop,
	}
}

// Run serves until ctx ends, then drains: what waits and what streams is given its time.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.set.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	h.spawn(h.loop)
	h.spawn(h.seeker)
	h.spawn(h.follower)
	h.spawn(h.acker)
	<-ctx.Done()
	h.drain.Store(true)
	h.tell(deskwork.Event{Drain: true})
	expiry := time.NewTimer(time.Duration(h.set.DrainMs) * time.Millisecond)
	defer expiry.Stop()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for left := true; left; {
		select {
		case <-expiry.C:
			h.ring.Dump("the drain ran out of time with calls still open")
			left = false
		case <-look.C:
			left = h.calls.Load() > 0
		}
	}
	closing, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	err = server.Shutdown(closing)
	h.stop()
	_ = server.Close()
	h.group.Wait()
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Trace(err)
	}
	return nil
}

func (h *Host) spawn(run func()) {
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		run()
	}()
}

func (h *Host) loop() {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	lastUs := clock.NowUs()
	for {
		select {
		case <-h.ctx.Done():
			return
		case act := <-h.mailbox:
			act()
		case <-ticker.C:
			h.step(deskwork.Event{})
		}
		nowUs := clock.NowUs()
		if nowUs-lastUs > gapUs {
			_ = h.log.Log("event", "woke after a gap", "gapMs", (nowUs-lastUs)/1000)
		}
		lastUs = nowUs
	}
}

func (h *Host) tell(ev deskwork.Event) {
	select {
	case h.mailbox <- func() { h.step(ev) }:
	case <-h.ctx.Done():
	}
}

func (h *Host) ask(act func()) bool {
	done := make(chan struct{})
	select {
	case h.mailbox <- func() { act(); close(done) }:
	case <-h.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-h.ctx.Done():
		return false
	}
}

func (h *Host) step(ev deskwork.Event) {
	ev.NowUs = clock.NowUs()
	for _, e := range h.decider.Step(ev) {
		switch {
		case e.Start != nil:
			h.hand(e.Start.Call.ID, e)
		case e.Give != nil:
			h.hand(e.Give.Call.ID, e)
		case e.Cancel != "":
			if c := h.waiting[e.Cancel]; c != nil {
				c.stop()
			}
		}
	}
}

func (h *Host) hand(id string, e deskwork.Effect) {
	c := h.waiting[id]
	if c == nil {
		return
	}
	if e.Give != nil {
		delete(h.waiting, id)
	}
	c.next <- e
}

func (h *Host) seeker() {
	for {
		var best *wire.Where
		for _, addr := range h.knownOffices() {
			ctx, done := context.WithTimeout(h.ctx, 400*time.Millisecond)
			w, err := pipe.NewCaller[wire.WhereAsk, wire.Where](h.inner, addr, pipe.WherePath).Call(ctx, &wire.WhereAsk{})
			done()
			if err == nil && (best == nil || w.View.Number > best.View.Number) {
				best = w
			}
		}
		if best != nil {
			h.learn(*best)
		}
		span := 250 * time.Millisecond
		if clock.NowUs() < h.leaseUs.Load() {
			span = time.Second
		}
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(span):
		}
	}
}

func (h *Host) learn(w wire.Where) {
	old := h.where.Load()
	if old != nil && (w.View.Number < old.View.Number || len(w.Offices) == 0) {
		return
	}
	h.where.Store(&w)
}

func (h *Host) knownOffices() []string {
	addrs := []string{}
	seen := map[string]bool{h.set.Listen: true}
	if w := h.where.Load(); w != nil {
		for _, m := range w.Offices {
			if !seen[m.Addr] {
				seen[m.Addr] = true
				addrs = append(addrs, m.Addr)
			}
		}
	}
	for _, s := range h.set.Seeds {
		if !seen[s] {
			seen[s] = true
			addrs = append(addrs, s)
		}
	}
	return addrs
}

func (h *Host) tail() chain.Seat {
	if w := h.where.Load(); w != nil {
		return w.View.Tail()
	}
	return chain.Seat{}
}

// follower holds the pipe down which the tail pushes news.
func (h *Host) follower() {
	for h.ctx.Err() == nil {
		tail := h.tail()
		if tail.Addr != "" {
			h.followTail(tail)
		}
		select {
		case <-h.ctx.Done():
		case <-time.After(80 * time.Millisecond):
		}
	}
}

func (h *Host) followTail(tail chain.Seat) {
	ctx, done := context.WithCancel(h.ctx)
	defer done()
	ask := &wire.Follow{Desk: h.set.Name, Inc: h.inc, Addr: h.set.Listen, Zone: h.set.Zone}
	if s := h.snap.Load(); s != nil {
		ask.Revision, ask.Number = s.Revision, s.Number
	}
	stream, err := pipe.NewCaller[wire.Follow, wire.News](h.inner, tail.Addr, pipe.FollowPath).Stream(ctx, ask)
	if err != nil {
		return
	}
	watch := time.AfterFunc(time.Hour, done)
	defer watch.Stop()
	go func() {
		look := time.NewTicker(200 * time.Millisecond)
		defer look.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-look.C:
				if now := h.tail(); now.ID != tail.ID || now.Inc != tail.Inc {
					done()
					return
				}
			}
		}
	}()
	for stream.Receive() {
		h.takeNews(*stream.Msg())
	}
	_ = stream.Close()
}

func (h *Host) takeNews(n wire.News) {
	prior := h.snap.Load()
	if prior != nil && (n.View < prior.View || n.Number < prior.Number) {
		return
	}
	s := deskwork.Fold(prior, n, clock.NowUs())
	h.snap.Store(s)
	h.ask(func() { h.step(deskwork.Event{Snapshot: s}) })
	select {
	case h.ackNow <- struct{}{}:
	default:
	}
}

// acker tells the tail what this desk has taken and what it holds, and brings back the lease.
func (h *Host) acker() {
	ticker := time.NewTicker(ackEvery)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		case <-h.ackNow:
		}
		tail := h.tail()
		if tail.Addr == "" || h.snap.Load() == nil {
			continue
		}
		var report wire.Report
		if !h.ask(func() { report = h.decider.Report(clock.NowUs()) }) {
			return
		}
		report.Addr, report.Zone = h.set.Listen, h.set.Zone
		ctx, done := context.WithTimeout(h.ctx, 400*time.Millisecond)
		lease, err := pipe.NewCaller[wire.Report, wire.Lease](h.inner, tail.Addr, pipe.AckPath).Call(ctx, &report)
		done()
		if err != nil || !lease.OK || lease.SentUs != report.SentUs {
			continue
		}
		if s := h.snap.Load(); lease.View < s.View {
			continue
		}
		untilUs := report.SentUs + lease.LeaseUs - leaseCutUs
		h.leaseUs.Store(untilUs)
		h.tell(deskwork.Event{LeaseUs: untilUs})
	}
}

// Submit carries a change through any office that answers.
func (h *Host) Submit(ctx context.Context, c ledger.Change) (*wire.Result, error) {
	ctx, done := context.WithTimeout(ctx, keyWait)
	defer done()
	var last error
	for _, addr := range h.knownOffices() {
		result, err := pipe.NewCaller[ledger.Change, wire.Result](h.inner, addr, pipe.SubmitPath).Call(ctx, &c)
		if err == nil {
			return result, nil
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Trace(last)
}
