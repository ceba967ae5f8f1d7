package distribution

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	frameIdleUs        = 400 * clock.Ms
	gatherPerGatewayUs = 5 * clock.Ms
	maxGatherUs        = 100 * clock.Ms
	standbyGatherUs    = 400 * clock.Ms
	maxSubscribers     = 4096
	gatewayForgetUs    = 3 * clock.Sec
)

// FrameInput is what a control node knows when it writes frames.
type FrameInput struct {
	NowUs        int64
	Self         string
	State        *statemachine.State
	View         chain.View
	ControlNodes []chain.Member
	Committed    bool
	// Behind: newer state than this may have been committed, as this control node has no word of the chain.
	Behind   bool
	Registry *registry.Registry
	// Outliers are the newest verdicts that this control node knows.
	Outliers outlier.Table
}

// FramePush is a frame for one gateway; gateways that know the same share one.
type FramePush struct {
	Gateway string
	Frame   *wire.Frame
}

type frameSubscriber struct {
	incarnation string
	standby     bool
	complete    bool
	revision    uint64
}

// FramePublisher is any control node's: it pushes differences to the gateways that follow this control node. All main streams that
// have had a whole frame are brought on together, by one frame that is written once, and so are all spare
// ones, which need it less often.
type FramePublisher struct {
	subscribers map[string]*frameSubscriber
	gateways    map[string]int64
	primary     streamState
	standby     streamState

	liveGateways  int
	liveCountedUs int64

	bare       *configuration.Declaration
	bareSource *configuration.Declaration
}

// streamState is how far the streams of one kind have been brought on.
type streamState struct {
	outliers         outlier.Table
	committed        bool
	behind           bool
	revision         uint64
	registryRevision uint64
	replicasIndex    uint64
	// staleIndex is the change of the ledger's replicas up to which rows went out of those that nobody has heard.
	staleIndex    uint64
	commandsIndex uint64
	commands      map[string]wire.PendingOrder
	view          uint64
	controlNodes  []chain.Member
	liveGateways  int
	rows          map[string]wire.ReplicaRow
	stale         map[string]bool
	sentUs        int64
}

func newStreamState() streamState {
	return streamState{rows: map[string]wire.ReplicaRow{}, stale: map[string]bool{}}
}

// NewFramePublisher is a hub that nobody follows.
func NewFramePublisher() *FramePublisher {
	return &FramePublisher{subscribers: map[string]*frameSubscriber{}, gateways: map[string]int64{}, primary: newStreamState(), standby: newStreamState()}
}

// Follow begins a stream; a declaration that the gateway already has is not sent again.
func (p *FramePublisher) Follow(nowUs int64, f wire.SubscribeRequest) bool {
	if len(p.subscribers) >= maxSubscribers && p.subscribers[f.Gateway] == nil {
		return false
	}
	p.subscribers[f.Gateway] = &frameSubscriber{incarnation: f.Incarnation, revision: f.Revision, standby: f.Standby}
	p.RecordGateway(nowUs, f.Gateway)
	return true
}

// Unfollow ends the stream of a gateway's process; a newer process's stays.
func (p *FramePublisher) Unfollow(gateway, incarnation string) {
	if s := p.subscribers[gateway]; s != nil && s.incarnation == incarnation {
		delete(p.subscribers, gateway)
	}
}

// RecordGateway notes a living gateway.
func (p *FramePublisher) RecordGateway(nowUs int64, gateway string) { p.gateways[gateway] = nowUs }

// PrimarySubscribers are the gateways whose main stream comes from this control node, as other control nodes are told.
func (p *FramePublisher) PrimarySubscribers() []string {
	gateways := []string{}
	for id, s := range p.subscribers {
		if !s.standby {
			gateways = append(gateways, id)
		}
	}
	sort.Strings(gateways)
	return gateways
}

// Gateways are all that live, as far as this control node knows.
func (p *FramePublisher) Gateways(nowUs int64) []string {
	ids := []string{}
	for id := range p.subscribers {
		p.gateways[id] = nowUs
	}
	for id, lastSeenUs := range p.gateways {
		if nowUs-lastSeenUs < gatewayForgetUs {
			ids = append(ids, id)
		} else {
			delete(p.gateways, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Subscribers are the gateways with a stream from here, in order.
func (p *FramePublisher) Subscribers() []string { return slices.Sorted(maps.Keys(p.subscribers)) }

// Frames are what has changed since the last; where nothing has, a sign of life now and then. Changes
// are gathered for a moment that grows with the gateways, but for a declaration, which goes at once.
func (p *FramePublisher) Frames(in FrameInput) []FramePush {
	if len(p.subscribers) == 0 {
		return nil
	}
	if in.NowUs-p.liveCountedUs >= frameIdleUs {
		p.liveCountedUs = in.NowUs
		p.liveGateways = len(p.Gateways(in.NowUs))
	}
	primaries, standbys := []string{}, []string{}
	for _, id := range slices.Sorted(maps.Keys(p.subscribers)) {
		if p.subscribers[id].standby {
			standbys = append(standbys, id)
		} else {
			primaries = append(primaries, id)
		}
	}
	pushes := p.advance(nil, in, &p.primary, primaries, min(gatherPerGatewayUs*int64(len(primaries)), maxGatherUs))
	return p.advance(pushes, in, &p.standby, standbys, standbyGatherUs)
}

// advance takes streams of one kind on to what is known now. Before a stream joins them by a whole frame, the
// others are brought on to the same point.
func (p *FramePublisher) advance(pushes []FramePush, in FrameInput, stream *streamState, ids []string, gapUs int64) []FramePush {
	if len(ids) == 0 {
		return pushes
	}
	joins := slices.ContainsFunc(ids, func(id string) bool { return !p.subscribers[id].complete })
	urgent := in.Committed && in.State.Revision != stream.revision
	sinceUs := in.NowUs - stream.sentUs
	if joins || urgent || sinceUs >= gapUs {
		if f, changed := p.delta(in, stream); changed || sinceUs >= frameIdleUs {
			stream.sentUs = in.NowUs
			for _, id := range ids {
				if s := p.subscribers[id]; s.complete {
					s.revision = max(s.revision, f.Revision)
					pushes = append(pushes, FramePush{Gateway: id, Frame: f})
				}
			}
		}
	}
	for _, id := range ids {
		if s := p.subscribers[id]; !s.complete {
			s.complete = true
			pushes = append(pushes, FramePush{Gateway: id, Frame: p.fullFrame(in, stream, s)})
		}
	}
	return pushes
}

// delta is from what was last sent to what is known now.
func (p *FramePublisher) delta(in FrameInput, stream *streamState) (*wire.Frame, bool) {
	frame := &wire.Frame{ControlNode: in.Self, CaughtUp: in.Committed, PossiblyStale: in.Behind, GatewayCount: p.liveGateways}
	changed := stream.committed != in.Committed || stream.behind != in.Behind || stream.liveGateways != p.liveGateways
	stream.committed, stream.behind, stream.liveGateways = in.Committed, in.Behind, p.liveGateways
	if in.Committed && in.State.Doc != nil && in.State.Revision > stream.revision {
		p.addConfiguration(frame, in.State, stream.revision)
		stream.revision = frame.Revision
		changed = true
	}
	if stream.view != in.View.Number || !slices.Equal(stream.controlNodes, in.ControlNodes) {
		view := in.View
		stream.view, stream.controlNodes = view.Number, slices.Clone(in.ControlNodes)
		frame.View, frame.ControlNodes = &view, stream.controlNodes
		changed = true
	}
	frame.Replicas = stream.changedReplicas(in)
	if in.Committed && (in.State.CommandsIndex != stream.commandsIndex || stream.commands == nil) {
		frame.Orders = stream.changedCommands(in.State)
	}
	if in.Outliers.NewerThan(stream.outliers) {
		stream.outliers = in.Outliers
		frame.Outliers = &in.Outliers
		changed = true
	}
	return frame, changed || len(frame.Replicas) > 0 || frame.Orders != nil
}

// changedReplicas are the rows that another word of the replica or of the ledger has touched, where that is news.
func (s *streamState) changedReplicas(in FrameInput) []wire.ReplicaRow {
	rows := []wire.ReplicaRow(nil)
	ids := []string{}
	if s.registryRevision != in.Registry.Revision {
		ids = append(ids, in.Registry.ChangedSince(s.registryRevision)...)
	}
	if s.replicasIndex != in.State.ReplicasIndex {
		for id, r := range in.State.Replicas {
			if r.ModifiedIndex > s.replicasIndex && in.Registry.Entry(id) != nil {
				ids = append(ids, id)
			}
		}
	}
	s.registryRevision, s.replicasIndex = in.Registry.Revision, in.State.ReplicasIndex
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		row := replicaRow(in, id)
		delete(s.stale, id)
		if last, sent := s.rows[id]; sent && equivalentRows(&last, &row) {
			continue
		}
		s.rows[id] = row
		rows = append(rows, row)
	}
	if len(s.rows) > 2*in.Registry.Len()+rowsSlack {
		maps.DeleteFunc(s.rows, func(id string, _ wire.ReplicaRow) bool { return in.Registry.Entry(id) == nil })
	}
	rows = append(rows, s.newStaleReplicas(in)...)
	for _, id := range slices.Sorted(maps.Keys(s.stale)) {
		switch {
		case in.Registry.Entry(id) != nil:
			delete(s.stale, id)
		case in.State.Replicas[id] == nil:
			delete(s.stale, id)
			rows = append(rows, wire.ReplicaRow{Stale: true, ReplicaStatus: registry.ReplicaStatus{ID: id, Removed: true}})
		}
	}
	return rows
}

const rowsSlack = 64

// newStaleReplicas are the rows that the ledger has changed of replicas that nobody has told of since this control node came back.
// A stream may have begun before this control node knew what is committed, with a whole frame that lacked them. Whoever was
// told of once and is forgotten has ended.
func (s *streamState) newStaleReplicas(in FrameInput) []wire.ReplicaRow {
	if !in.Committed || s.staleIndex == in.State.ReplicasIndex {
		return nil
	}
	rows := []wire.ReplicaRow(nil)
	for _, row := range staleRows(in) {
		if _, sent := s.rows[row.ID]; row.Index > s.staleIndex && !sent {
			s.stale[row.ID] = true
			rows = append(rows, row)
		}
	}
	s.staleIndex = in.State.ReplicasIndex
	return rows
}

// equivalentRows: a gateway would learn nothing from it but that the replica has spoken again.
func equivalentRows(a, b *wire.ReplicaRow) bool {
	return a.Index == b.Index && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.RemainingMs == b.RemainingMs && a.Removed == b.Removed && a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

// changedCommands are the orders that came to stand, or stand no longer.
func (s *streamState) changedCommands(state *statemachine.State) *wire.PendingOrders {
	pending := make(map[string]wire.PendingOrder, len(state.Pending))
	orders := &wire.PendingOrders{Number: state.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(state.Pending)) {
		pending[id] = pendingCommand(id, state.Pending[id])
		if s.commands[id] != pending[id] {
			orders.Rows = append(orders.Rows, pending[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.commands)) {
		if _, isPending := pending[id]; !isPending {
			orders.Rows = append(orders.Rows, wire.PendingOrder{Replica: id})
		}
	}
	s.commandsIndex, s.commands = state.CommandsIndex, pending
	return orders
}

func replicaRow(in FrameInput, id string) wire.ReplicaRow {
	e, committed := in.Registry.Entry(id), in.State.Replicas[id]
	row := wire.ReplicaRow{ReplicaStatus: e.ReplicaStatus, Unreachable: e.Unreachable}
	row.Release, row.WarmUpMs = "", 0
	if committed != nil && committed.Service != "" {
		row.Units, row.Index = sortedUnits(committed.Resident), committed.ModifiedIndex
	}
	return row
}

// fullFrame is all that this control node knows, as of the difference that the others have just had.
func (p *FramePublisher) fullFrame(in FrameInput, stream *streamState, subscriber *frameSubscriber) *wire.Frame {
	view := in.View
	frame := &wire.Frame{ControlNode: in.Self, Complete: true, CaughtUp: in.Committed, PossiblyStale: in.Behind, View: &view, ControlNodes: slices.Clone(in.ControlNodes), GatewayCount: len(p.Gateways(in.NowUs))}
	if in.Committed && in.State.Doc != nil && in.State.Revision > subscriber.revision {
		p.addConfiguration(frame, in.State, subscriber.revision)
		subscriber.revision = frame.Revision
	}
	if in.Outliers.Epoch > 0 {
		frame.Outliers = &in.Outliers
	}
	for _, id := range in.Registry.IDs() {
		frame.Replicas = append(frame.Replicas, replicaRow(in, id))
	}
	for _, row := range staleRows(in) {
		stream.stale[row.ID] = true
		frame.Replicas = append(frame.Replicas, row)
	}
	if in.Committed {
		orders := allCommands(in.State)
		frame.Orders = &orders
	}
	return frame
}

func (p *FramePublisher) addConfiguration(frame *wire.Frame, state *statemachine.State, since uint64) {
	frame.Revision = state.Revision
	if edits, ok := state.EditsSince(since); ok && since > 0 && len(edits) > 0 {
		frame.EditsFrom = since
		for _, e := range edits {
			frame.Edits = append(frame.Edits, e.WithoutSource())
		}
		return
	}
	if p.bareSource != state.Doc {
		p.bareSource, p.bare = state.Doc, state.Doc.WithoutSource()
	}
	frame.Declaration = p.bare
}

func allCommands(state *statemachine.State) wire.PendingOrders {
	orders := wire.PendingOrders{Number: state.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(state.Pending)) {
		orders.Rows = append(orders.Rows, pendingCommand(id, state.Pending[id]))
	}
	return orders
}

func pendingCommand(id string, command statemachine.ReplicaCommand) wire.PendingOrder {
	return wire.PendingOrder{Replica: id, Unit: command.Unit, Unload: command.Action == statemachine.Unload}
}

// staleRows are the replicas that the ledger knows and nobody has told of since this control node came back.
func staleRows(in FrameInput) []wire.ReplicaRow {
	rows := []wire.ReplicaRow{}
	for _, id := range in.State.ReplicaIDs() {
		r := in.State.Replicas[id]
		if in.Registry.Entry(id) != nil || r.Service == "" {
			continue
		}
		rows = append(rows, wire.ReplicaRow{Stale: true, Index: r.ModifiedIndex, ReplicaStatus: registry.ReplicaStatus{
			ID: id, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, RemainingMs: r.RemainingMs, Units: sortedUnits(r.Resident),
		}})
	}
	return rows
}

func sortedUnits(resident map[string]int64) []string { return slices.Sorted(maps.Keys(resident)) }
