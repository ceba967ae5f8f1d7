package gateway

import (
	"context"
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
	"petreltide/internal/process/httpserver"
	"petreltide/internal/process/logring"
	"petreltide/internal/process/randomid"
	"petreltide/internal/process/rpc"
)

const (
	// tickInterval is the interval between ticks of the reducers.
	tickInterval = 20 * time.Millisecond
	// informerTickInterval replaces tickInterval at a gateway with an informer, whose timers are longer.
	informerTickInterval = 50 * time.Millisecond
	// maxTickGapUs is the longest gap between two ticks, in microseconds, for which the process counts as having run all the time.
	maxTickGapUs = 500 * clock.Ms
	// submitTimeout bounds how long a call waits for the control nodes to record its idempotency key.
	submitTimeout = 2500 * time.Millisecond
	// cancelTimeout bounds the wait for a replica to confirm that a canceled attempt has ended and freed its slot.
	cancelTimeout = 2 * time.Second
	// continueTimeout bounds the wait for a replica's 100 Continue before the body of an attempt is sent.
	continueTimeout = time.Second
	// mailboxCapacity is the number of functions that can be queued for the actor.
	mailboxCapacity = 16384
)

// Host runs one gateway: its listeners, its connections to the control nodes, and its decider, which only its actor accesses.
type Host struct {
	settings settings.Gateway
	// incarnation distinguishes this process from earlier ones with the same name.
	incarnation string
	decider     *scheduling.Decider
	ring        *logring.Ring
	// info and warn are loggers with a fixed level, created once so that no logger is created while a request is served.
	info log.Logger
	warn log.Logger
	// nodeClient calls the control nodes and cancels attempts; attemptClient opens a new connection for each attempt.
	nodeClient    *http.Client
	attemptClient *http.Client

	// snapshot is the newest control state, which any goroutine may load; nil before the first.
	snapshot atomic.Pointer[scheduling.Snapshot]
	// leaseUs is the time until which this gateway may send attempts, in microseconds; 0 without a lease.
	leaseUs atomic.Int64
	// currentUs is when the newest frame arrived from a control node that was up to date, in microseconds; 0 before the first.
	// The gateway is current while this time is recent (isCurrent).
	currentUs atomic.Int64
	// wokeUs is when this process went on after the latest gap in which it did not run, and steppedUs when the informer was last stepped;
	// both in microseconds, 0 before the first.
	wokeUs, steppedUs atomic.Int64
	// updates wakes held lookups when a newer declaration arrives or the gateway becomes current again.
	updates *broadcast
	// heldLookups counts the requests that are held because their route or key is unknown.
	heldLookups atomic.Int64
	// heldAfterWake counts the requests that are held because this gateway has just woken.
	heldAfterWake atomic.Int64
	// maxLookupHoldUs is the constant of the same name, except in tests.
	maxLookupHoldUs int64
	// activeCalls counts the calls and key submissions that a drain waits for.
	activeCalls atomic.Int64
	// runningAttempts counts the attempts that an Exchange is running. Apart from those on their way to or from the actor, the decider
	// counts the same ones as open.
	runningAttempts atomic.Int64
	// callNumber is the last number that was assigned to a call without an ID.
	callNumber atomic.Int64

	// act owns the fields from here to admissions, except membership, which any goroutine may load.
	act              *actor.Actor
	lastTickUs       int64
	openAttemptAudit attemptAudit
	// workers are the goroutines that wait for decisions, by call ID.
	workers      map[string]*callWorker
	membership   atomic.Pointer[wire.MembershipResponse]
	subscriber   *controlclient.Subscriber
	cancelFollow context.CancelFunc

	// informer replaces subscriber if calls are routed by the routes of the declaration; nil otherwise.
	informer *controlclient.Informer
	// streams cancel the informer's open streams, by stream number.
	streams map[uint64]context.CancelFunc
	// quota requests admission for the calls of tenants with a limit.
	quota *quota.Client
	// admissions are the channels, by call ID, on which waiting goroutines receive the quota decision for their call.
	admissions map[string]chan<- quota.Decision
	// serverLimits bound what the callers of the own interface take.
	serverLimits httpserver.Limits
	// server serves the own interface once Run has started.
	server *httpserver.Server
	// listeners does not change after Run has started.
	listeners []Listener
	// declared is closed once this gateway has a declaration.
	declared chan struct{}
	// openConnections returns the number of open connections by replica; nil if this gateway does not pool connections.
	openConnections func() map[string]int
	// Memory bounds the request and response bodies of all listeners together.
	Memory *MemoryLimit
}

// Listener accepts the calls of an interface other than the native one and passes them to Host.Serve.
type Listener interface {
	Serve() error
	// BeginDrain announces that no new callers are wanted. Calls that still arrive are served.
	BeginDrain()
	Shutdown(ctx context.Context) error
}

// callWorker is the goroutine that runs one call and waits for the decider. Only the actor accesses the fields other than next.
type callWorker struct {
	next            chan scheduling.Effect
	cancel          context.CancelFunc
	cancelRequested bool
	// finished means that the decider has ended the call, so that nothing of it is left to release.
	finished bool
}

// setCancel sets the function that cancels the running attempt; nil if none is running. If a cancellation was requested before, it
// calls the function at once.
func (c *callWorker) setCancel(cancel context.CancelFunc) {
	c.cancel = cancel
	if cancel != nil && c.cancelRequested {
		cancel()
	}
	c.cancelRequested = false
}

// requestCancel cancels the running attempt, or the next one if none is running.
func (c *callWorker) requestCancel() {
	if c.cancel == nil {
		c.cancelRequested = true
		return
	}
	c.cancel()
}

// Open creates a gateway without listening; Run serves.
func Open(set settings.Gateway, ring *logring.Ring) *Host {
	incarnation := randomid.New(6)
	logger := ring.Logger("gateway", set.Name)
	attempts := rpc.Client(400, set.Listen)
	attempts.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	attempts.Transport.(*http.Transport).DisableKeepAlives = true
	attempts.Transport.(*http.Transport).ExpectContinueTimeout = continueTimeout
	h := &Host{
		settings: set, serverLimits: httpserver.SoleLimits(httpserver.Machine{MemoryBytes: int64(set.MemoryMB) << 20}), incarnation: incarnation, ring: ring, info: level.Info(logger), warn: level.Warn(logger), nodeClient: rpc.NodeClient(400, set.Listen), attemptClient: attempts,
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

// SetConnectionCounter sets the function that returns the number of open connections by replica. It must be called before Run.
func (h *Host) SetConnectionCounter(open func() map[string]int) { h.openConnections = open }

// SetServerLimits sets the limits of the host's own interface. It must be called before Run.
func (h *Host) SetServerLimits(limits httpserver.Limits) { h.serverLimits = limits }

// AddListener adds a listener. It must be called before Run.
func (h *Host) AddListener(l Listener) { h.listeners = append(h.listeners, l) }

// Run serves until ctx is done, then drains: queued calls and open streams have up to DrainMs to end.
func (h *Host) Run(ctx context.Context) error {
	server := httpserver.New(h.handler(), h.serverLimits)
	h.server = server
	listener, err := server.Listen(h.settings.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	go func() { _ = server.Serve(listener) }()
	interval := tickInterval
	if h.informer != nil {
		interval = informerTickInterval
	}
	h.act.Spawn(func() { h.act.Loop(interval, h.tick) })
	_ = h.info.Log("msg", "started", "incarnation", h.incarnation, "disabled", h.settings.Disable.String())
	failed := make(chan error, len(h.listeners))
	for _, l := range h.listeners {
		go func() {
			if err := l.Serve(); err != nil {
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
	closing, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	err = server.Shutdown(closing)
	_ = server.Close()
	h.act.End()
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return errors.Trace(err)
	}
	return nil
}

// drainListeners keeps accepting callers for LingerMs, since some are already on their way, then closes the listeners and waits
// for the remaining calls.
func (h *Host) drainListeners() {
	if len(h.listeners) == 0 {
		return
	}
	for _, l := range h.listeners {
		l.BeginDrain()
	}
	linger := time.NewTimer(time.Duration(h.settings.LingerMs) * time.Millisecond)
	defer linger.Stop()
	<-linger.C
	h.post(scheduling.DrainEnded{})
	closing, cancel := context.WithTimeout(context.Background(), time.Duration(max(h.settings.DrainMs-h.settings.LingerMs, 100))*time.Millisecond)
	defer cancel()
	for _, l := range h.listeners {
		_ = l.Shutdown(closing)
	}
}

// tick advances the reducers. It logs a gap in which the process did not run; a lease needs no handling, since it has expired by
// itself.
func (h *Host) tick() {
	nowUs := clock.NowUs()
	if h.lastTickUs > 0 && nowUs-h.lastTickUs > maxTickGapUs {
		_ = h.warn.Log("msg", "woke after a gap", "gapMs", (nowUs-h.lastTickUs)/1000)
	}
	h.lastTickUs = nowUs
	h.step(scheduling.Tick{})
	if leaked := h.openAttemptAudit.record(nowUs, h.decider.OpenAttempts()-int(h.runningAttempts.Load())); leaked > 0 {
		_ = h.warn.Log("msg", "open attempts that nothing runs", "count", leaked)
	}
	if h.informer != nil {
		h.stepInformer(controlclient.InformerEvent{})
		h.stepQuota(quota.Tick{})
		return
	}
	h.stepSubscriber(controlclient.Event{})
}

// post queues an event for the decider.
func (h *Host) post(ev scheduling.Event) { h.act.Tell(func() { h.step(ev) }) }

// do runs act on the actor and waits for it. It returns false if the actor has ended.
func (h *Host) do(act func()) bool { return h.act.Do(h.act.Ctx, act) }

// step passes an event to the decider and executes the resulting effects. It runs on the actor.
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

// deliver passes an effect to the worker of its call. If that worker has ended, an attempt that was to start ends as unsent.
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
		c.finished = true
		delete(h.workers, id)
	}
	c.next <- e
}
