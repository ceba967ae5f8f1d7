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
	// frameIdleUs is how long a stream may carry nothing before an empty frame shows that it is alive.
	frameIdleUs = 400 * clock.Ms
	// batchPerGatewayUs is how long changes are gathered for each primary stream, up to maxBatchUs: many gateways get
	// fewer, larger frames.
	batchPerGatewayUs = 5 * clock.Ms
	maxBatchUs        = 100 * clock.Ms
	// standbyBatchUs is how long changes are gathered for standby streams.
	standbyBatchUs = 400 * clock.Ms
	// maxSubscribers bounds the streams of one control node.
	maxSubscribers = 4096
	// gatewayLivenessUs is how long after the last sign of life a gateway counts as alive.
	gatewayLivenessUs = 3 * clock.Sec
)

// FrameInput is what a control node knows when it writes frames. Nothing of it is changed.
type FrameInput struct {
	NowUs int64
	// Self is this control node.
	Self  string
	State *statemachine.State
	View  chain.View
	// ControlNodes are all that are known, in the view or not.
	ControlNodes []chain.Member
	// Committed says that State is known to be committed. Before, no declaration and no command is sent.
	Committed bool
	// Behind says that newer state may have been committed, as nothing comes from the chain.
	PossiblyStale bool
	Registry      *registry.Registry
	// Outliers are the newest ejections that this control node knows.
	Outliers outlier.Table
}

// FramePush is a frame for one gateway. Gateways that know the same share one frame, which must not be changed.
type FramePush struct {
	Gateway string
	Frame   *wire.Frame
}

// frameSubscriber is the stream of one gateway.
type frameSubscriber struct {
	incarnation string
	// standby streams run beside a primary one from another control node.
	standby bool
	// complete says that the stream has had its full frame, and gets deltas.
	complete bool
	// revision is the declaration that the gateway has.
	revision uint64
}

// FramePublisher pushes delta frames to the gateways that follow this control node. All primary streams that have had a
// full frame advance together, by one frame that is encoded once, and so do all standby streams, less often.
type FramePublisher struct {
	subscribers map[string]*frameSubscriber
	// gateways is when each known gateway last gave a sign of life, whichever control node it follows.
	lastSeenUs map[string]int64
	primary    streamState
	standby    streamState

	// liveGateways is their number as of liveCountedUs.
	liveGateways  int
	liveCountedUs int64

	// bare is strippedFrom without what gateways don't need, built once for each declaration.
	stripped     *configuration.Declaration
	strippedFrom *configuration.Declaration
}

// NewFramePublisher returns a publisher without subscribers.
func NewFramePublisher() *FramePublisher {
	return &FramePublisher{subscribers: map[string]*frameSubscriber{}, lastSeenUs: map[string]int64{}, primary: newStreamState(), standby: newStreamState()}
}

// Follow begins a stream, in place of the gateway's last; false where there are too many. A declaration that the gateway
// already has is not sent again.
func (p *FramePublisher) Subscribe(nowUs int64, request wire.SubscribeRequest) bool {
	if len(p.subscribers) >= maxSubscribers && p.subscribers[request.Gateway] == nil {
		return false
	}
	p.subscribers[request.Gateway] = &frameSubscriber{incarnation: request.Incarnation, revision: request.Revision, standby: request.Standby}
	p.RecordGateway(nowUs, request.Gateway)
	return true
}

// Unfollow ends the stream of a gateway's process. That of a newer process stays.
func (p *FramePublisher) Unsubscribe(gateway, incarnation string) {
	if s := p.subscribers[gateway]; s != nil && s.incarnation == incarnation {
		delete(p.subscribers, gateway)
	}
}

// RecordGateway records a sign of life of a gateway.
func (p *FramePublisher) RecordGateway(nowUs int64, gateway string) { p.lastSeenUs[gateway] = nowUs }

// PrimarySubscribers returns the gateways whose primary stream comes from here, in order, for gossip to other control nodes.
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

// Gateways returns all live gateways that this control node knows, in order.
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

// Subscribers returns the gateways with a stream from here, in order.
func (p *FramePublisher) Subscribers() []string { return slices.Sorted(maps.Keys(p.subscribers)) }

// Frames returns the frames that are due: what has changed since the last, or an empty one after frameIdleUs. Changes are
// gathered for a moment that grows with the number of gateways, but a declaration goes at once.
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

// advance brings the streams of one kind to what is known now, where that is due. Before a stream joins by a full frame,
// the others are brought to the same point: what came and went between would stay otherwise.
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

// delta returns the frame from what was last sent to what is known now; false where it says nothing new.
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

// fullFrame returns all that this control node knows, as of the delta that the others have just had.
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

// addConfiguration adds the edits since a revision that the gateway has, or the declaration where they are not retained.
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
