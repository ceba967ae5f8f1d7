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
	// frameIdleUs is the maximum time without a frame on a stream, in microseconds; after that an empty frame shows that the
	// stream is alive.
	frameIdleUs = 400 * clock.Ms
	// batchPerGatewayUs is the batching delay of primary streams per stream, up to maxBatchUs in total: with many gateways,
	// each gets fewer and larger frames.
	batchPerGatewayUs = 5 * clock.Ms
	maxBatchUs        = 100 * clock.Ms
	// standbyBatchUs is the batching delay of standby streams.
	standbyBatchUs = 400 * clock.Ms
	// maxSubscribers is the maximum number of streams of one control node.
	maxSubscribers = 4096
	// gatewayLivenessUs is how long a gateway counts as live after it was last seen.
	gatewayLivenessUs = 3 * clock.Sec
)

// FrameInput is the knowledge of a control node from which frames are built. The publisher never changes it.
type FrameInput struct {
	NowUs int64
	// Self is the ID of this control node.
	Self  string
	State *statemachine.State
	View  chain.View
	// ControlNodes lists all known control nodes, including those outside the view.
	ControlNodes []chain.Member
	// Committed reports that State is known to be committed. Until then no declaration and no command is sent.
	Committed bool
	// PossiblyStale reports that newer state may have been committed, as this control node receives nothing from the chain.
	PossiblyStale bool
	Registry      *registry.Registry
	// Outliers is the newest table of ejections that this control node knows.
	Outliers outlier.Table
}

// FramePush is a frame for one gateway. Gateways with the same knowledge share one frame, which must not be changed.
type FramePush struct {
	Gateway string
	Frame   *wire.Frame
}

// frameSubscriber is the stream of one gateway.
type frameSubscriber struct {
	incarnation string
	// standby reports that the gateway has its primary stream from another control node.
	standby bool
	// complete reports that the full frame was sent, so that deltas follow.
	complete bool
	// revision is the revision of the declaration that the gateway has.
	revision uint64
}

// FramePublisher pushes delta frames to the gateways that are subscribed to this control node. All primary streams that have had
// their full frame advance together by one frame that is encoded once. The standby streams do the same, less often.
type FramePublisher struct {
	subscribers map[string]*frameSubscriber
	// lastSeenUs is the time at which each known gateway was last seen, whichever control node it is subscribed to.
	lastSeenUs map[string]int64
	primary    streamState
	standby    streamState

	// liveGateways is the number of live gateways as of liveCountedUs.
	liveGateways  int
	liveCountedUs int64

	// stripped is the declaration strippedFrom without the fields that gateways do not need, built once for each declaration.
	stripped     *configuration.Declaration
	strippedFrom *configuration.Declaration
}

// NewFramePublisher returns a publisher without subscribers.
func NewFramePublisher() *FramePublisher {
	return &FramePublisher{subscribers: map[string]*frameSubscriber{}, lastSeenUs: map[string]int64{}, primary: newStreamState(), standby: newStreamState()}
}

// Subscribe starts a stream that replaces the gateway's previous one. It returns false if there are maxSubscribers streams
// already. A declaration that the gateway already has is not sent again.
func (p *FramePublisher) Subscribe(nowUs int64, request wire.SubscribeRequest) bool {
	if len(p.subscribers) >= maxSubscribers && p.subscribers[request.Gateway] == nil {
		return false
	}
	p.subscribers[request.Gateway] = &frameSubscriber{incarnation: request.Incarnation, revision: request.Revision, standby: request.Standby}
	p.RecordGateway(nowUs, request.Gateway)
	return true
}

// Unsubscribe ends the stream of one incarnation of a gateway. The stream of a newer incarnation is kept.
func (p *FramePublisher) Unsubscribe(gateway, incarnation string) {
	if s := p.subscribers[gateway]; s != nil && s.incarnation == incarnation {
		delete(p.subscribers, gateway)
	}
}

// RecordGateway records that a gateway was seen.
func (p *FramePublisher) RecordGateway(nowUs int64, gateway string) { p.lastSeenUs[gateway] = nowUs }

// PrimarySubscribers returns the gateways whose primary stream comes from this control node, sorted, for gossip to other control
// nodes.
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

// Gateways returns the IDs of all live gateways that this control node knows, sorted.
func (p *FramePublisher) Gateways(nowUs int64) []string {
	ids := []string{}
	for id := range p.subscribers {
		p.lastSeenUs[id] = nowUs
	}
	for id, seenUs := range p.lastSeenUs {
		if nowUs-seenUs < gatewayLivenessUs {
			ids = append(ids, id)
		} else {
			delete(p.lastSeenUs, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Subscribers returns the IDs of the gateways that are subscribed to this control node, sorted.
func (p *FramePublisher) Subscribers() []string { return slices.Sorted(maps.Keys(p.subscribers)) }

// Frames returns the frames that are due: the changes since the last frame, or an empty frame after frameIdleUs. Changes are
// batched for a delay that grows with the number of gateways, but a new declaration is sent immediately.
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
	pushes := p.advance(nil, in, &p.primary, primaries, min(batchPerGatewayUs*int64(len(primaries)), maxBatchUs))
	return p.advance(pushes, in, &p.standby, standbys, standbyBatchUs)
}

// advance appends the frames that are due for the streams of one kind. Before it sends the full frame of a new stream, it sends a
// delta to the others, so that all streams of the kind are at the same point. Otherwise an item that was added and removed in
// between would remain at a gateway.
func (p *FramePublisher) advance(pushes []FramePush, in FrameInput, stream *streamState, ids []string, batchUs int64) []FramePush {
	if len(ids) == 0 {
		return pushes
	}
	joins := slices.ContainsFunc(ids, func(id string) bool { return !p.subscribers[id].complete })
	urgent := in.Committed && in.State.Revision != stream.revision
	sinceUs := in.NowUs - stream.lastSentUs
	if joins || urgent || sinceUs >= batchUs {
		if f, changed := p.delta(in, stream); changed || sinceUs >= frameIdleUs {
			stream.lastSentUs = in.NowUs
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

// delta returns the frame from the last one sent to the current input, and whether the frame contains a change.
func (p *FramePublisher) delta(in FrameInput, stream *streamState) (*wire.Frame, bool) {
	frame := &wire.Frame{ControlNode: in.Self, CaughtUp: in.Committed, PossiblyStale: in.PossiblyStale, GatewayCount: p.liveGateways}
	changed := stream.committed != in.Committed || stream.possiblyStale != in.PossiblyStale || stream.liveGateways != p.liveGateways
	stream.committed, stream.possiblyStale, stream.liveGateways = in.Committed, in.PossiblyStale, p.liveGateways
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

// fullFrame returns everything that this control node knows, at the point of the delta that the other streams have just had.
func (p *FramePublisher) fullFrame(in FrameInput, stream *streamState, subscriber *frameSubscriber) *wire.Frame {
	view := in.View
	frame := &wire.Frame{ControlNode: in.Self, Complete: true, CaughtUp: in.Committed, PossiblyStale: in.PossiblyStale, View: &view, ControlNodes: slices.Clone(in.ControlNodes), GatewayCount: len(p.Gateways(in.NowUs))}
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

// addConfiguration adds the edits since a revision that the gateway has, or the whole declaration if these edits are not retained.
func (p *FramePublisher) addConfiguration(frame *wire.Frame, state *statemachine.State, since uint64) {
	frame.Revision = state.Revision
	if edits, ok := state.EditsSince(since); ok && since > 0 && len(edits) > 0 {
		frame.EditsFrom = since
		for _, e := range edits {
			frame.Edits = append(frame.Edits, e.WithoutSource())
		}
		return
	}
	if p.strippedFrom != state.Doc {
		p.strippedFrom, p.stripped = state.Doc, state.Doc.WithoutSource()
	}
	frame.Declaration = p.stripped
}
