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
	// frameTimeoutUs is how long a stream may be without a frame before it is closed, in microseconds.
	frameTimeoutUs = 1300 * clock.Ms
	// openIntervalUs is the shortest time between two attempts to open streams.
	openIntervalUs = 300 * clock.Ms
	// reconnectBackoffUs is the backoff for a control node whose stream ended or that did not accept a report.
	reconnectBackoffUs = 1000 * clock.Ms
	// undeclaredBackoffUs replaces reconnectBackoffUs and openIntervalUs at a gateway without a declaration. It is shorter because
	// the gateway's callers have to wait in the meantime.
	undeclaredBackoffUs = 100 * clock.Ms
	// reportIntervalUs is the fixed part of the interval between two reports.
	reportIntervalUs = 250 * clock.Ms
	// reportIntervalPerGatewayUs is added to the interval for each gateway, so that the load of all reports stays bounded.
	reportIntervalPerGatewayUs = 3 * clock.Ms
	// failureReportIntervalUs bounds the interval while failed attempts are unreported.
	failureReportIntervalUs = 250 * clock.Ms
	// streamCount is the number of streams that are kept open: a primary and a standby.
	streamCount = 2
	// outlierTimeoutUs is how long the last table of ejected replicas stays in effect without being renewed.
	outlierTimeoutUs = 30 * clock.Sec
)

// InformerEvent is an input of Informer.Step: a frame, the end of a stream, new seeds, or an undelivered report. If none of these is
// set, only time has passed.
type InformerEvent struct {
	// NowUs is the instant of the event, in microseconds.
	NowUs int64
	// Frame was received on the stream numbered Stream; nil if the event brings none.
	Frame  *wire.Frame
	Stream uint64
	// Closed is the number of a stream that ended; 0 if none did.
	Closed uint64
	// Seeds replace the seeds of the options; nil leaves them unchanged.
	Seeds []string
	// Urgent requests a report without delay.
	Urgent bool
	// Failing is true if there are failed attempts that no report has contained yet.
	Failing bool
	// Unreachable is the address at which a report could not be delivered.
	Unreachable string
}

// InformerEffect is one action that the caller of Informer.Step must execute: open or close a stream, send a report to an address,
// or publish a snapshot. Exactly one field is set.
type InformerEffect struct {
	Open     *Stream
	Close    uint64
	Report   string
	Snapshot *scheduling.Snapshot
}

// Stream describes a stream of frames from one control node.
type Stream struct {
	// Number identifies the stream within its informer; it is never 0.
	Number  uint64
	Addr    string
	Request wire.SubscribeRequest
}

// source is an open stream and the state received on it.
type source struct {
	stream uint64
	// standby is true if the stream was requested as a standby, which carries little: the rest comes from the primary.
	standby bool
	addr    string
	// receivedAtUs is the instant of the last frame, or of the opening if there was none.
	receivedAtUs int64
	// live is true once a frame has been received.
	live bool
	// complete is true once a complete frame, with everything that the control node knows, has been received.
	complete bool
	// staleSinceUs is the instant since which the control node reports that it may be stale; 0 if it does not.
	staleSinceUs int64
	controlNode  string
	replicas     map[string]wire.ReplicaRow
	// orders are the pending orders by replica. The map is replaced, never modified.
	orders       map[string]wire.PendingOrder
	ordersNumber uint64
	gatewayCount int
}

// Informer maintains the control state of a gateway from the frames of two control nodes at once, so that the loss of one causes
// no delay. Without any stream it keeps the last known state. Revisions never decrease.
type Informer struct {
	opts Options
	// sources are the open streams, by number.
	sources map[uint64]*source
	// backoffUntilUs is, by address, the instant before which no stream to it is opened.
	backoffUntilUs map[string]int64
	// failedAtUs is, by address, when a stream last ended before its first frame. A frame from the address deletes the entry.
	failedAtUs map[string]int64
	// unreachableUntilUs is, by address, the instant before which no report is sent to it, because one could not be delivered.
	unreachableUntilUs map[string]int64
	// staleAtUs is, by address, when a control node had last been stale for staleAfterUs or longer.
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
	// currentUs is the instant of the newest frame from a current control node, lastStepUs that of the last step, and wokeAtUs that
	// of the first step after the latest gap; each is 0 before the first.
	currentUs    int64
	lastStepUs   int64
	wokeAtUs     int64
	outliersAtUs int64
	failing      bool
	// lastSource is the last source that was complete when it closed. It is used while no open source is complete.
	lastSource *source
	// replicas, orders and gatewayCount are merged from all complete sources; outliers is the newest table from any source.
	replicas     map[string]wire.ReplicaRow
	orders       map[string]wire.PendingOrder
	ordersNumber uint64
	gatewayCount int
	outliers     outlier.Table
	replicaIDs   []string
	snapshot     *scheduling.Snapshot
	// changed are the IDs of the replicas whose rows change with the next snapshot.
	changed map[string]bool
	effects []InformerEffect
}

// NewInformer returns an informer without any state besides the seeds in opts.
func NewInformer(opts Options) *Informer {
	return &Informer{opts: opts, sources: map[uint64]*source{}, backoffUntilUs: map[string]int64{}, failedAtUs: map[string]int64{}, unreachableUntilUs: map[string]int64{}, staleAtUs: map[string]int64{}, replicas: map[string]wire.ReplicaRow{}, changed: map[string]bool{}, controlNodes: map[string]membership.Member{}}
}

func (i *Informer) emit(e InformerEffect) { i.effects = append(i.effects, e) }

// ControlNodes returns the addresses of all known control nodes, followed by those of the seeds.
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

// View returns the newest view of the chain that was received from a control node.
func (i *Informer) View() membership.View { return i.view }

// LiveStreamCount returns the number of open streams that have received a complete frame.
func (i *Informer) LiveStreamCount() int {
	n := 0
	for _, s := range i.sources {
		if s.live && s.complete {
			n++
		}
	}
	return n
}

// Step processes one event, or only the passage of time, and returns the effects to execute.
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

// backoff returns us, or undeclaredBackoffUs while this gateway has no declaration.
func (i *Informer) backoff(us int64) int64 {
	if i.declaration == nil {
		return undeclaredBackoffUs
	}
	return us
}

// streamClosed removes a stream, sets the backoff of its address, and publishes a snapshot if the merged replicas change.
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

// setLive records that a frame has been received on a stream.
func (i *Informer) setLive(s *source) {
	s.live = true
	delete(i.failedAtUs, s.addr)
}

// drop closes a stream.
func (i *Informer) drop(nowUs int64, s *source) {
	i.emit(InformerEffect{Close: s.stream})
	i.streamClosed(nowUs, s.stream)
}

// applyFrame merges a frame into the state and publishes a snapshot if the frame changes anything. If the frame's edits do not
// follow from the known revision, it drops the stream.
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

// applyOrders applies changed orders to the previous ones, or replaces them if the frame is complete.
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

// applyDeclaration applies the declaration or the edits of a frame. It returns false if edits are missing or do not apply.
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
