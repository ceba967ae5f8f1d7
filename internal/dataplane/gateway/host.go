package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/controlnode"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
	"petreltide/internal/process/rpc"
)

const (
	tickEvery   = 20 * time.Millisecond
	mirrorTick  = 50 * time.Millisecond
	gapUs       = 500 * clock.Ms
	keyWait     = 2500 * time.Millisecond
	cancelWait  = 2 * time.Second
	askedWait   = time.Second
	mailboxMost = 16384
)

// Host runs one gateway: its listeners, its connection to the control nodes and its decider, which only its actor
// touches.
type Host struct {
	set         settings.Gateway
	incarnation string
	decider     *scheduling.Decider
	ring        *logring.Ring
	log         log.Logger
	inner       *http.Client
	attempts    *http.Client

	snap    atomic.Pointer[scheduling.Snapshot]
	leaseUs atomic.Int64
	calls   atomic.Int64
	callSeq atomic.Int64

	act        *actor.Actor
	lastUs     int64
	waiting    map[string]*caller
	where      atomic.Pointer[wire.MembershipResponse]
	subscriber *controlclient.Subscriber
	unfollow   context.CancelFunc

	mirror  *controlclient.Mirror
	streams map[uint64]context.CancelFunc
	doors   []Door
	// declared is closed once this gateway has a declaration.
	declared chan struct{}
	open     func() map[string]int
	// Room is shared by all doors.
	Room *Room
}

// Door is a listener of another interface than this one's own: it takes calls and hands them to Serve.
type Door interface {
	Serve() error
	// Linger says that no new callers are wanted; those that come are served.
	Linger()
	Shutdown(ctx context.Context) error
}

type caller struct {
	next   chan scheduling.Effect
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

// Open prepares a gateway; Run serves.
func Open(set settings.Gateway, ring *logring.Ring) *Host {
	incarnation := controlnode.RandomID(6)
	attempts := rpc.Client(400, set.Listen)
	attempts.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	attempts.Transport.(*http.Transport).DisableKeepAlives = true
	attempts.Transport.(*http.Transport).ExpectContinueTimeout = askedWait
	h := &Host{
		set: set, incarnation: incarnation, ring: ring, log: ring.Logger("desk", set.Name), inner: rpc.NodeClient(400, set.Listen), attempts: attempts,
		decider: scheduling.New(scheduling.Options{
			Gateway: set.Name, Incarnation: incarnation, Zone: set.Zone, QueueMax: set.MaxQueue,
			Budget:   scheduling.BudgetOptions{Ratio: set.RetryBudget.Ratio, Slack: set.RetryBudget.Slack, WindowUs: set.RetryBudget.WindowMs * clock.Ms},
			Patience: scheduling.PatienceOptions{LeastMs: set.FirstTokenTimeout.MinMs, Aims: set.FirstTokenTimeout.LatencyTargets, Gaps: set.FirstTokenTimeout.TokenGaps},
			Outlier:  set.Outlier.Options(), Disable: set.Disable,
		}),
		act: actor.New(mailboxMost), waiting: map[string]*caller{},
		streams: map[uint64]context.CancelFunc{}, declared: make(chan struct{}), Room: &Room{Most: int64(set.MemoryMB) << 20 / roomShare},
	}
	opts := controlclient.Options{Gateway: set.Name, Incarnation: incarnation, Addr: set.Advertise, Zone: set.Zone, Seeds: set.Seeds}
	h.subscriber = controlclient.New(opts)
	if set.Attempts == settings.DeclaredAttempts {
		h.mirror = controlclient.NewMirror(opts)
	}
	return h
}

// Counted says, before Run, who knows how many connections to each replica are open.
func (h *Host) Counted(open func() map[string]int) { h.open = open }

// Enter adds a door before Run.
func (h *Host) Enter(d Door) { h.doors = append(h.doors, d) }

// Run serves until ctx ends, then drains: what waits and what streams is given its time.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.set.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	every := tickEvery
	if h.mirror != nil {
		every = mirrorTick
	}
	h.act.Spawn(func() { h.act.Loop(every, h.tick) })
	_ = h.log.Log("event", "started", "inc", h.incarnation, "disabled", h.set.Disable.String())
	failed := make(chan error, len(h.doors))
	for _, d := range h.doors {
		go func() {
			if err := d.Serve(); err != nil {
				failed <- err
			}
		}()
	}
	select {
	case <-ctx.Done():
	case err := <-failed:
		_ = server.Close()
		h.act.End()
		return errors.Trace(err)
	}
	h.tell(scheduling.Event{Drain: true})
	h.leaveDoors()
	deadline := time.NewTimer(time.Duration(h.set.DrainMs) * time.Millisecond)
	defer deadline.Stop()
	look := time.NewTicker(20 * time.Millisecond)
	defer look.Stop()
	for left := true; left; {
		select {
		case <-deadline.C:
			h.ring.Dump("the drain ran out of time with calls still open")
			left = false
		case <-look.C:
			left = h.calls.Load() > 0
		}
	}
	closing, done := context.WithTimeout(context.Background(), 2*time.Second)
	defer done()
	err = server.Shutdown(closing)
	_ = server.Close()
	h.act.End()
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Trace(err)
	}
	return nil
}

// leaveDoors lets those in who were on their way, then takes nobody new and waits for those inside.
func (h *Host) leaveDoors() {
	if len(h.doors) == 0 {
		return
	}
	for _, d := range h.doors {
		d.Linger()
	}
	linger := time.NewTimer(time.Duration(h.set.LingerMs) * time.Millisecond)
	defer linger.Stop()
	<-linger.C
	h.tell(scheduling.Event{Close: true})
	closing, done := context.WithTimeout(context.Background(), time.Duration(max(h.set.DrainMs-h.set.LingerMs, 100))*time.Millisecond)
	defer done()
	for _, d := range h.doors {
		_ = d.Shutdown(closing)
	}
}

// tick also notes when this process woke after a gap: its lease has run out by itself.
func (h *Host) tick() {
	nowUs := clock.NowUs()
	if h.lastUs > 0 && nowUs-h.lastUs > gapUs {
		_ = h.log.Log("event", "woke after a gap", "gapMs", (nowUs-h.lastUs)/1000)
	}
	h.lastUs = nowUs
	h.step(scheduling.Event{})
	if h.mirror != nil {
		h.reflect(controlclient.MirrorEvent{})
		return
	}
	h.subscribe(controlclient.Event{})
}

func (h *Host) tell(ev scheduling.Event) { h.act.Tell(func() { h.step(ev) }) }

func (h *Host) do(act func()) bool { return h.act.Do(h.act.Ctx, act) }

func (h *Host) step(ev scheduling.Event) {
	ev.NowUs = clock.NowUs()
	urgent := false
	defer func() {
		if urgent && h.mirror != nil {
			h.reflect(controlclient.MirrorEvent{Urgent: true})
		}
	}()
	for _, e := range h.decider.Step(ev) {
		switch {
		case e.Start != nil:
			h.hand(e.Start.Call.ID, e)
		case e.Give != nil:
			h.hand(e.Give.Call.ID, e)
		case e.Over != nil:
			h.hand(e.Over.Call.ID, e)
		case e.Unplaced:
			urgent = true
		case e.Cancel != "":
			if c := h.waiting[e.Cancel]; c != nil {
				c.stop()
			}
		}
	}
}

func (h *Host) hand(id string, e scheduling.Effect) {
	c := h.waiting[id]
	if c == nil {
		if e.Start != nil {
			h.step(scheduling.Event{Gone: id})
			h.step(scheduling.Event{Ended: &scheduling.Ended{Call: id, Attempt: e.Start.Attempt, Ending: scheduling.Unsent}})
		}
		return
	}
	if e.Start == nil {
		delete(h.waiting, id)
	}
	c.next <- e
}
