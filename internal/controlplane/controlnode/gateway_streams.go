package controlnode

import (
	"context"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/process/actor"
)

type updateStream struct {
	latest chan wire.GatewayUpdate
}

func (h *Host) pushUpdate(gateway string, news wire.GatewayUpdate) {
	f := h.updateStreams[gateway]
	if f == nil {
		return
	}
	for {
		select {
		case f.latest <- news:
			return
		default:
		}
		select {
		case older := <-f.latest:
			if news.Declaration == nil {
				news.Declaration = older.Declaration
			}
		default:
		}
	}
}

func (h *Host) follow(ctx context.Context, f *wire.SubscribeRequest, send func(*wire.GatewayUpdate) error) error {
	mine := &updateStream{latest: make(chan wire.GatewayUpdate, 1)}
	defer h.act.Tell(func() {
		if h.updateStreams[f.Gateway] == mine {
			delete(h.updateStreams, f.Gateway)
		}
	})
	view, ran := actor.Ask(ctx, h.act, func() uint64 {
		if !h.core.Node.IsTailReady(h.core.Node.NowUs()) {
			return 0
		}
		h.updateStreams[f.Gateway] = mine
		h.step(SubscribeUpdates{Request: f})
		return h.core.Node.View().Number
	})
	if !ran || view == 0 {
		return fault.New(fault.NotServing, "", "not the open tail")
	}
	still := time.NewTicker(300 * time.Millisecond)
	defer still.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.act.Ctx.Done():
			return nil
		case news := <-mine.latest:
			if err := send(&news); err != nil {
				return err
			}
		case <-still.C:
			gone, ran := actor.Ask(ctx, h.act, func() bool {
				return h.updateStreams[f.Gateway] != mine || !h.core.Node.IsTail() || h.core.Node.View().Number < view
			})
			if gone || !ran {
				return fault.New(fault.NotServing, "", "no longer the tail")
			}
		}
	}
}

const (
	// frameStreamCapacity is how many frames may wait for a gateway; one that does not keep up is ended.
	frameStreamCapacity = 256
	// readTimeout bounds the question to the tail for what is in force.
	readTimeout = 700 * time.Millisecond
)

// frameStream is one gateway's stream; one that does not keep up is ended, and the gateway follows anew.
type frameStream struct {
	incarnation string
	frames      chan *wire.Frame
	closed      chan struct{}
}

func (h *Host) pushFrame(gateway string, f *wire.Frame) {
	s := h.frameStreams[gateway]
	if s == nil {
		return
	}
	select {
	case s.frames <- f:
	default:
		delete(h.frameStreams, gateway)
		close(s.closed)
	}
}

func (h *Host) serveFrames(ctx context.Context, f *wire.SubscribeRequest, send func(*wire.Frame) error) error {
	mine := &frameStream{incarnation: f.Incarnation, frames: make(chan *wire.Frame, frameStreamCapacity), closed: make(chan struct{})}
	defer h.act.Tell(func() {
		if h.frameStreams[f.Gateway] == mine {
			delete(h.frameStreams, f.Gateway)
			h.step(UnsubscribeFrames{Gateway: f.Gateway, Incarnation: f.Incarnation})
		}
	})
	if !h.act.Do(ctx, func() {
		if prior := h.frameStreams[f.Gateway]; prior != nil {
			close(prior.closed)
		}
		h.frameStreams[f.Gateway] = mine
		h.step(SubscribeFrames{Request: f})
	}) {
		return fault.New(fault.NotServing, "", "stopping")
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.act.Ctx.Done():
			return nil
		case <-mine.closed:
			return fault.New(fault.NotServing, "", "followed anew, or too slow")
		case frame := <-mine.frames:
			if err := send(frame); err != nil {
				return err
			}
		}
	}
}
