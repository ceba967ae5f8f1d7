package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/membership"
	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	// frameTimeoutUs without a frame ends a stream.
	frameTimeoutUs = 1300 * clock.Ms
	// openIntervalUs is the shortest time between two tries to open streams.
	openIntervalUs = 300 * clock.Ms
	// reconnectBackoffUs is how long a control node is left alone whose stream ended or that took no report.
	reconnectBackoffUs = 1000 * clock.Ms
	// undeclaredBackoffUs is how long a control node is left alone that did not answer a gateway without a declaration, and how
	// often such a gateway tries: it holds its callers meanwhile.
	undeclaredBackoffUs = 100 * clock.Ms
	// reportIntervalUs and, for each gateway, reportIntervalPerGatewayUs more lie between two reports, so that the load of
	// all reports stays bounded; failureReportIntervalUs bounds it while failed attempts are unreported.
	reportIntervalUs           = 250 * clock.Ms
	reportIntervalPerGatewayUs = 3 * clock.Ms
	failureReportIntervalUs    = 250 * clock.Ms
	// streamCount is a primary and a standby.
	streamCount = 2
	// outlierTimeoutUs after the last table of ejected replicas it no longer counts.
	outlierTimeoutUs = 30 * clock.Sec
)

// InformerEvent brings a frame of a stream, or its end, or seeds that changed; with none of these, time has passed.
type InformerEvent struct {
	// NowUs is the instant of the event, in microseconds.
	NowUs int64
	// Frame came on the stream numbered Stream; nil: none.
	Frame  *wire.Frame
	Stream uint64
	// Closed is the number of a stream that ended; 0: none.
	Closed uint64
	// Seeds replace those of the options; nil: they stay.
	Seeds []string
	// Urgent asks for a report at once.
	Urgent bool
	// Failing: attempts have failed that no report has told yet.
	Failing bool
	// Unreachable is where a report did not arrive.
	Unreachable string
}

// InformerEffect is one thing that the informer wants done: a stream opened or closed, a report sent to an address, or a
// snapshot published.
type InformerEffect struct {
	Open     *Stream
	Close    uint64
	Report   string
	Snapshot *scheduling.Snapshot
}

// Stream is one held connection to one control node.
type Stream struct {
	// Number tells streams of one informer apart; it is never 0.
	Number  uint64
	Addr    string
	Request wire.SubscribeRequest
}

// source is one stream, and what its control node has said on it.
type source struct {
	stream uint64
	// standby asks for little: what it lacks comes by the primary.
	standby bool
	addr    string
	// receivedAtUs is the instant of its last frame, or of its opening.
	receivedAtUs int64
	// live: it has brought a frame; complete: it has brought all that its control node knows.
	live     bool
	complete bool
	// staleSinceUs is since when the control node says that it may be behind; 0 where it does not.
	staleSinceUs int64
	controlNode  string
	replicas     map[string]wire.ReplicaRow
	// orders by replica; the map is replaced, never changed.
	orders       map[string]wire.PendingOrder
	ordersNumber uint64
	gatewayCount int
}

// Informer keeps what a gateway knows by the frames of two control nodes at once, so that the loss of one costs no
// time. Without any it goes on with what it last knew. Revisions only rise.
type Informer struct {
	opts Options
	// sources are the open streams, by number.
	sources map[uint64]*source
	// backoffUntilUs is until when an address isn't tried again.
	backoffUntilUs map[string]int64
	// failedAtUs is when a stream to an address last ended before it had brought a frame, until one does bring one.
	failedAtUs map[string]int64
	// unreachableUntilUs is until when an address gets no reports, as one did not arrive there.
	unreachableUntilUs map[string]int64
	// staleAtUs is when a control node last was behind for too long.
	staleAtUs      map[string]int64
	controlNodes   map[string]membership.Member
	view           membership.View
	declaration    *configuration.Declaration
	revision       uint64
	snapshotNumber uint64
	lastStream     uint64
	openedAtUs     int64
	reportedAtUs   int64
	urgentAtUs     int64
	// currentUs is when a control node that was current last pushed a frame; lastStepUs is when the last event came, and
	// wokeAtUs when the first came after a gap.
	currentUs    int64
	lastStepUs   int64
	wokeAtUs     int64
	outliersAtUs int64
	failing      bool
	// lastSource was the last complete one, and counts while none is.
	lastSource *source
	// replicas, orders, gatewayCount and outliers are merged from all complete sources.
	replicas     map[string]wire.ReplicaRow
	orders       map[string]wire.PendingOrder
	ordersNumber uint64
	gatewayCount int
	outliers     outlier.Table
	replicaIDs   []string
	snapshot     *scheduling.Snapshot
	// changed are the replicas that the next snapshot shows otherwise than the last.
	changed map[string]bool
	effects []InformerEffect
}

// NewInformer is a mirror that knows nothing but its seeds.
func NewInformer(opts Options) *Informer {
	return &Informer{opts: opts, sources: map[uint64]*source{}, backoffUntilUs: map[string]int64{}, failedAtUs: map[string]int64{}, unreachableUntilUs: map[string]int64{}, staleAtUs: map[string]int64{}, replicas: map[string]wire.ReplicaRow{}, changed: map[string]bool{}, controlNodes: map[string]membership.Member{}}
}

func (i *Informer) emit(e InformerEffect) { i.effects = append(i.effects, e) }

// ControlNodes are all addresses that may be a control node's, those that were met first.
func (i *Informer) ControlNodes() []string {
	addrs := []string{}
	for _, id := range slices.Sorted(maps.Keys(i.controlNodes)) {
		addrs = append(addrs, i.controlNodes[id].Addr)
	}
	for _, s := range i.opts.Seeds {
		if !slices.Contains(addrs, s) {
			addrs = append(addrs, s)
		}
	}
	return addrs
}

// View is the newest view of the chain that a control node told.
func (i *Informer) View() membership.View { return i.view }

// Live counts the control nodes that push to this gateway now.
func (i *Informer) LiveStreamCount() int {
	n := 0
	for _, s := range i.sources {
		if s.live && s.complete {
			n++
		}
	}
	return n
}

// Step takes one event, or the passing of time alone, and returns what is to be done.
func (i *Informer) Step(ev InformerEvent) []InformerEffect {
	i.effects = nil
	i.recordWake(ev.NowUs)
	switch {
	case ev.Frame != nil:
		i.applyFrame(ev.NowUs, ev.Stream, ev.Frame)
	case ev.Closed != 0:
		i.streamClosed(ev.NowUs, ev.Closed)
	case ev.Seeds != nil:
		i.opts.Seeds = ev.Seeds
	case ev.Unreachable != "":
		i.unreachableUntilUs[ev.Unreachable] = ev.NowUs + reconnectBackoffUs
		i.urgentAtUs = ev.NowUs
	}
	i.failing = ev.Failing
	i.tick(ev.NowUs, ev.Urgent)
	return i.effects
}

// backoff is a span, or undeclaredBackoffUs as long as this gateway has no declaration.
func (i *Informer) backoff(us int64) int64 {
	if i.declaration == nil {
		return undeclaredBackoffUs
	}
	return us
}

func (i *Informer) streamClosed(nowUs int64, stream uint64) {
	s := i.sources[stream]
	if s == nil {
		return
	}
	delete(i.sources, stream)
	i.backoffUntilUs[s.addr] = nowUs + i.backoff(reconnectBackoffUs)
	if !s.live {
		i.failedAtUs[s.addr] = nowUs
	}
	if s.complete && i.LiveStreamCount() == 0 {
		i.lastSource = s
	}
	if i.snapshot != nil && i.mergeReplicas() {
		i.publish(nowUs)
	}
}

// setLive notes that a stream has brought a frame.
func (i *Informer) setLive(s *source) {
	s.live = true
	delete(i.failedAtUs, s.addr)
}

func (i *Informer) drop(nowUs int64, s *source) {
	i.emit(InformerEffect{Close: s.stream})
	i.streamClosed(nowUs, s.stream)
}

func (i *Informer) applyFrame(nowUs int64, stream uint64, f *wire.Frame) {
	s := i.sources[stream]
	if s == nil {
		return
	}
	s.receivedAtUs, s.controlNode = nowUs, f.ControlNode
	i.setLive(s)
	i.recordStaleness(nowUs, s, f.PossiblyStale)
	if f.Complete {
		s.complete, s.replicas = true, map[string]wire.ReplicaRow{}
	}
	if f.View != nil && f.View.Number >= i.view.Number {
		i.view = *f.View
	}
	for _, o := range f.ControlNodes {
		i.controlNodes[o.ID] = o
	}
	if len(i.controlNodes) > 64 {
		i.controlNodes = map[string]membership.Member{}
	}
	for _, r := range f.Replicas {
		s.replicas[r.ID] = r
	}
	if f.Orders != nil {
		s.applyOrders(f.Orders, f.Complete)
	}
	s.gatewayCount = f.GatewayCount
	revision := i.revision
	if !i.applyDeclaration(f) {
		i.drop(nowUs, s)
		return
	}
	i.recordCurrency(nowUs, s, f)
	changed := revision != i.revision || i.snapshot == nil || f.View != nil
	if f.Complete {
		changed = i.mergeReplicas() || changed
	} else if len(f.Replicas) > 0 {
		for _, r := range f.Replicas {
			changed = i.mergeReplica(r.ID) || changed
		}
	}
	changed = i.mergeOrders() || changed
	if f.Outliers != nil && f.Outliers.NewerThan(i.outliers) {
		i.outliers, changed = *f.Outliers, true
		i.outliersAtUs = nowUs
	}
	if changed {
		i.publish(nowUs)
	}
}

// applyOrders lays what has changed on the orders that stood.
func (s *source) applyOrders(o *wire.PendingOrders, complete bool) {
	next := make(map[string]wire.PendingOrder, len(o.Rows)+len(s.orders))
	if !complete {
		maps.Copy(next, s.orders)
	}
	for _, row := range o.Rows {
		if row.Unit == "" {
			delete(next, row.Replica)
		} else {
			next[row.Replica] = row
		}
	}
	s.orders, s.ordersNumber = next, o.Number
}

// applyDeclaration lays a frame's declaration or edits on what this gateway has; false where some are missing.
func (i *Informer) applyDeclaration(f *wire.Frame) bool {
	if f.Revision <= i.revision {
		return true
	}
	if f.Declaration != nil {
		i.declaration, i.revision = f.Declaration.Indexed(), f.Revision
		return true
	}
	if i.declaration == nil || f.EditsFrom > i.revision || f.Revision-f.EditsFrom != uint64(len(f.Edits)) {
		return false
	}
	declaration := i.declaration
	for _, e := range f.Edits[i.revision-f.EditsFrom:] {
		next, failure := declaration.Apply(e)
		if failure != nil {
			return false
		}
		declaration = next
	}
	i.declaration, i.revision = declaration.Indexed(), f.Revision
	return true
}
