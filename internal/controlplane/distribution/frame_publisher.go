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
func (h *FramePublisher) Follow(nowUs int64, f wire.SubscribeRequest) bool {
	if len(h.subscribers) >= maxSubscribers && h.subscribers[f.Gateway] == nil {
		return false
	}
	h.subscribers[f.Gateway] = &frameSubscriber{incarnation: f.Incarnation, revision: f.Revision, standby: f.Standby}
	h.RecordGateway(nowUs, f.Gateway)
	return true
}

// Unfollow ends the stream of a gateway's process; a newer process's stays.
func (h *FramePublisher) Unfollow(gateway, incarnation string) {
	if s := h.subscribers[gateway]; s != nil && s.incarnation == incarnation {
		delete(h.subscribers, gateway)
	}
}

// RecordGateway notes a living gateway.
func (h *FramePublisher) RecordGateway(nowUs int64, gateway string) { h.gateways[gateway] = nowUs }

// PrimarySubscribers are the gateways whose main stream comes from this control node, as other control nodes are told.
func (h *FramePublisher) PrimarySubscribers() []string {
	gateways := []string{}
	for id, s := range h.subscribers {
		if !s.standby {
			gateways = append(gateways, id)
		}
	}
	sort.Strings(gateways)
	return gateways
}

// Gateways are all that live, as far as this control node knows.
func (h *FramePublisher) Gateways(nowUs int64) []string {
	ids := []string{}
	for id := range h.subscribers {
		h.gateways[id] = nowUs
	}
	for id, heardUs := range h.gateways {
		if nowUs-heardUs < gatewayForgetUs {
			ids = append(ids, id)
		} else {
			delete(h.gateways, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Subscribers are the gateways with a stream from here, in order.
func (h *FramePublisher) Subscribers() []string { return slices.Sorted(maps.Keys(h.subscribers)) }

// Frames are what has changed since the last; where nothing has, a sign of life now and then. Changes
// are gathered for a moment that grows with the gateways, but for a declaration, which goes at once.
func (h *FramePublisher) Frames(seen FrameInput) []FramePush {
	if len(h.subscribers) == 0 {
		return nil
	}
	if seen.NowUs-h.liveCountedUs >= frameIdleUs {
		h.liveCountedUs = seen.NowUs
		h.liveGateways = len(h.Gateways(seen.NowUs))
	}
	mains, spares := []string{}, []string{}
	for _, id := range slices.Sorted(maps.Keys(h.subscribers)) {
		if h.subscribers[id].standby {
			spares = append(spares, id)
		} else {
			mains = append(mains, id)
		}
	}
	pushes := h.advance(nil, seen, &h.primary, mains, min(gatherPerGatewayUs*int64(len(mains)), maxGatherUs))
	return h.advance(pushes, seen, &h.standby, spares, standbyGatherUs)
}

// advance takes streams of one kind on to what is known now. Before a stream joins them by a whole frame, the
// others are brought on to the same point.
func (h *FramePublisher) advance(pushes []FramePush, seen FrameInput, t *streamState, ids []string, gapUs int64) []FramePush {
	if len(ids) == 0 {
		return pushes
	}
	joins := slices.ContainsFunc(ids, func(id string) bool { return !h.subscribers[id].complete })
	urgent := seen.Committed && seen.State.Revision != t.revision
	sinceUs := seen.NowUs - t.sentUs
	if joins || urgent || sinceUs >= gapUs {
		if f, news := h.delta(seen, t); news || sinceUs >= frameIdleUs {
			t.sentUs = seen.NowUs
			for _, id := range ids {
				if s := h.subscribers[id]; s.complete {
					s.revision = max(s.revision, f.Revision)
					pushes = append(pushes, FramePush{Gateway: id, Frame: f})
				}
			}
		}
	}
	for _, id := range ids {
		if s := h.subscribers[id]; !s.complete {
			s.complete = true
			pushes = append(pushes, FramePush{Gateway: id, Frame: h.fullFrame(seen, t, s)})
		}
	}
	return pushes
}

// delta is from what was last sent to what is known now.
func (h *FramePublisher) delta(seen FrameInput, t *streamState) (*wire.Frame, bool) {
	f := &wire.Frame{ControlNode: seen.Self, CaughtUp: seen.Committed, PossiblyStale: seen.Behind, GatewayCount: h.liveGateways}
	news := t.committed != seen.Committed || t.behind != seen.Behind || t.liveGateways != h.liveGateways
	t.committed, t.behind, t.liveGateways = seen.Committed, seen.Behind, h.liveGateways
	if seen.Committed && seen.State.Doc != nil && seen.State.Revision > t.revision {
		h.addConfiguration(f, seen.State, t.revision)
		t.revision = f.Revision
		news = true
	}
	if t.view != seen.View.Number || !slices.Equal(t.controlNodes, seen.ControlNodes) {
		view := seen.View
		t.view, t.controlNodes = view.Number, slices.Clone(seen.ControlNodes)
		f.View, f.ControlNodes = &view, t.controlNodes
		news = true
	}
	f.Replicas = t.changedReplicas(seen)
	if seen.Committed && (seen.State.CommandsIndex != t.commandsIndex || t.commands == nil) {
		f.Orders = t.changedCommands(seen.State)
	}
	if seen.Outliers.After(t.outliers) {
		t.outliers = seen.Outliers
		f.Outliers = &seen.Outliers
		news = true
	}
	return f, news || len(f.Replicas) > 0 || f.Orders != nil
}

// changedReplicas are the rows that another word of the replica or of the ledger has touched, where that is news.
func (t *streamState) changedReplicas(seen FrameInput) []wire.ReplicaRow {
	rows := []wire.ReplicaRow(nil)
	ids := []string{}
	if t.registryRevision != seen.Registry.Revision {
		ids = append(ids, seen.Registry.ChangedSince(t.registryRevision)...)
	}
	if t.replicasIndex != seen.State.ReplicasIndex {
		for id, r := range seen.State.Replicas {
			if r.ModifiedIndex > t.replicasIndex && seen.Registry.Entry(id) != nil {
				ids = append(ids, id)
			}
		}
	}
	t.registryRevision, t.replicasIndex = seen.Registry.Revision, seen.State.ReplicasIndex
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		row := replicaRow(seen, id)
		delete(t.stale, id)
		if last, told := t.rows[id]; told && equivalentRows(&last, &row) {
			continue
		}
		t.rows[id] = row
		rows = append(rows, row)
	}
	if len(t.rows) > 2*seen.Registry.Len()+rowsSlack {
		maps.DeleteFunc(t.rows, func(id string, _ wire.ReplicaRow) bool { return seen.Registry.Entry(id) == nil })
	}
	rows = append(rows, t.newStaleReplicas(seen)...)
	for _, id := range slices.Sorted(maps.Keys(t.stale)) {
		switch {
		case seen.Registry.Entry(id) != nil:
			delete(t.stale, id)
		case seen.State.Replicas[id] == nil:
			delete(t.stale, id)
			rows = append(rows, wire.ReplicaRow{Stale: true, ReplicaStatus: registry.ReplicaStatus{ID: id, Removed: true}})
		}
	}
	return rows
}

const rowsSlack = 64

// newStaleReplicas are the rows that the ledger has changed of replicas that nobody has told of since this control node came back.
// A stream may have begun before this control node knew what is committed, with a whole frame that lacked them. Whoever was
// told of once and is forgotten has ended.
func (t *streamState) newStaleReplicas(seen FrameInput) []wire.ReplicaRow {
	if !seen.Committed || t.staleIndex == seen.State.ReplicasIndex {
		return nil
	}
	rows := []wire.ReplicaRow(nil)
	for _, row := range staleRows(seen) {
		if _, told := t.rows[row.ID]; row.Index > t.staleIndex && !told {
			t.stale[row.ID] = true
			rows = append(rows, row)
		}
	}
	t.staleIndex = seen.State.ReplicasIndex
	return rows
}

// equivalentRows: a gateway would learn nothing from it but that the replica has spoken again.
func equivalentRows(a, b *wire.ReplicaRow) bool {
	return a.Index == b.Index && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.RemainingMs == b.RemainingMs && a.Removed == b.Removed && a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

// changedCommands are the orders that came to stand, or stand no longer.
func (t *streamState) changedCommands(s *statemachine.State) *wire.PendingOrders {
	now := make(map[string]wire.PendingOrder, len(s.Pending))
	o := &wire.PendingOrders{Number: s.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		now[id] = pendingCommand(id, s.Pending[id])
		if t.commands[id] != now[id] {
			o.Rows = append(o.Rows, now[id])
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.commands)) {
		if _, stands := now[id]; !stands {
			o.Rows = append(o.Rows, wire.PendingOrder{Replica: id})
		}
	}
	t.commandsIndex, t.commands = s.CommandsIndex, now
	return o
}

func replicaRow(seen FrameInput, id string) wire.ReplicaRow {
	e, kept := seen.Registry.Entry(id), seen.State.Replicas[id]
	row := wire.ReplicaRow{ReplicaStatus: e.ReplicaStatus, Unreachable: e.Unreachable}
	row.Release, row.WarmUpMs = "", 0
	if kept != nil && kept.Service != "" {
		row.Units, row.Index = sortedUnits(kept.Resident), kept.ModifiedIndex
	}
	return row
}

// fullFrame is all that this control node knows, as of the difference that the others have just had.
func (h *FramePublisher) fullFrame(seen FrameInput, t *streamState, s *frameSubscriber) *wire.Frame {
	view := seen.View
	f := &wire.Frame{ControlNode: seen.Self, Complete: true, CaughtUp: seen.Committed, PossiblyStale: seen.Behind, View: &view, ControlNodes: slices.Clone(seen.ControlNodes), GatewayCount: len(h.Gateways(seen.NowUs))}
	if seen.Committed && seen.State.Doc != nil && seen.State.Revision > s.revision {
		h.addConfiguration(f, seen.State, s.revision)
		s.revision = f.Revision
	}
	if seen.Outliers.Epoch > 0 {
		f.Outliers = &seen.Outliers
	}
	for _, id := range seen.Registry.IDs() {
		f.Replicas = append(f.Replicas, replicaRow(seen, id))
	}
	for _, row := range staleRows(seen) {
		t.stale[row.ID] = true
		f.Replicas = append(f.Replicas, row)
	}
	if seen.Committed {
		orders := allCommands(seen.State)
		f.Orders = &orders
	}
	return f
}

func (h *FramePublisher) addConfiguration(f *wire.Frame, s *statemachine.State, since uint64) {
	f.Revision = s.Revision
	if edits, ok := s.EditsSince(since); ok && since > 0 && len(edits) > 0 {
		f.EditsFrom = since
		for _, e := range edits {
			f.Edits = append(f.Edits, e.WithoutSource())
		}
		return
	}
	if h.bareSource != s.Doc {
		h.bareSource, h.bare = s.Doc, s.Doc.WithoutSource()
	}
	f.Declaration = h.bare
}

func allCommands(s *statemachine.State) wire.PendingOrders {
	o := wire.PendingOrders{Number: s.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(s.Pending)) {
		o.Rows = append(o.Rows, pendingCommand(id, s.Pending[id]))
	}
	return o
}

func pendingCommand(id string, t statemachine.ReplicaCommand) wire.PendingOrder {
	return wire.PendingOrder{Replica: id, Unit: t.Unit, Unload: t.Action == statemachine.Unload}
}

// staleRows are the replicas that the ledger knows and nobody has told of since this control node came back.
func staleRows(seen FrameInput) []wire.ReplicaRow {
	rows := []wire.ReplicaRow{}
	for _, id := range seen.State.ReplicaIDs() {
		r := seen.State.Replicas[id]
		if seen.Registry.Entry(id) != nil || r.Service == "" {
			continue
		}
		rows = append(rows, wire.ReplicaRow{Stale: true, Index: r.ModifiedIndex, ReplicaStatus: registry.ReplicaStatus{
			ID: id, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, RemainingMs: r.RemainingMs, Units: sortedUnits(r.Resident),
		}})
	}
	return rows
}

func sortedUnits(holds map[string]int64) []string { return slices.Sorted(maps.Keys(holds)) }
