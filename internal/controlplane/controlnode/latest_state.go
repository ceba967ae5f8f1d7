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

// localLatestState is this control node's state where it is the open tail, whose word is the newest there is.
func (h *Host) localLatestState(ctx context.Context) (LatestState, bool) {
	type localState struct {
		state       LatestState
		isTailReady bool
	}
	local, ran := actor.Ask(ctx, h.actor, func() localState {
		s := h.core.Node.State()
		return localState{LatestState{Declaration: s.Doc, Revision: s.Revision, Index: s.Index}, h.core.Node.IsTailReady(clock.NowUs())}
	})
	return local.state, ran && local.isTailReady
}

// LatestState is the newest state that was acknowledged, asked of the tail; false where nobody can say.
func (h *Host) LatestState(ctx context.Context) (LatestState, bool) {
	if own, isTailReady := h.localLatestState(ctx); isTailReady {
		return own, true
	}
	tail, ran := actor.Ask(ctx, h.actor, func() string { return h.core.Node.View().Tail().Addr })
	if !ran || tail == "" || tail == h.settings.Advertise {
		return LatestState{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	response, err := rpc.NewCaller[LatestStateRequest, LatestState](h.peerClient, tail, rpc.ReadPath).Call(ctx, &LatestStateRequest{})
	if err != nil {
		return LatestState{}, false
	}
	return *response, true
}

// LatestDeclaration is the newest one that was acknowledged; false where nobody can say.
func (h *Host) LatestDeclaration(ctx context.Context) (*configuration.Declaration, bool) {
	latest, known := h.LatestState(ctx)
	return latest.Declaration, known
}

func (h *Host) serveLatestState(ctx context.Context, _ *LatestStateRequest) (*LatestState, error) {
	latest, isTailReady := h.localLatestState(ctx)
	if !isTailReady {
		return nil, fault.New(fault.NotServing, "", "not the open tail")
	}
	return &latest, nil
}
