package controlnode

import (
	"context"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

const (
	frameStreamCapacity = 256
	readTimeout         = 700 * time.Millisecond
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

// Configure carries an operator's numbered version to the chain. The same mark is the same order, and is
// answered as it was the first time; no result means that it may yet be taken.
func (h *Host) Configure(ctx context.Context, mark string, c statemachine.ConfigChange) (statemachine.Outcome, bool) {
	id := "op-" + mark
	if out, seen := h.outcome(ctx, id); seen {
		return out, true
	}
	result, ok := h.Submit(ctx, statemachine.Change{ID: id, Config: &c}, changeTimeout)
	return result.Outcome, ok
}
