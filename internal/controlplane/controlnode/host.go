package controlnode

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
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/storage"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/logring"
)

const (
	// tickInterval is how often the reducer is told that time passes; the chain's shortest times are 200 ms.
	tickInterval = 25 * time.Millisecond
	// mailboxCapacity and outboxCapacity are numbers of events and of messages to one peer. A full mailbox makes its
	// writers wait; a full outbox drops the message, as a network may.
	mailboxCapacity = 8192
	outboxCapacity  = 1024
	// changeTimeout is how long an operator's call waits for the outcome of its change.
	changeTimeout = 8 * time.Second
	// rebuildPeerTimeout is how long a control node without data waits for a peer to copy the chain from before it ends.
	rebuildPeerTimeout = 15 * time.Second
	// submitTimeout is how long a gateway's change waits, and resubmitInterval after how long without an outcome a
	// change is sent to the head again: messages may be lost.
	submitTimeout    = 2 * time.Second
	resubmitInterval = 400 * time.Millisecond
	// replicaTimeout bounds a call to a replica: the controller counts on its answer for no longer.
	replicaTimeout = time.Duration(controller.MaxOrderInFlightUs) * time.Microsecond
	// platformTimeout bounds a call for the platform's list of replicas.
	platformTimeout = 800 * time.Millisecond

	// discoveryIntervalSettled is how often the seeds are asked once the chain is known; before, each second.
	discoveryIntervalSettled = 5 * time.Second
	// lockTimeout is how long a control node waits for the process before it to let go of the data folder.
	lockTimeout = 10 * time.Second
	// peerDialTimeoutMs bounds the opening of a connection to a peer, in milliseconds.
	peerDialTimeoutMs = 250
	// The times of a chain whose members take in and drop each other (WithAutoMembershipTimings), in microseconds.
	autoMembershipHeartbeatUs    = 200 * clock.Ms
	autoMembershipSuspectUs      = 800 * clock.Ms
	autoMembershipLeaseUs        = 700 * clock.Ms
	autoMembershipVoteRecoveryUs = 900 * clock.Ms
	autoMembershipGatherUs       = 1300 * clock.Ms
	autoMembershipPrepareUs      = 200 * clock.Ms
)

// Host runs a Core: it gives it events one at a time and carries out its effects on disk, network and clock. Its actor owns
// the core and all maps; other goroutines hand it functions.
type Host struct {
	settings settings.ControlNode
	core     *Core
	// fatal takes the error that ends Run.
	fatal chan error

	// disk takes the saves of saveQueue in order, each again after retryTimer while it refuses; lock keeps other processes
	// out of the data folder.
	disk       disk
	lock       *storage.DirLock
	saveQueue  *saveQueue
	retryTimer func() <-chan time.Time
	// rebuilding: this node holds nothing, may found nothing, and ends if it meets no peer in time.
	rebuilding bool

	// ring keeps the newest log lines, log writes to it.
	ring *logring.Ring
	log  log.Logger

	// act owns everything from here to frameStreams.
	actor *actor.Actor
	// outboxes are the messages that wait for each peer, by its address; transfers the snapshots under way to one.
	outboxes          map[string]chan peering.Message
	snapshotTransfers map[string]*snapshotTransfer
	// waiters are the callers that wait for the outcome of a change, by its ID.
	waiters map[string][]chan wire.Result
	// leases, quotas and acknowledgements are the callers that wait for the answer to a gateway's report, to its wish to run
	// requests of tenants or to a replica's heartbeat, by a number of which lastReplyID was the last given.
	leases           map[uint64]chan wire.Lease
	quotas           map[uint64]chan wire.QuotaResponse
	acknowledgements map[uint64]chan bool
	lastReplyID      uint64
	// updateStreams are the streams of updates with leases, by gateway; frameStreams those of frames.
	updateStreams map[string]*updateStream
	frameStreams  map[string]*frameStream

	// replicaClient speaks to replicas and the platform, peerClient to control nodes.
	replicaClient *http.Client
	peerClient    *http.Client
	// replicas is how the controller reaches replicas.
	replicas ReplicaTransport
	// seeds are addresses of control nodes for first contact.
	seeds atomic.Pointer[[]string]
	// listeners are those of other interfaces than this one's own; they are fixed once Run begins.
	listeners []Listener
}

// Listener is a listener of another interface than this one's own.
type Listener interface {
	Serve() error
	Shutdown(ctx context.Context) error
}

// SetSeeds replaces the addresses for first contact, where the ones in the settings have changed.
func (h *Host) SetSeeds(addrs []string) { h.seeds.Store(&addrs) }

// AddListener adds a listener before Run.
func (h *Host) AddListener(l Listener) { h.listeners = append(h.listeners, l) }

// Run serves until ctx ends. A disk that refuses or hangs does not end it.
func (h *Host) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", h.settings.Listen)
	if err != nil {
		return fault.New(fault.BadSettings, "listen", "%v", err)
	}
	server := &http.Server{Handler: h.handler(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	_ = level.Info(h.log).Log("msg", "started", "id", h.core.Node.Self().ID, "phase", string(h.core.Node.Phase()), "disabled", h.settings.Disable.String())
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

func (h *Host) post(event Event) { h.actor.Tell(func() { h.step(event) }) }

// step gives the reducer one event and carries out its effects; it runs on the actor.
func (h *Host) step(event Event) {
	for _, effect := range h.core.Step(clock.NowUs(), event) {
		switch effect := effect.(type) {
		case SendMessage:
			h.send(effect.Addr, effect.Message)
		case Persist:
			h.saveQueue.put(*effect.Request)
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
			// ShadowOnly the simulator follows what is applied.
		case LogMessage:
			_ = level.Info(h.log).Log("msg", effect.Message, "detail", effect.Detail, "view", h.core.Node.View().Number)
		}
	}
}
