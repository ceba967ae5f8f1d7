package controlnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/juju/errors"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/settings"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
	"petreltide/internal/process/rpc"
)

const (
	tickInterval     = 25 * time.Millisecond
	mailboxCapacity  = 8192
	outboxCapacity   = 1024
	changeTimeout    = 8 * time.Second
	peerTimeout      = 15 * time.Second
	submitTimeout    = 2 * time.Second
	resubmitInterval = 400 * time.Millisecond
	replicaTimeout   = time.Duration(controller.OrderFlightUs) * time.Microsecond
	platformTimeout  = 800 * time.Millisecond

	discoveryIntervalSettled = 5 * time.Second
	// lockTimeout is how long a control node waits for the process before it to let go of the data folder.
	lockTimeout       = 10 * time.Second
	peerDialTimeoutMs = 250
	selfHeartbeatUs   = 200 * clock.Ms
	selfSuspectUs     = 800 * clock.Ms
	selfLeaseUs       = 700 * clock.Ms
	selfCompareUs     = 900 * clock.Ms
	selfGatherUs      = 1300 * clock.Ms
	selfAskUs         = 200 * clock.Ms
)

// RandomID is as many random bytes, in hexadecimal.
func RandomID(bytes int) string {
	raw := make([]byte, bytes)
	if _, err := rand.Read(raw); err != nil {
		panic(err)
	}
	return hex.EncodeToString(raw)
}

// Host runs a Core: it gives it events one at a time and carries out its effects on disk, network and clock.
type Host struct {
	settings      settings.ControlNode
	core          *Core
	disk          disk
	lock          *storage.DirLock
	ring          *logring.Ring
	log           log.Logger
	replicaClient *http.Client
	peerClient    *http.Client

	act        *actor.Actor
	saveQueue  *saveQueue
	retryTimer func() <-chan time.Time
	outboxes   map[string]chan peering.Message
	transfers  map[string]*stateTransfer
	// waiters are the callers that wait for the outcome of a change, by its id.
	waiters          map[string][]chan wire.Result
	leases           map[uint64]chan wire.Lease
	acknowledgements map[uint64]chan bool
	lastWaiter       uint64
	newsStreams      map[string]*newsStream
	rebuilding       bool
	fatal            chan error

	seeds        atomic.Pointer[[]string]
	replicas     ReplicaTransport
	frameStreams map[string]*frameStream
	listeners    []Listener
}

// ReplicaTransport is how the controller reaches replicas and learns which there are.
type ReplicaTransport interface {
	// List is the platform's list; nil where replicas make themselves known.
	List(ctx context.Context) (*wire.ReplicaList, error)
	State(ctx context.Context, replica, addr string) (*wire.ReplicaState, error)
	Order(ctx context.Context, addr string, order wire.Order) (wire.OrderState, error)
}

// Listener is a listener of another interface than this one's own.
type Listener interface {
	Serve() error
	Shutdown(ctx context.Context) error
}

// SetReplicaTransport replaces how replicas are reached, before Run.
func (h *Host) SetReplicaTransport(r ReplicaTransport) { h.replicas = r }

// SetSeeds are other control nodes for first contact, where the ones in the settings have changed.
func (h *Host) SetSeeds(addrs []string) { h.seeds.Store(&addrs) }

// AddListener adds a door before Run.
func (h *Host) AddListener(d Listener) { h.listeners = append(h.listeners, d) }

type newsStream struct {
	latest chan wire.GatewayUpdate
}

// Open reads the data folder. Damaged data is set aside under a name that says so and the
// control node comes back as a new member; it never votes on what it can no longer know.
func Open(set settings.ControlNode, ring *logring.Ring) (*Host, error) {
	logger := ring.Logger("office", set.Name)
	lock, err := storage.Lock(set.DataDir, set.Name, lockTimeout)
	if err != nil {
		return nil, errors.Trace(err)
	}
	h, err := openLocked(set, ring, logger)
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	lock.WriteOwner(set.Name)
	h.lock = lock
	return h, nil
}

func openLocked(set settings.ControlNode, ring *logring.Ring, logger log.Logger) (*Host, error) {
	seal := chain.Owner{MemberID: set.Name + "-" + RandomID(4), Name: set.Name}
	opened, err := storage.Open(set.DataDir, seal)
	var bad *fault.Fault
	founding := set.FoundingSize
	if errors.As(err, &bad) && bad.Code == fault.DamagedData {
		kept, moveErr := storage.Quarantine(set.DataDir, RandomID(4))
		if moveErr != nil {
			return nil, errors.Trace(moveErr)
		}
		_ = logger.Log("event", "damaged data set aside", "kept", kept, "why", bad.Error())
		ring.Dump("stored data is damaged (" + bad.Error() + "); it is kept in " + kept + " and will be copied from partners")
		opened, err = storage.Open(set.DataDir, seal)
	}
	if err != nil {
		return nil, err
	}
	if opened.TornBytes > 0 {
		_ = logger.Log("event", "cut a torn last record", "bytes", opened.TornBytes)
	}
	if opened.WriteErr != nil {
		_ = logger.Log("event", "the disk takes no bytes", "err", opened.WriteErr)
	}
	me := chain.Member{ID: opened.Store.Owner().MemberID, Name: set.Name, Addr: set.Advertise, Zone: set.Zone}
	if kept, _ := filepath.Glob(filepath.Join(set.DataDir, "chain.damaged-*")); opened.Created && len(kept) > 0 {
		founding = 0
	}
	opts := chain.Options{
		Self: me, Incarnation: RandomID(6), BootstrapCount: founding, MinReplicas: set.MinReplicas, MinZones: set.MinZones, AutoMembership: set.Membership == settings.AutomaticMembership,
		Unsynced: opened.WriteErr != nil,
	}
	if opts.AutoMembership {
		opts = SelfPaced(opts)
	}
	if opened.Created {
		opts.BootstrapAddrs, opts.FirstStart = set.Founders, len(set.Founders) > 0
	}
	node, err := chain.NewNode(opts, opened.Records, clock.NowUs())
	if err != nil {
		return nil, fault.New(fault.DamagedData, set.DataDir, "%v", err)
	}
	core := NewCoreWith(node, CoreOptions{
		UnreachableUs: set.HeartbeatMs * 5 / 2 * clock.Ms,
		Controller: controller.Options{
			LeaseUs: set.LeaseMs * clock.Ms, StoreWindowUs: set.StoreWindowMs * clock.Ms, StoreOvershoot: set.StoreOvershoot,
			Outlier: set.Outlier.OptionsWithout(set.Disable), Disable: set.Disable,
		},
	})
	h := &Host{
		settings: set, core: core, disk: opened.Store, ring: ring, log: logger,
		replicaClient: rpc.Client(500, set.Listen), peerClient: rpc.NodeClient(peerDialTimeoutMs, set.Listen),
		act: actor.New(mailboxCapacity), saveQueue: newSaveQueue(), retryTimer: func() <-chan time.Time { return time.After(diskRetryInterval) },
		outboxes: map[string]chan peering.Message{}, transfers: map[string]*stateTransfer{}, waiters: map[string][]chan wire.Result{}, leases: map[uint64]chan wire.Lease{}, acknowledgements: map[uint64]chan bool{},
		newsStreams: map[string]*newsStream{}, rebuilding: opened.Created && founding == 0 && len(set.Founders) == 0, fatal: make(chan error, 1),
		frameStreams: map[string]*frameStream{},
	}
	h.replicas = &declaredReplicas{h}
	h.seeds.Store(&set.Seeds)
	return h, nil
}

// SelfPaced gives a chain whose control nodes take in and drop each other the times that they keep to.
func SelfPaced(order chain.Options) chain.Options {
	order.HelloIntervalUs, order.HeartbeatIntervalUs, order.SuspectTimeoutUs = selfHeartbeatUs, selfHeartbeatUs, selfSuspectUs
	order.LeaseDurationUs, order.VoteRecoveryTimeoutUs, order.GatherTimeoutUs, order.PrepareTimeoutUs = selfLeaseUs, selfCompareUs, selfGatherUs, selfAskUs
	return order
}

// Run serves until ctx ends. A disk that refuses or hangs does not end it.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	_ = h.log.Log("event", "started", "id", h.core.Node.Self().ID, "phase", string(h.core.Node.Phase()), "disabled", h.settings.Disable.String())
	h.act.Spawn(func() { h.act.Loop(tickInterval, func() { h.step(Tick{}) }) })
	h.act.Spawn(h.persistLoop)
	h.act.Spawn(h.discoverPeers)
	for _, d := range h.listeners {
		go func() {
			if err := d.Serve(); err != nil {
				select {
				case h.fatal <- err:
				default:
				}
			}
		}()
	}
	if h.rebuilding {
		h.act.Spawn(h.failWithoutPeer)
	}
	var failure error
	select {
	case <-ctx.Done():
		h.leave()
	case failure = <-h.fatal:
		h.ring.Dump("stopping: " + failure.Error())
	}
	h.act.Stop()
	closing, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	for _, d := range h.listeners {
		_ = d.Shutdown(closing)
	}
	_ = server.Shutdown(closing)
	_ = server.Close()
	h.act.End()
	return errors.Trace(firstError(failure, h.disk.Close(), h.lock.Close()))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) post(event Event) { h.act.Tell(func() { h.step(event) }) }

// step gives the reducer one event and carries out its effects; it runs on the actor.
func (h *Host) step(event Event) {
	for _, effect := range h.core.Step(clock.NowUs(), event) {
		switch effect := effect.(type) {
		case SendMessage:
			h.send(effect.Addr, effect.Message)
		case PersistSave:
			h.saveQueue.put(*effect.Save)
		case PushUpdate:
			h.pushNews(effect.Push.Gateway, effect.Push.Update)
		case PushFrame:
			h.pushFrame(effect.Push.Gateway, effect.Push.Frame)
		case DeliverResult:
			h.deliverResult(*effect.Result)
		case ReplyLease:
			if reply := h.leases[effect.Reply]; reply != nil {
				reply <- effect.Lease
				delete(h.leases, effect.Reply)
			}
		case AcknowledgeReplica:
			if reply := h.acknowledgements[effect.Reply]; reply != nil {
				reply <- effect.OK
				delete(h.acknowledgements, effect.Reply)
			}
		case RunController:
			h.controller(effect.Effect)
		case ChangeApplied:
			// Only the simulator follows what is applied.
		case LogMessage:
			_ = h.log.Log("event", effect.Message, "what", effect.Detail, "number", h.core.Node.View().Number)
		}
	}
}

func (h *Host) send(addr string, message peering.Message) {
	if addr == "" || addr == h.settings.Advertise {
		return
	}
	if message.Chain.CarriesSnapshot() {
		h.sendState(addr, message)
		return
	}
	box := h.outboxes[addr]
	if box == nil {
		box = make(chan peering.Message, outboxCapacity)
		h.outboxes[addr] = box
		h.act.Spawn(func() { h.deliverBatches(addr, box) })
	}
	select {
	case box <- message:
	default:
	}
}

func (h *Host) deliverBatches(addr string, box chan peering.Message) {
	caller := rpc.NewCaller[peering.Batch, wire.Ack](h.peerClient, addr, rpc.BatchPath)
	for {
		batch := peering.Batch{}
		select {
		case <-h.act.Ctx.Done():
			return
		case message := <-box:
			batch.Messages = append(batch.Messages, message)
		}
		for more := true; more && len(batch.Messages) < 128; {
			select {
			case message := <-box:
				batch.Messages = append(batch.Messages, message)
			default:
				more = false
			}
		}
		ctx, done := context.WithTimeout(h.act.Ctx, time.Second)
		_, _ = caller.Call(ctx, &batch)
		done()
	}
}

func (h *Host) pushNews(gateway string, news wire.GatewayUpdate) {
	f := h.newsStreams[gateway]
	if f == nil {
		return
	}
	for {
		select {
		case f.latest <- news:
			return
		default:
		}
		select {
		case older := <-f.latest:
			if news.Declaration == nil {
				news.Declaration = older.Declaration
			}
		default:
		}
	}
}

// failWithoutPeer stops a control node that holds nothing, may found nothing, and meets no chain.
func (h *Host) failWithoutPeer() {
	select {
	case <-h.act.Ctx.Done():
		return
	case <-time.After(peerTimeout):
	}
	if alone, ran := actor.Ask(h.act.Ctx, h.act, func() bool { return h.core.Node.Phase() == chain.PhaseBootstrap }); ran && alone {
		select {
		case h.fatal <- fault.New(fault.DamagedData, h.settings.DataDir, "it holds no chain, and no partner was met within %v to copy one from; kept folders are untouched", peerTimeout):
		default:
		}
	}
}

// discoverPeers keeps asking the seeds, first contacts only, until the control nodes know each other.
func (h *Host) discoverPeers() {
	for {
		for _, seed := range *h.seeds.Load() {
			if seed == h.settings.Advertise {
				continue
			}
			ctx, done := context.WithTimeout(h.act.Ctx, 500*time.Millisecond)
			where, err := rpc.NewCaller[wire.MembershipRequest, wire.MembershipResponse](h.peerClient, seed, rpc.WherePath).Call(ctx, &wire.MembershipRequest{From: h.core.Node.Self()})
			done()
			if err != nil {
				continue
			}
			learned := []string{}
			for _, m := range where.ControlNodes {
				if m.Addr != h.settings.Advertise {
					learned = append(learned, m.Addr)
				}
			}
			h.post(LearnPeers{Addrs: learned})
		}
		span := time.Second
		if settled, ran := actor.Ask(h.act.Ctx, h.act, h.core.committed); ran && settled {
			span = discoveryIntervalSettled
		}
		select {
		case <-h.act.Ctx.Done():
			return
		case <-time.After(span):
		}
	}
}

func (h *Host) location() wire.MembershipResponse {
	w := wire.MembershipResponse{View: h.core.Node.View()}
	seen := map[string]bool{}
	add := func(m chain.Member) {
		if m.Addr != "" && !seen[m.Addr] {
			seen[m.Addr] = true
			w.ControlNodes = append(w.ControlNodes, m)
		}
	}
	add(h.core.Node.Self())
	for _, s := range w.View.Replicas {
		add(s.Member)
	}
	for _, p := range h.core.Node.Peers() {
		if p.Alive {
			add(p.Member)
		}
	}
	return w
}

func (h *Host) controller(effect controller.Effect) {
	switch effect := effect.(type) {
	case controller.PollPlatform:
		h.act.Spawn(h.pollList)
	case controller.ReportRequest:
		h.act.Spawn(func() { h.askReplica(effect) })
	case controller.SendOrder:
		_ = h.log.Log("event", "order", "ticket", effect.Order.Command.Number, "step", string(effect.Order.Command.Action),
			"unit", effect.Order.Command.Unit, "replica", effect.Order.Command.Replica, "epoch", effect.Order.Epoch)
		h.act.Spawn(func() { h.order(effect) })
	case controller.PolicyRun:
		h.act.Spawn(func() {
			done := controller.PolicyResult{Number: effect.Number, Revision: effect.Revision}
			done.Live = placement.Run(effect.Live, effect.Fleet)
			for _, s := range effect.Shadows {
				done.Shadows = append(done.Shadows, placement.Run(s, effect.Fleet))
			}
			h.post(ControllerInput{Event: done})
		})
	}
}

func (h *Host) pollList() {
	ctx, done := context.WithTimeout(h.act.Ctx, platformTimeout)
	defer done()
	listed := controller.PlatformListing{}
	var err error
	if listed.List, err = h.replicas.List(ctx); err != nil {
		listed = controller.PlatformListing{Err: err.Error()}
	}
	h.post(ControllerInput{Event: listed})
}

func (h *Host) askReplica(a controller.ReportRequest) {
	ctx, done := context.WithTimeout(h.act.Ctx, replicaTimeout)
	defer done()
	told := controller.ReplicaReport{RequestedUs: a.RequestedUs, Replica: a.Replica, Addr: a.Addr}
	var err error
	if told.State, err = h.replicas.State(ctx, a.Replica, a.Addr); err != nil {
		told.State, told.Err = nil, err.Error()
	}
	h.post(ControllerInput{Event: told})
}

func (h *Host) order(order controller.SendOrder) {
	ctx, done := context.WithTimeout(h.act.Ctx, replicaTimeout)
	defer done()
	state, err := h.replicas.Order(ctx, order.Addr, order.Order)
	_ = h.log.Log("event", "ordered", "ticket", order.Order.Command.Number, "state", state.State, "why", state.Reason, "err", err)
	if err != nil {
		state = wire.OrderState{Number: order.Order.Command.Number, State: wire.OrderInDoubt, Reason: err.Error()}
	}
	h.post(ControllerInput{Event: controller.OrderResult{Replica: order.Order.Command.Replica, Incarnation: order.Order.Command.Incarnation, Expected: order.Order.ExpectedOrders, State: state}})
}

// Submit carries a change to the head and waits for the tail's result.
func (h *Host) Submit(ctx context.Context, c statemachine.Change, wait time.Duration) (wire.Result, bool) {
	c.Origin = h.settings.Advertise
	waiter := make(chan wire.Result, 4)
	defer h.act.Tell(func() { h.removeWaiter(c.ID, waiter) })
	if !h.act.Do(ctx, func() { h.waiters[c.ID] = append(h.waiters[c.ID], waiter) }) {
		return wire.Result{}, false
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	again := time.NewTicker(resubmitInterval)
	defer again.Stop()
	h.post(SubmitChange{Change: &c})
	for {
		select {
		case r := <-waiter:
			if r.Outcome.Fault != nil && r.Outcome.Fault.Code == fault.NotServing {
				continue
			}
			return r, true
		case <-again.C:
			h.post(SubmitChange{Change: &c})
		case <-deadline.C:
			return wire.Result{}, false
		case <-ctx.Done():
			return wire.Result{}, false
		case <-h.act.Ctx.Done():
			return wire.Result{}, false
		}
	}
}
