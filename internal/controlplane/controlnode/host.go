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
	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
	"petreltide/internal/process/rpc"
)

const (
	tickEvery    = 25 * time.Millisecond
	mailboxMost  = 8192
	peerMost     = 1024
	answerWait   = 8 * time.Second
	peerWait     = 15 * time.Second
	keyWait      = 2 * time.Second
	resubmit     = 400 * time.Millisecond
	replicaWait  = time.Duration(controller.OrderFlightUs) * time.Microsecond
	platformWait = 800 * time.Millisecond

	seekSettled = 5 * time.Second
	// lockWait is how long a control node waits for the process before it to let go of the data folder.
	lockWait      = 10 * time.Second
	innerDialMs   = 250
	selfBeatUs    = 200 * clock.Ms
	selfSuspectUs = 800 * clock.Ms
	selfLeaseUs   = 700 * clock.Ms
	selfCompareUs = 900 * clock.Ms
	selfGatherUs  = 1300 * clock.Ms
	selfAskUs     = 200 * clock.Ms
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
	set   settings.ControlNode
	core  *Core
	disk  disk
	lock  *storage.DirLock
	ring  *logring.Ring
	log   log.Logger
	web   *http.Client
	inner *http.Client

	act   *actor.Actor
	saves *saveQueue
	pace  func() <-chan time.Time
	peers map[string]chan wire.Message
	bulk  map[string]*bulkSend
	// waiters are the callers that wait for the outcome of a change, by its id.
	waiters  map[string][]chan wire.Result
	replies  map[uint64]chan wire.Lease
	words    map[uint64]chan bool
	replySeq uint64
	follows  map[string]*followed
	rebuilds bool
	failed   chan error

	seeds    atomic.Pointer[[]string]
	replicas Replicas
	frames   map[string]*framed
	doors    []Door
}

// Replicas is how the controller reaches replicas and learns which there are.
type Replicas interface {
	// List is the platform's list; nil where replicas make themselves known.
	List(ctx context.Context) (*wire.ReplicaList, error)
	State(ctx context.Context, replica, addr string) (*wire.ReplicaState, error)
	Order(ctx context.Context, addr string, o wire.Order) (wire.OrderState, error)
}

// Door is a listener of another interface than this one's own.
type Door interface {
	Serve() error
	Shutdown(ctx context.Context) error
}

// Reach replaces how replicas are reached, before Run.
func (h *Host) Reach(r Replicas) { h.replicas = r }

// Seeds are other control nodes for first contact, where the ones in the settings have changed.
func (h *Host) Seeds(addrs []string) { h.seeds.Store(&addrs) }

// Enter adds a door before Run.
func (h *Host) Enter(d Door) { h.doors = append(h.doors, d) }

type followed struct {
	latest chan wire.GatewayUpdate
}

// Open reads the data folder. Damaged data is set aside under a name that says so and the
// control node comes back as a new member; it never votes on what it can no longer know.
func Open(set settings.ControlNode, ring *logring.Ring) (*Host, error) {
	logger := ring.Logger("office", set.Name)
	lock, err := storage.Lock(set.DataDir, set.Name, lockWait)
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
		set: set, core: core, disk: opened.Store, ring: ring, log: logger,
		web: rpc.Client(500, set.Listen), inner: rpc.NodeClient(innerDialMs, set.Listen),
		act: actor.New(mailboxMost), saves: newSaveQueue(), pace: func() <-chan time.Time { return time.After(retryEvery) },
		peers: map[string]chan wire.Message{}, bulk: map[string]*bulkSend{}, waiters: map[string][]chan wire.Result{}, replies: map[uint64]chan wire.Lease{}, words: map[uint64]chan bool{},
		follows: map[string]*followed{}, rebuilds: opened.Created && founding == 0 && len(set.Founders) == 0, failed: make(chan error, 1),
		frames: map[string]*framed{},
	}
	h.replicas = &listed{h}
	h.seeds.Store(&set.Seeds)
	return h, nil
}

// SelfPaced gives a chain whose control nodes take in and drop each other the times that they keep to.
func SelfPaced(o chain.Options) chain.Options {
	o.HelloIntervalUs, o.HeartbeatIntervalUs, o.SuspectTimeoutUs = selfBeatUs, selfBeatUs, selfSuspectUs
	o.LeaseDurationUs, o.VoteRecoveryTimeoutUs, o.GatherTimeoutUs, o.PrepareTimeoutUs = selfLeaseUs, selfCompareUs, selfGatherUs, selfAskUs
	return o
}

// Run serves until ctx ends. A disk that refuses or hangs does not end it.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.set.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	_ = h.log.Log("event", "started", "id", h.core.Node.Self().ID, "phase", string(h.core.Node.Phase()), "disabled", h.set.Disable.String())
	h.act.Spawn(func() { h.act.Loop(tickEvery, func() { h.step(Event{}) }) })
	h.act.Spawn(h.saver)
	h.act.Spawn(h.seeker)
	for _, d := range h.doors {
		go func() {
			if err := d.Serve(); err != nil {
				select {
				case h.failed <- err:
				default:
				}
			}
		}()
	}
	if h.rebuilds {
		h.act.Spawn(h.waitForPeer)
	}
	var failure error
	select {
	case <-ctx.Done():
		h.handOver()
	case failure = <-h.failed:
		h.ring.Dump("stopping: " + failure.Error())
	}
	h.act.Stop()
	closing, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	for _, d := range h.doors {
		_ = d.Shutdown(closing)
	}
	_ = server.Shutdown(closing)
	_ = server.Close()
	h.act.End()
	return errors.Trace(first(failure, h.disk.Close(), h.lock.Close()))
}

func first(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) tell(ev Event) { h.act.Tell(func() { h.step(ev) }) }

func (h *Host) step(ev Event) {
	ev.NowUs = clock.NowUs()
	for _, e := range h.core.Step(ev) {
		switch {
		case e.Message != nil:
			h.send(e.Message.Addr, e.Message.Message)
		case e.Save != nil:
			h.saves.put(*e.Save)
		case e.Push != nil:
			h.push(e.Push.Gateway, e.Push.Update)
		case e.Frame != nil:
			h.frame(e.Frame.Gateway, e.Frame.Frame)
		case e.Result != nil:
			h.answer(*e.Result)
		case e.Lease != nil:
			if reply := h.replies[e.Lease.Reply]; reply != nil {
				reply <- e.Lease.Lease
				delete(h.replies, e.Lease.Reply)
			}
		case e.Word != nil:
			if reply := h.words[e.Word.Reply]; reply != nil {
				reply <- e.Word.OK
				delete(h.words, e.Word.Reply)
			}
		case e.Controller != nil:
			h.controller(e.Controller)
		case e.Note != "":
			_ = h.log.Log("event", e.Note, "what", e.Trouble, "number", h.core.Node.View().Number)
		}
	}
}

func (h *Host) send(addr string, l wire.Message) {
	if addr == "" || addr == h.set.Advertise {
		return
	}
	if l.Chain.CarriesSnapshot() {
		h.sendBulk(addr, l)
		return
	}
	box := h.peers[addr]
	if box == nil {
		box = make(chan wire.Message, peerMost)
		h.peers[addr] = box
		h.act.Spawn(func() { h.carry(addr, box) })
	}
	select {
	case box <- l:
	default:
	}
}

func (h *Host) carry(addr string, box chan wire.Message) {
	caller := rpc.NewCaller[wire.Batch, wire.Ack](h.inner, addr, rpc.BatchPath)
	for {
		batch := wire.Batch{}
		select {
		case <-h.act.Ctx.Done():
			return
		case l := <-box:
			batch.Messages = append(batch.Messages, l)
		}
		for more := true; more && len(batch.Messages) < 128; {
			select {
			case l := <-box:
				batch.Messages = append(batch.Messages, l)
			default:
				more = false
			}
		}
		ctx, done := context.WithTimeout(h.act.Ctx, time.Second)
		_, _ = caller.Call(ctx, &batch)
		done()
	}
}

func (h *Host) push(gateway string, news wire.GatewayUpdate) {
	f := h.follows[gateway]
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

// waitForPeer stops a control node that holds nothing, may found nothing, and meets no chain.
func (h *Host) waitForPeer() {
	select {
	case <-h.act.Ctx.Done():
		return
	case <-time.After(peerWait):
	}
	if alone, ran := actor.Ask(h.act.Ctx, h.act, func() bool { return h.core.Node.Phase() == chain.PhaseBootstrap }); ran && alone {
		select {
		case h.failed <- fault.New(fault.DamagedData, h.set.DataDir, "it holds no chain, and no partner was met within %v to copy one from; kept folders are untouched", peerWait):
		default:
		}
	}
}

// seeker keeps asking the seeds, first contacts only, until the control nodes know each other.
func (h *Host) seeker() {
	for {
		for _, seed := range *h.seeds.Load() {
			if seed == h.set.Advertise {
				continue
			}
			ctx, done := context.WithTimeout(h.act.Ctx, 500*time.Millisecond)
			where, err := rpc.NewCaller[wire.MembershipRequest, wire.MembershipResponse](h.inner, seed, rpc.WherePath).Call(ctx, &wire.MembershipRequest{From: h.core.Node.Self()})
			done()
			if err != nil {
				continue
			}
			learned := []string{}
			for _, m := range where.ControlNodes {
				if m.Addr != h.set.Advertise {
					learned = append(learned, m.Addr)
				}
			}
			h.tell(Event{Learn: learned})
		}
		span := time.Second
		if settled, ran := actor.Ask(h.act.Ctx, h.act, h.core.settled); ran && settled {
			span = seekSettled
		}
		select {
		case <-h.act.Ctx.Done():
			return
		case <-time.After(span):
		}
	}
}

func (h *Host) where() wire.MembershipResponse {
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
			h.tell(Event{Controller: done})
		})
	}
}

func (h *Host) pollList() {
	ctx, done := context.WithTimeout(h.act.Ctx, platformWait)
	defer done()
	listed := controller.PlatformListing{}
	var err error
	if listed.List, err = h.replicas.List(ctx); err != nil {
		listed = controller.PlatformListing{Err: err.Error()}
	}
	h.tell(Event{Controller: listed})
}

func (h *Host) askReplica(a controller.ReportRequest) {
	ctx, done := context.WithTimeout(h.act.Ctx, replicaWait)
	defer done()
	told := controller.ReplicaReport{RequestedUs: a.RequestedUs, Replica: a.Replica, Addr: a.Addr}
	var err error
	if told.State, err = h.replicas.State(ctx, a.Replica, a.Addr); err != nil {
		told.State, told.Err = nil, err.Error()
	}
	h.tell(Event{Controller: told})
}

func (h *Host) order(o controller.SendOrder) {
	ctx, done := context.WithTimeout(h.act.Ctx, replicaWait)
	defer done()
	state, err := h.replicas.Order(ctx, o.Addr, o.Order)
	_ = h.log.Log("event", "ordered", "ticket", o.Order.Command.Number, "state", state.State, "why", state.Reason, "err", err)
	if err != nil {
		state = wire.OrderState{Number: o.Order.Command.Number, State: wire.OrderInDoubt, Reason: err.Error()}
	}
	h.tell(Event{Controller: controller.OrderResult{Replica: o.Order.Command.Replica, Incarnation: o.Order.Command.Incarnation, Expected: o.Order.ExpectedOrders, State: state}})
}

// Submit carries a change to the head and waits for the tail's result.
func (h *Host) Submit(ctx context.Context, c statemachine.Change, wait time.Duration) (wire.Result, bool) {
	c.Origin = h.set.Advertise
	waiter := make(chan wire.Result, 4)
	defer h.act.Tell(func() { h.stopWaiting(c.ID, waiter) })
	if !h.act.Do(ctx, func() { h.waiters[c.ID] = append(h.waiters[c.ID], waiter) }) {
		return wire.Result{}, false
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	again := time.NewTicker(resubmit)
	defer again.Stop()
	h.tell(Event{Submit: &c})
	for {
		select {
		case r := <-waiter:
			if r.Outcome.Fault != nil && r.Outcome.Fault.Code == fault.NotServing {
				continue
			}
			return r, true
		case <-again.C:
			h.tell(Event{Submit: &c})
		case <-deadline.C:
			return wire.Result{}, false
		case <-ctx.Done():
			return wire.Result{}, false
		case <-h.act.Ctx.Done():
			return wire.Result{}, false
		}
	}
}
