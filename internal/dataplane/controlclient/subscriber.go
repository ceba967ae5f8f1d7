package controlclient

import (
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/failuredetector"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/process/clock"
)

const (
	seekUs     = 250 * clock.Ms
	seekIdleUs = 1000 * clock.Ms
	ackUs      = 200 * clock.Ms
	followUs   = 300 * clock.Ms
	quietUs    = 2500 * clock.Ms
	leaseCutUs = 50 * clock.Ms
)

// Event is one thing that happened to the subscriber; with all fields but NowUs empty, time has passed.
type Event struct {
	NowUs  int64
	Where  *wire.MembershipResponse
	News   *wire.GatewayUpdate
	Lease  *wire.Lease
	Beat   *failuredetector.Heartbeat
	Closed uint64
}

// Effect is one thing that the subscriber wants done.
type Effect struct {
	AskWhere  []string
	Follow    *Follow
	Report    *chain.Replica
	Snapshot  *scheduling.Snapshot
	LeaseUs   int64
	Beats     []failuredetector.Node
	Farewells []failuredetector.Node
}

// Follow asks for the changes that the tail pushes. Number tells streams apart.
type Follow struct {
	Number uint64
	Tail   chain.Replica
	Ask    wire.SubscribeRequest
}

// Options are who the subscriber is and where it asks first.
type Options struct {
	Gateway     string
	Incarnation string
	Addr        string
	Zone        string
	Seeds       []string
}

// Subscriber finds the open tail, follows its news and keeps the gateway's lease. Seeds are only a
// first contact: from then on it asks the control nodes it has met.
type Subscriber struct {
	opts     Options
	where    wire.MembershipResponse
	snap     *scheduling.Snapshot
	leaseUs  int64
	seekUs   int64
	ackUs    int64
	follow   uint64
	tail     chain.Replica
	open     bool
	triedUs  int64
	leasedUs int64
	ring     []failuredetector.Node
	named    []failuredetector.Node
	watch    *failuredetector.Monitor
	beatUs   int64
	effects  []Effect
}

// New is a subscriber that knows nothing but its seeds.
func New(opts Options) *Subscriber {
	return &Subscriber{opts: opts, watch: failuredetector.NewMonitor()}
}

// Silent are the nodes that this one watches and has not heard for too long.
func (l *Subscriber) Silent(nowUs int64) []string { return l.watch.Suspects(nowUs) }

// Where is what it was last told of the control nodes and their view.
func (l *Subscriber) Where() wire.MembershipResponse { return l.where }

// Tail is the seat that it follows.
func (l *Subscriber) Tail() chain.Replica { return l.where.View.Tail() }

// ControlNodes are all addresses that may be a control node's, those that were met first.
func (l *Subscriber) ControlNodes() []string {
	addrs := []string{}
	seen := map[string]bool{l.opts.Addr: true}
	for _, m := range l.where.ControlNodes {
		if !seen[m.Addr] {
			seen[m.Addr] = true
			addrs = append(addrs, m.Addr)
		}
	}
	for _, s := range l.opts.Seeds {
		if !seen[s] {
			seen[s] = true
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// Step takes one event and returns what is to be done.
func (l *Subscriber) Step(ev Event) []Effect {
	l.effects = nil
	switch {
	case ev.Where != nil:
		l.met(*ev.Where)
	case ev.News != nil:
		l.news(ev.NowUs, *ev.News)
	case ev.Lease != nil:
		l.lease(ev.NowUs, *ev.Lease)
	case ev.Beat != nil:
		l.watch.Receive(ev.NowUs, *ev.Beat)
	case ev.Closed != 0:
		if ev.Closed == l.follow {
			l.open = false
		}
	}
	l.tick(ev.NowUs)
	return l.effects
}

func (l *Subscriber) met(w wire.MembershipResponse) {
	if len(w.ControlNodes) == 0 || w.View.Number < l.where.View.Number {
		return
	}
	l.where = w
}

func (l *Subscriber) news(nowUs int64, n wire.GatewayUpdate) {
	if l.snap != nil && (n.View < l.snap.View || n.Number < l.snap.Number) {
		return
	}
	if n.Declaration == nil && n.Revision > 0 && (l.snap == nil || l.snap.Revision != n.Revision) {
		l.open = false
		return
	}
	l.snap = scheduling.Fold(l.snap, n, nowUs)
	l.effects = append(l.effects, Effect{Snapshot: l.snap})
	l.ackUs = 0
}

func (l *Subscriber) lease(nowUs int64, g wire.Lease) {
	if len(g.Ring) > 0 {
		l.ring = g.Ring
	}
	if !g.OK || l.snap == nil || g.View < l.snap.View {
		return
	}
	l.leasedUs = nowUs
	if untilUs := g.SentUs + g.LeaseUs - leaseCutUs; untilUs > l.leaseUs {
		l.leaseUs = untilUs
		l.effects = append(l.effects, Effect{LeaseUs: untilUs})
	}
}

func (l *Subscriber) tick(nowUs int64) {
	spanUs := seekUs
	if nowUs < l.leaseUs {
		spanUs = seekIdleUs
	}
	if nowUs-l.seekUs >= spanUs {
		l.seekUs = nowUs
		l.effects = append(l.effects, Effect{AskWhere: l.ControlNodes()})
	}
	if nowUs-l.beatUs >= failuredetector.HeartbeatIntervalUs && len(l.ring) > 0 {
		l.beatUs = nowUs
		named := failuredetector.WatchersOf(l.ring, l.opts.Gateway)
		l.effects = append(l.effects, Effect{Beats: named, Farewells: failuredetector.Departed(l.named, named)})
		l.named = named
	}
	tail := l.Tail()
	if tail.ID != l.tail.ID || tail.Incarnation != l.tail.Incarnation || (l.open && nowUs-max(l.leasedUs, l.triedUs) > quietUs) {
		l.open = false
	}
	if tail.Addr != "" && !l.open && nowUs-l.triedUs >= followUs {
		l.triedUs, l.tail, l.open = nowUs, tail, true
		l.follow++
		ask := wire.SubscribeRequest{Gateway: l.opts.Gateway, Incarnation: l.opts.Incarnation, Addr: l.opts.Addr, Zone: l.opts.Zone}
		if l.snap != nil {
			ask.Revision, ask.Number = l.snap.Revision, l.snap.Number
		}
		l.effects = append(l.effects, Effect{Follow: &Follow{Number: l.follow, Tail: tail, Ask: ask}})
	}
	if l.snap != nil && l.open && nowUs-l.ackUs >= ackUs {
		l.ackUs = nowUs
		held := l.tail
		l.effects = append(l.effects, Effect{Report: &held})
	}
}
