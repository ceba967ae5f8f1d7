package controlclient

import (
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

const (
	// membershipIntervalUs is the interval of membership requests to the control nodes while there is no lease.
	membershipIntervalUs = 250 * clock.Ms
	// membershipIdleIntervalUs is the same interval while there is a lease.
	membershipIdleIntervalUs = 1000 * clock.Ms
	// ackIntervalUs is the interval of reports to the tail, which renew the lease.
	ackIntervalUs = 200 * clock.Ms
	// followRetryUs is the shortest time between the openings of two streams to the tail.
	followRetryUs = 300 * clock.Ms
	// followTimeoutUs is how long the stream to the tail is kept without a new lease.
	followTimeoutUs = 2500 * clock.Ms
	// leaseMarginUs is subtracted from each lease, so that it expires at the gateway before it expires at the control nodes.
	leaseMarginUs = 50 * clock.Ms
)

// Event is an input of Subscriber.Step. If only NowUs is set, only time has passed.
type Event struct {
	// NowUs is the instant of the event, in microseconds.
	NowUs int64
	// Membership is a control node's response to a membership request.
	Membership *wire.MembershipResponse
	// Update was received on the stream from the tail.
	Update *wire.GatewayUpdate
	// Lease is the tail's response to a report.
	Lease *wire.Lease
	// Heartbeat was received from a node that this gateway watches.
	Heartbeat *membership.Heartbeat
	// Closed is the number of a stream that ended; 0 if none did.
	Closed uint64
}

// Effect is one action that the caller of Subscriber.Step must execute.
type Effect struct {
	// RequestMembership are the addresses to send a membership request to.
	RequestMembership []string
	// Follow is the stream to open, which replaces the current one.
	Follow *Follow
	// Report is the replica of the chain to send a report to.
	Report *membership.ChainReplica
	// Snapshot is the new control state.
	Snapshot *scheduling.Snapshot
	// LeaseUs is the new end of the lease, in microseconds.
	LeaseUs int64
	// Heartbeats are the nodes to send a heartbeat to, and FinalHeartbeats those that get the last one because they no longer watch
	// this gateway.
	Heartbeats      []membership.RingNode
	FinalHeartbeats []membership.RingNode
}

// Follow requests the stream of updates that the tail pushes. Number identifies the stream.
type Follow struct {
	Number  uint64
	Tail    membership.ChainReplica
	Request wire.SubscribeRequest
}

// Options identify the gateway and name the addresses for the first contact with the control plane.
type Options struct {
	Gateway     string
	Incarnation string
	// Addr is the address at which other nodes reach this gateway, as IP:port.
	Addr string
	Zone string
	// Seeds are the addresses of control nodes for the first contact only, as IP:port.
	Seeds []string
}

// Subscriber finds the current tail of the chain, follows its updates, and keeps the gateway's lease. It contacts the seeds only
// until it has learned the control nodes.
type Subscriber struct {
	opts           Options
	membership     wire.MembershipResponse
	snapshot       *scheduling.Snapshot
	leaseUs        int64
	membershipAtUs int64
	ackedAtUs      int64
	stream         uint64
	followed       membership.ChainReplica
	streamOpen     bool
	followedAtUs   int64
	leasedAtUs     int64
	ring           []membership.RingNode
	watchers       []membership.RingNode
	monitor        *failuredetector.Monitor
	heartbeatAtUs  int64
	effects        []Effect
}

// New returns a subscriber without any state besides the seeds in opts.
func New(opts Options) *Subscriber {
	return &Subscriber{opts: opts, monitor: failuredetector.NewMonitor()}
}

// Suspects returns the watched nodes whose heartbeats are overdue.
func (s *Subscriber) Suspects(nowUs int64) []string { return s.monitor.Suspects(nowUs) }

// Membership returns the newest known control nodes and their view.
func (s *Subscriber) Membership() wire.MembershipResponse { return s.membership }

// Tail returns the tail of the newest known view.
func (s *Subscriber) Tail() membership.ChainReplica { return s.membership.View.Tail() }

// ControlNodes returns the addresses of all known control nodes, followed by those of the seeds.
func (s *Subscriber) ControlNodes() []string {
	addrs := []string{}
	seen := map[string]bool{s.opts.Addr: true}
	for _, m := range s.membership.ControlNodes {
		if !seen[m.Addr] {
			seen[m.Addr] = true
			addrs = append(addrs, m.Addr)
		}
	}
	for _, seed := range s.opts.Seeds {
		if !seen[seed] {
			seen[seed] = true
			addrs = append(addrs, seed)
		}
	}
	return addrs
}

// Step processes one event and returns the effects to execute.
func (s *Subscriber) Step(ev Event) []Effect {
	s.effects = nil
	switch {
	case ev.Membership != nil:
		s.applyMembership(*ev.Membership)
	case ev.Update != nil:
		s.applyUpdate(ev.NowUs, *ev.Update)
	case ev.Lease != nil:
		s.applyLease(ev.NowUs, *ev.Lease)
	case ev.Heartbeat != nil:
		s.monitor.Receive(ev.NowUs, *ev.Heartbeat)
	case ev.Closed != 0:
		if ev.Closed == s.stream {
			s.streamOpen = false
		}
	}
	s.tick(ev.NowUs)
	return s.effects
}

func (s *Subscriber) applyMembership(w wire.MembershipResponse) {
	if len(w.ControlNodes) == 0 || w.View.Number < s.membership.View.Number {
		return
	}
	s.membership = w
}

// applyUpdate publishes the snapshot of an update unless it is older than the current one. An update whose revision is new but which
// lacks the declaration ends the stream.
func (s *Subscriber) applyUpdate(nowUs int64, n wire.GatewayUpdate) {
	if s.snapshot != nil && (n.View < s.snapshot.View || n.Number < s.snapshot.Number) {
		return
	}
	if n.Declaration == nil && n.Revision > 0 && (s.snapshot == nil || s.snapshot.Revision != n.Revision) {
		s.streamOpen = false
		return
	}
	s.snapshot = scheduling.NewSnapshot(s.snapshot, n, nowUs)
	s.effects = append(s.effects, Effect{Snapshot: s.snapshot})
	s.ackedAtUs = 0
}

// applyLease extends the lease, which is counted from the instant at which it was requested. Leases of an older view are ignored.
func (s *Subscriber) applyLease(nowUs int64, g wire.Lease) {
	if len(g.Ring) > 0 {
		s.ring = g.Ring
	}
	if !g.OK || s.snapshot == nil || g.View < s.snapshot.View {
		return
	}
	s.leasedAtUs = nowUs
	if untilUs := g.SentUs + g.LeaseUs - leaseMarginUs; untilUs > s.leaseUs {
		s.leaseUs = untilUs
		s.effects = append(s.effects, Effect{LeaseUs: untilUs})
	}
}

func (s *Subscriber) tick(nowUs int64) {
	intervalUs := membershipIntervalUs
	if nowUs < s.leaseUs {
		intervalUs = membershipIdleIntervalUs
	}
	if nowUs-s.membershipAtUs >= intervalUs {
		s.membershipAtUs = nowUs
		s.effects = append(s.effects, Effect{RequestMembership: s.ControlNodes()})
	}
	if nowUs-s.heartbeatAtUs >= failuredetector.HeartbeatIntervalUs && len(s.ring) > 0 {
		s.heartbeatAtUs = nowUs
		watchers := failuredetector.WatchersOf(s.ring, s.opts.Gateway)
		s.effects = append(s.effects, Effect{Heartbeats: watchers, FinalHeartbeats: failuredetector.Departed(s.watchers, watchers)})
		s.watchers = watchers
	}
	tail := s.Tail()
	if tail.ID != s.followed.ID || tail.Incarnation != s.followed.Incarnation || (s.streamOpen && nowUs-max(s.leasedAtUs, s.followedAtUs) > followTimeoutUs) {
		s.streamOpen = false
	}
	if tail.Addr != "" && !s.streamOpen && nowUs-s.followedAtUs >= followRetryUs {
		s.followedAtUs, s.followed, s.streamOpen = nowUs, tail, true
		s.stream++
		request := wire.SubscribeRequest{Gateway: s.opts.Gateway, Incarnation: s.opts.Incarnation, Addr: s.opts.Addr, Zone: s.opts.Zone}
		if s.snapshot != nil {
			request.Revision, request.Number = s.snapshot.Revision, s.snapshot.Number
		}
		s.effects = append(s.effects, Effect{Follow: &Follow{Number: s.stream, Tail: tail, Request: request}})
	}
	if s.snapshot != nil && s.streamOpen && nowUs-s.ackedAtUs >= ackIntervalUs {
		s.ackedAtUs = nowUs
		followed := s.followed
		s.effects = append(s.effects, Effect{Report: &followed})
	}
}
