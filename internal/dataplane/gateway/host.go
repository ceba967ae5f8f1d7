package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/controlclient"
	"petreltide/internal/dataplane/quota"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
	"petreltide/internal/process/randomid"
	"petreltide/internal/process/rpc"
)

const (
	// tickInterval is how often the decider sees time pass; informerTickInterval is that of a gateway with an informer,
	// whose timers are longer.
	tickInterval         = 20 * time.Millisecond
	informerTickInterval = 50 * time.Millisecond
	// maxTickGapUs between two ticks means that the process did not run meanwhile.
	maxTickGapUs = 500 * clock.Ms
	// submitTimeout bounds how long a caller waits for an idempotency key to be recorded by the control nodes.
	submitTimeout = 2500 * time.Millisecond
	// cancelTimeout bounds how long a replica's slot is awaited after its attempt was cancelled.
	cancelTimeout = 2 * time.Second
	// continueTimeout is how long a replica may take to ask for an attempt's body (Expect: 100-continue).
	continueTimeout = time.Second
	// mailboxCapacity is how many functions may wait for the actor.
	mailboxCapacity = 16384
)

// Host runs one gateway: its listeners, its connection to the control nodes and its decider, which only its actor
// touches.
type Host struct {
	settings settings.Gateway
	// incarnation tells this process from earlier ones of the same name.
	incarnation string
	decider     *scheduling.Decider
	ring        *logring.Ring
	// info and warn are loggers of a level, made once: none is made on the path of a request.
	info log.Logger
	warn log.Logger
	// nodeClient speaks to control nodes, and cancels attempts; attemptClient opens a connection for each attempt.
	nodeClient    *http.Client
	attemptClient *http.Client

	// snapshot is the newest control state, read without the actor; nil before the first.
	snapshot atomic.Pointer[scheduling.Snapshot]
	// leaseUs is the instant until which this gateway may send attempts, in microseconds; 0 without a lease.
	leaseUs atomic.Int64
	// currentUs is the instant of the newest frame of a control node that was current, in microseconds; 0 before the first.
	currentUs atomic.Int64
	// news wakes requests whose route or key is not known once a newer declaration is here, or a current control node is heard again;
	// heldLookups counts them.
	updates     *broadcast
	heldLookups atomic.Int64
	// maxLookupHoldUs is maxLookupHoldUs but in tests.
	maxLookupHoldUs int64
	// activeCalls counts what a drain waits for; callNumber is the last one given to a call without an ID.
	activeCalls atomic.Int64
	callNumber  atomic.Int64

	// act owns everything from here to streams.
	act        *actor.Actor
	lastTickUs int64
	// callers are the goroutines that wait for a decision, by the call's ID.
	workers      map[string]*callWorker
	membership   atomic.Pointer[wire.MembershipResponse]
	subscriber   *controlclient.Subscriber
	cancelFollow context.CancelFunc

	// informer takes the place of subscriber where calls come by routes; nil otherwise. streams are its open ones, by number.
	informer *controlclient.Informer
	streams  map[uint64]context.CancelFunc
	// quota asks whether calls of tenants with a limit may run; admissions are the goroutines that wait for that, by the call's ID.
	quota      *quota.Client
	admissions map[string]chan<- quota.Decision
	// listeners are fixed once Run begins.
	listeners []Listener
	// declared is closed once this gateway has a declaration.
	declared chan struct{}
	// openConnections counts connections by replica; nil where nobody keeps any.
	openConnections func() map[string]int
	// Memory bounds the bodies and answers of all listeners together.
	Memory *MemoryLimit
}

// Listener is a listener of another interface than this one's own: it takes calls and hands them to Serve.
type Listener interface {
	Serve() error
	// BeginDrain says that no new callers are wanted; those that come are served.
	BeginDrain()
	Shutdown(ctx context.Context) error
}

// caller is a goroutine that carries one call and waits for the decider. Only the actor touches cancel and
// cancelRequested.
type callWorker struct {
	next            chan scheduling.Effect
	cancel          context.CancelFunc
	cancelRequested bool
}

func (c *callWorker) setCancel(cancel context.CancelFunc) {
	c.cancel = cancel
	if cancel != nil && c.cancelRequested {
		cancel()
	}
	c.cancelRequested = false
}

func (c *callWorker) requestCancel() {
	if c.cancel == nil {
		c.cancelRequested = true
		return
	}
	c.cancel()
}

// Open prepares a gateway; Run serves.
func Open(set settings.Gateway, ring *logring.Ring) *Host {
	incarnation := randomid.New(6)
	logger := ring.Logger("gateway", set.Name)
	attempts := rpc.Client(400, set.Listen)
	attempts.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	attempts.Transport.(*http.Transport).DisableKeepAlives = true
	attempts.Transport.(*http.Transport).ExpectContinueTimeout = continueTimeout
	h := &Host{
		settings: set, incarnation: incarnation, ring: ring, info: level.Info(logger), warn: level.Warn(logger), nodeClient: rpc.NodeClient(400, set.Listen), attemptClient: attempts,
		decider: scheduling.New(scheduling.Options{
			Gateway: set.Name, Incarnation: incarnation, Zone: set.Zone, QueueMax: set.MaxQueue,
			RetryBudget: scheduling.RetryBudgetOptions{Ratio: set.RetryBudget.Ratio, Slack: set.RetryBudget.Slack, WindowUs: set.RetryBudget.WindowMs * clock.Ms},
			MaxWait:     scheduling.MaxWaitOptions{MinMs: set.FirstTokenTimeout.MinMs, TargetFactor: set.FirstTokenTimeout.LatencyTargets, GapFactor: set.FirstTokenTimeout.TokenGaps},
			Outlier:     set.Outlier.Options(), Disable: set.Disable,
		}),
		act: actor.New(mailboxCapacity), workers: map[string]*callWorker{},
		quota: quota.NewClient(set.Name), admissions: map[string]chan<- quota.Decision{},
		streams: map[uint64]context.CancelFunc{}, declared: make(chan struct{}), updates: newBroadcast(), maxLookupHoldUs: maxLookupHoldUs, Memory: &MemoryLimit{MaxBytes: int64(set.MemoryMB) << 20 / memoryDivisor},
	}
	opts := controlclient.Options{Gateway: set.Name, Incarnation: incarnation, Addr: set.Advertise, Zone: set.Zone, Seeds: set.Seeds}
	h.subscriber = controlclient.New(opts)
	if set.Attempts == settings.LeaselessAttempts {
		h.informer = controlclient.NewInformer(opts)
	}
	return h
}

// SetConnectionCounter says, before Run, who knows how many connections to each replica are open.
func (h *Host) SetConnectionCounter(open func() map[string]int) { h.openConnections = open }

// AddListener adds a listener before Run.
func (h *Host) AddListener(d Listener) { h.listeners = append(h.listeners, d) }

// Run serves until ctx ends, then drains: what waits and what streams is given its time.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	interval := tickInterval
	if h.informer != nil {
		interval = informerTickInterval
	}
	h.act.Spawn(func() { h.act.Loop(interval, h.tick) })
	_ = h.info.Log("msg", "started", "incarnation", h.incarnation, "disabled", h.settings.Disable.String())
	failed := make(chan error, len(h.listeners))
	for _, d := range h.listeners {
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
	h.post(scheduling.DrainStarted{})
	h.drainListeners()
	deadline := time.NewTimer(time.Duration(h.settings.DrainMs) * time.Millisecond)
	defer deadline.Stop()
	poll := time.NewTicker(20 * time.Millisecond)
	defer poll.Stop()
	for hasActiveCalls := true; hasActiveCalls; {
		select {
		case <-deadline.C:
			h.ring.Dump("the drain ran out of time with calls still open")
			hasActiveCalls = false
		case <-poll.C:
			hasActiveCalls = h.activeCalls.Load() > 0
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

// drainListeners lets those in who were on their way, then takes nobody new and waits for those inside.
func (h *Host) drainListeners() {
	if len(h.listeners) == 0 {
		return
	}
	for _, d := range h.listeners {
		d.BeginDrain()
	}
	linger := time.NewTimer(time.Duration(h.settings.LingerMs) * time.Millisecond)
	defer linger.Stop()
	<-linger.C
	h.post(scheduling.DrainEnded{})
	closing, done := context.WithTimeout(context.Background(), time.Duration(max(h.settings.DrainMs-h.settings.LingerMs, 100))*time.Millisecond)
	defer done()
	for _, d := range h.listeners {
		_ = d.Shutdown(closing)
	}
}

// tick also logs when this process woke after a gap; a lease, if it holds one, has run out by itself.
func (h *Host) tick() {
	nowUs := clock.NowUs()
	if h.lastTickUs > 0 && nowUs-h.lastTickUs > maxTickGapUs {
		_ = h.warn.Log("msg", "woke after a gap", "gapMs", (nowUs-h.lastTickUs)/1000)
	}
	h.lastTickUs = nowUs
	h.step(scheduling.Tick{})
	if h.informer != nil {
		h.stepInformer(controlclient.InformerEvent{})
		h.stepQuota(quota.Tick{})
		return
	}
	h.stepSubscriber(controlclient.Event{})
}

func (h *Host) post(ev scheduling.Event) { h.act.Tell(func() { h.step(ev) }) }

func (h *Host) do(act func()) bool { return h.act.Do(h.act.Ctx, act) }

func (h *Host) step(ev scheduling.Event) {
	urgent := false
	defer func() {
		if urgent && h.informer != nil {
			h.stepInformer(controlclient.InformerEvent{Urgent: true})
		}
	}()
	for _, e := range h.decider.Step(clock.NowUs(), ev) {
		switch e := e.(type) {
		case *scheduling.AttemptStart:
			h.deliver(e.Call.ID, e)
		case *scheduling.CallFailed:
			h.deliver(e.Call.ID, e)
		case *scheduling.CallFinished:
			h.deliver(e.Call.ID, e)
		case scheduling.CallUnplaced:
			urgent = true
		case scheduling.CancelAttempt:
			if c := h.workers[e.Call.ID]; c != nil {
				c.requestCancel()
			}
		}
	}
}

func (h *Host) deliver(id string, e scheduling.Effect) {
	c := h.workers[id]
	start, starts := e.(*scheduling.AttemptStart)
	if c == nil {
		if starts {
			h.step(scheduling.CallCanceled{Call: id})
			h.step(scheduling.AttemptEnded{Call: id, Attempt: start.Attempt, Outcome: scheduling.OutcomeUnsent})
		}
		return
	}
	if !starts {
		delete(h.workers, id)
	}
	c.next <- e
}
