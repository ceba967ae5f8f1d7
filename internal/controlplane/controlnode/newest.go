package controlnode

import (
	"context"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

// LatestStateRequest is a question for the newest declaration that was acknowledged.
type LatestStateRequest struct{}

// LatestState answers Read.
type LatestState struct {
	Declaration *configuration.Declaration `json:"doc,omitempty"`
	Revision    uint64                     `json:"revision,omitempty"`
	Index       uint64                     `json:"index,omitempty"`
}

// ownNewest is this control node's state where it is the open tail, whose word is the newest there is.
func (h *Host) ownNewest(ctx context.Context) (LatestState, bool) {
	type known struct {
		newest LatestState
		open   bool
	}
	now, ran := actor.Ask(ctx, h.act, func() known {
		s := h.core.Node.State()
		return known{LatestState{Declaration: s.Doc, Revision: s.Revision, Index: s.Index}, h.core.Node.IsTailReady(clock.NowUs())}
	})
	return now.newest, ran && now.open
}

// LatestState is the newest state that was acknowledged, asked of the tail; false where nobody can say.
func (h *Host) LatestState(ctx context.Context) (LatestState, bool) {
	if own, open := h.ownNewest(ctx); open {
		return own, true
	}
	tail, ran := actor.Ask(ctx, h.act, func() string { return h.core.Node.View().Tail().Addr })
	if !ran || tail == "" || tail == h.settings.Advertise {
		return LatestState{}, false
	}
	ctx, done := context.WithTimeout(ctx, readTimeout)
	defer done()
	got, err := rpc.NewCaller[LatestStateRequest, LatestState](h.peerClient, tail, rpc.ReadPath).Call(ctx, &LatestStateRequest{})
	if err != nil {
		return LatestState{}, false
	}
	return *got, true
}

// LatestDeclaration is the newest one that was acknowledged; false where nobody can say.
func (h *Host) LatestDeclaration(ctx context.Context) (*configuration.Declaration, bool) {
	newest, known := h.LatestState(ctx)
	return newest.Declaration, known
}

func (h *Host) serveRead(ctx context.Context, _ *LatestStateRequest) (*LatestState, error) {
	newest, open := h.ownNewest(ctx)
	if !open {
		return nil, fault.New(fault.NotServing, "", "not the open tail")
	}
	return &newest, nil
}
