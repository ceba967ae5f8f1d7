package controlnode

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
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/httpserver"
	"petreltide/internal/process/logring"
)

const (
	// tickInterval is the interval between two Tick events; the shortest timers of the chain are 200 ms.
	tickInterval = 25 * time.Millisecond
	// mailboxCapacity is the number of events that the actor queues; senders block while it is full. outboxCapacity is the
	// number of messages queued for one peer; a message to a full outbox is dropped, as a network may drop it.
	mailboxCapacity = 8192
	outboxCapacity  = 1024
	// changeTimeout is how long an operator's call waits for the outcome of its change.
	changeTimeout = 8 * time.Second
	// rebuildPeerTimeout is how long a control node without data waits for a peer from which to copy the chain before the
	// process exits.
	rebuildPeerTimeout = 15 * time.Second
	// submitTimeout is how long a gateway's call waits for the outcome of its change. A change without an outcome is sent to
	// the head again every resubmitInterval, since messages may be lost.
	submitTimeout    = 2 * time.Second
	resubmitInterval = 400 * time.Millisecond
	// replicaTimeout bounds a call to a replica; the controller does not expect a response any later.
	replicaTimeout = time.Duration(controller.MaxOrderInFlightUs) * time.Microsecond
	// replicaListTimeout bounds a call for the platform's list of replicas.
	replicaListTimeout = 800 * time.Millisecond

	// discoveryIntervalSettled is the interval between two queries of the seeds once the chain is known; before that it is
	// one second.
	discoveryIntervalSettled = 5 * time.Second
	// lockTimeout is how long a control node waits for its predecessor process to release the lock on the data directory.
	lockTimeout = 10 * time.Second
	// peerDialTimeoutMs bounds dialing a peer, in milliseconds.
	peerDialTimeoutMs = 250
	// The timers of a chain with automatic membership, in microseconds; see WithAutoMembershipTimings.
	autoMembershipHeartbeatIntervalUs   = 200 * clock.Ms
	autoMembershipSuspectTimeoutUs      = 800 * clock.Ms
	autoMembershipLeaseDurationUs       = 700 * clock.Ms
	autoMembershipVoteRecoveryTimeoutUs = 900 * clock.Ms
	autoMembershipGatherTimeoutUs       = 1300 * clock.Ms
	autoMembershipPrepareTimeoutUs      = 200 * clock.Ms
)

// Host runs a Core: it passes it one event at a time and executes its effects on the disk, the network and the clock. The
// actor owns the core and all maps; other goroutines access them through functions that they send to the actor.
type Host struct {
	settings settings.ControlNode
	core     *Core
	// fatal receives the error that ends Run.
	fatal chan error

	// disk stores the requests of persistQueue in order; a request that fails is retried after retryTimer. lock excludes other
	// processes from the data directory.
	disk         disk
	lock         *storage.DirLock
	persistQueue *persistQueue
	retryTimer   func() <-chan time.Time
	// rebuilding reports that this node has no data and may not bootstrap a chain: it exits unless it finds a peer in time.
	rebuilding bool

	// ring holds the newest log lines; log writes to it.
	ring *logring.Ring
	log  log.Logger

	// actor owns core and the fields from here to frameStreams.
	actor *actor.Actor
	// outboxes are the messages queued for each peer, and snapshotTransfers the snapshots in transfer, both by the address of
	// the peer.
	outboxes          map[string]chan peering.Message
	snapshotTransfers map[string]*snapshotTransfer
	// waiters are the callers that wait for the outcome of a change, by the ID of the change.
	waiters map[string][]chan wire.Result
	// leases, quotas and acknowledgements are the callers that wait for the response to a gateway's report, a gateway's quota
	// request, and a replica's heartbeat or deregistration, by reply ID. lastReplyID is the last reply ID assigned.
	leases           map[uint64]chan wire.Lease
	quotas           map[uint64]chan wire.QuotaResponse
	acknowledgements map[uint64]chan bool
	lastReplyID      uint64
	// updateStreams are the streams of configuration updates and frameStreams those of frames, both by gateway.
	updateStreams map[string]*updateStream
	frameStreams  map[string]*frameStream

	// replicaClient calls replicas and the platform, peerClient other control nodes.
	replicaClient *http.Client
	peerClient    *http.Client
	// replicas is the controller's transport to replicas and the platform.
	replicas ReplicaTransport
	// seeds are the addresses of control nodes to contact for discovery.
	seeds atomic.Pointer[[]string]
	// serverLimits bound what the callers of the own interface take.
	serverLimits httpserver.Limits
	// server serves the own interface once Run has started.
	server *httpserver.Server
	// listeners serve additional interfaces; they must not change once Run has started.
	listeners []Listener
}

// Listener serves an interface of the process besides the control node's own.
type Listener interface {
	Serve() error
	Shutdown(ctx context.Context) error
}

// SetSeeds replaces the addresses used for discovery after those in the settings have changed.
func (h *Host) SetSeeds(addrs []string) { h.seeds.Store(&addrs) }

// SetServerLimits sets the limits of the host's own interface. It must be called before Run.
func (h *Host) SetServerLimits(limits httpserver.Limits) { h.serverLimits = limits }

// AddListener adds a listener; it must be called before Run.
func (h *Host) AddListener(l Listener) { h.listeners = append(h.listeners, l) }

// Run serves until ctx ends or a fatal error occurs. A disk that refuses writes or hangs does not end it.
func (h *Host) Run(ctx context.Context) error {
	server := httpserver.New(h.handler(), h.serverLimits)
	h.server = server
	listener, err := server.Listen(h.settings.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	go func() { _ = server.Serve(listener) }()
	_ = level.Info(h.log).Log("msg", "started", "id", h.core.Node.Self().ID, "phase", string(h.core.Node.Phase()),
		"disabled", h.settings.Disable.String())
	h.actor.Spawn(func() { h.actor.Loop(tickInterval, func() { h.step(Tick{}) }) })
	h.actor.Spawn(h.persistLoop)
	h.actor.Spawn(h.discoverPeers)
	for _, l := range h.listeners {
		go func() {
			if err := l.Serve(); err != nil {
				select {
				case h.fatal <- err:
				default:
				}
			}
		}()
	}
	if h.rebuilding {
		h.actor.Spawn(h.failWithoutPeer)
	}
	var runErr error
	select {
	case <-ctx.Done():
		h.leave()
	case runErr = <-h.fatal:
		h.ring.Dump("stopping: " + runErr.Error())
	}
	h.actor.Stop()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, l := range h.listeners {
		_ = l.Shutdown(shutdownCtx)
	}
	_ = server.Shutdown(shutdownCtx)
	_ = server.Close()
	h.actor.End()
	return errors.Trace(firstError(runErr, h.disk.Close(), h.lock.Close()))
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// post sends an event to the actor, which steps the core with it.
func (h *Host) post(event Event) { h.actor.Tell(func() { h.step(event) }) }

// step passes one event to the core and executes its effects; it must be called on the actor.
func (h *Host) step(event Event) {
	for _, effect := range h.core.Step(clock.NowUs(), event) {
		switch effect := effect.(type) {
		case SendMessage:
			h.send(effect.Addr, effect.Message)
		case Persist:
			h.persistQueue.put(*effect.Request)
		case PushUpdate:
			h.pushUpdate(effect.Push.Gateway, effect.Push.Update)
		case PushFrame:
			h.pushFrame(effect.Push.Gateway, effect.Push.Frame)
		case DeliverResult:
			h.deliverResult(*effect.Result)
		case ReplyLease:
			if reply := h.leases[effect.ReplyID]; reply != nil {
				reply <- effect.Lease
				delete(h.leases, effect.ReplyID)
			}
		case ReplyQuota:
			if reply := h.quotas[effect.ReplyID]; reply != nil {
				reply <- effect.Response
				delete(h.quotas, effect.ReplyID)
			}
		case AcknowledgeReplica:
			if reply := h.acknowledgements[effect.ReplyID]; reply != nil {
				reply <- effect.OK
				delete(h.acknowledgements, effect.ReplyID)
			}
		case RunController:
			h.runControllerEffect(effect.Effect)
		case ChangeApplied:
			// Only the simulator observes applied changes.
		case LogMessage:
			_ = level.Info(h.log).Log("msg", effect.Message, "detail", effect.Detail, "view", h.core.Node.View().Number)
		}
	}
}
