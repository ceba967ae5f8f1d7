package controlnode

import (
	"context"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/actor"
)

// updateStream is a gateway's stream of configuration updates. An update that has not been sent yet is replaced by the next.
type updateStream struct {
	// latest holds the newest update that has not been sent.
	latest chan wire.GatewayUpdate
}

// pushUpdate replaces the gateway's unsent update, if any, by update. A declaration that only the replaced update carried is
// kept.
func (h *Host) pushUpdate(gateway string, update wire.GatewayUpdate) {
	stream := h.updateStreams[gateway]
	if stream == nil {
		return
	}
	for {
		select {
		case stream.latest <- update:
			return
		default:
		}
		select {
		case older := <-stream.latest:
			if update.Declaration == nil {
				update.Declaration = older.Declaration
			}
		default:
		}
	}
}

// serveUpdates serves a gateway's stream of configuration updates until the gateway subscribes again or this control node is no
// longer the tail.
func (h *Host) serveUpdates(ctx context.Context, request *wire.SubscribeRequest, send func(*wire.GatewayUpdate) error) error {
	stream := &updateStream{latest: make(chan wire.GatewayUpdate, 1)}
	defer h.actor.Tell(func() {
		if h.updateStreams[request.Gateway] == stream {
			delete(h.updateStreams, request.Gateway)
		}
	})
	view, ran := actor.Ask(ctx, h.actor, func() uint64 {
		if !h.core.Node.IsTailReady(h.core.Node.NowUs()) {
			return 0
		}
		h.updateStreams[request.Gateway] = stream
		h.step(SubscribeUpdates{Request: request})
		return h.core.Node.View().Number
	})
	if !ran || view == 0 {
		return fault.New(fault.NotServing, "", "not a tail that is ready to serve")
	}
	roleCheck := time.NewTicker(300 * time.Millisecond)
	defer roleCheck.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.actor.Ctx.Done():
			return nil
		case update := <-stream.latest:
			if err := send(&update); err != nil {
				return err
			}
		case <-roleCheck.C:
			ended, ran := actor.Ask(ctx, h.actor, func() bool {
				return h.updateStreams[request.Gateway] != stream || !h.core.Node.IsTail() || h.core.Node.View().Number < view
			})
			if ended || !ran {
				return fault.New(fault.NotServing, "", "no longer the tail")
			}
		}
	}
}

const (
	// frameStreamCapacity is the number of frames queued for a gateway; a stream whose queue overflows is closed.
	frameStreamCapacity = 256
	// readTimeout bounds reading the latest state from the tail.
	readTimeout = 700 * time.Millisecond
)

// frameStream is a gateway's stream of frames. A stream whose gateway does not keep up is closed, and the gateway subscribes
// again.
type frameStream struct {
	incarnation string
	frames      chan *wire.Frame
	closed      chan struct{}
}

// pushFrame queues a frame for a gateway, and closes the gateway's stream if its queue is full.
func (h *Host) pushFrame(gateway string, frame *wire.Frame) {
	stream := h.frameStreams[gateway]
	if stream == nil {
		return
	}
	select {
	case stream.frames <- frame:
	default:
		delete(h.frameStreams, gateway)
		close(stream.closed)
	}
}

// serveFrames serves a gateway's stream of frames; a new subscription of the gateway closes its earlier one.
func (h *Host) serveFrames(ctx context.Context, request *wire.SubscribeRequest, send func(*wire.Frame) error) error {
	stream := &frameStream{incarnation: request.Incarnation, frames: make(chan *wire.Frame, frameStreamCapacity), closed: make(chan struct{})}
	defer h.actor.Tell(func() {
		if h.frameStreams[request.Gateway] == stream {
			delete(h.frameStreams, request.Gateway)
			h.step(UnsubscribeFrames{Gateway: request.Gateway, Incarnation: request.Incarnation})
		}
	})
	if !h.actor.Do(ctx, func() {
		if prior := h.frameStreams[request.Gateway]; prior != nil {
			close(prior.closed)
		}
		h.frameStreams[request.Gateway] = stream
		h.step(SubscribeFrames{Request: request})
	}) {
		return fault.New(fault.NotServing, "", "stopping")
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.actor.Ctx.Done():
			return nil
		case <-stream.closed:
			return fault.New(fault.NotServing, "", "superseded by a new subscription, or the gateway does not keep up")
		case frame := <-stream.frames:
			if err := send(frame); err != nil {
				return err
			}
		}
	}
}
