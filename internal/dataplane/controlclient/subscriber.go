package controlclient

import (
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/failuredetector"
	"petreltide/internal/process/clock"
)

const (
	// membershipIntervalUs is how often the control nodes are asked for their view without a lease, and
	// membershipIdleIntervalUs with one.
	membershipIntervalUs     = 250 * clock.Ms
	membershipIdleIntervalUs = 1000 * clock.Ms
	// ackIntervalUs is how often the tail gets a report, which renews the lease.
	ackIntervalUs = 200 * clock.Ms
	// followRetryUs is the shortest time between two streams to the tail.
	followRetryUs = 300 * clock.Ms
	// followTimeoutUs without a lease ends the stream to the tail.
	followTimeoutUs = 2500 * clock.Ms
	// leaseMarginUs is taken off each lease, so that it ends here before it ends there.
	leaseMarginUs = 50 * clock.Ms
)

// Event is one thing that happened to the subscriber; with all fields but NowUs empty, time has passed.
type Event struct {
	NowUs      int64
	Membership *wire.MembershipResponse
	Update     *wire.GatewayUpdate
	Lease      *wire.Lease
	Heartbeat  *membership.Heartbeat
	Closed     uint64
}

// Effect is one thing that the subscriber wants done.
type Effect struct {
	RequestMembership []string
	Follow            *Follow
	Report            *membership.ChainReplica
	Snapshot          *scheduling.Snapshot
	LeaseUs           int64
	Heartbeats        []membership.RingNode
	FinalHeartbeats   []membership.RingNode
}

// Follow asks for the changes that the tail pushes. Number tells streams apart.
type Follow struct {
	Number  uint64
	Tail    membership.ChainReplica
	Request wire.SubscribeRequest
}

// Options are who the subscriber is and where it asks first.
type Options struct {
	Gateway     string
	Incarnation string
	// Addr is where others reach this gateway, IP:port.
	Addr string
	Zone string
	// Seeds are IP:port of any nodes, for first contact only.
	Seeds []string
}

// Subscriber finds the open tail, follows its updates and keeps the gateway's lease. Seeds are only a
// first contact: from then on it asks the control nodes it has met.
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

// New is a subscriber that knows nothing but its seeds.
func New(opts Options) *Subscriber {
	return &Subscriber{opts: opts, monitor: failuredetector.NewMonitor()}
}

// Suspects are the nodes that this one watches and has not heard for too long.
func (s *Subscriber) Suspects(nowUs int64) []string { return s.monitor.Suspects(nowUs) }

// Membership is what it was last told of the control nodes and their view.
func (s *Subscriber) Membership() wire.MembershipResponse { return s.membership }

// Tail is the seat that it follows.
func (s *Subscriber) Tail() membership.ChainReplica { return s.membership.View.Tail() }

// ControlNodes are all addresses that may be a control node's, those that were met first.
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

// Step takes one event and returns what is to be done.
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
