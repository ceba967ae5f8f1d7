package controlnode

import (
	"context"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

// LatestStateRequest asks the tail for the latest acknowledged declaration.
type LatestStateRequest struct{}

// LatestState is the latest acknowledged declaration, with its revision and the log index of the state that it was read from.
// Declaration is nil if none has been declared.
type LatestState struct {
	Declaration *configuration.Declaration `json:"doc,omitempty"`
	Revision    uint64                     `json:"revision,omitempty"`
	Index       uint64                     `json:"index,omitempty"`
}

// localLatestState returns this control node's own state. It reports false unless this control node is a ready tail, whose
// state is the latest acknowledged one.
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

// LatestState returns the latest acknowledged state, which it reads from the tail. It reports false if the tail is unknown or
// does not answer within readTimeout.
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

// LatestDeclaration returns the declaration of LatestState, and reports false in the same cases.
func (h *Host) LatestDeclaration(ctx context.Context) (*configuration.Declaration, bool) {
	latest, known := h.LatestState(ctx)
	return latest.Declaration, known
}

// serveLatestState answers a LatestStateRequest, and fails unless this control node is a ready tail.
func (h *Host) serveLatestState(ctx context.Context, _ *LatestStateRequest) (*LatestState, error) {
	latest, isTailReady := h.localLatestState(ctx)
	if !isTailReady {
		return nil, fault.New(fault.NotServing, "", "not a tail that is ready to serve")
	}
	return &latest, nil
}
