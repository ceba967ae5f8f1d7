package controlnode

import (
	"context"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/clock"
	"petreltide/internal/process/rpc"
)

// Read is a question for the newest declaration that was acknowledged.
type Read struct{}

// Newest answers Read.
type Newest struct {
	Doc      *configuration.Declaration `json:"doc,omitempty"`
	Revision uint64                     `json:"revision,omitempty"`
	Index    uint64                     `json:"index,omitempty"`
}

// ownNewest is this control node's state where it is the open tail, whose word is the newest there is.
func (h *Host) ownNewest(ctx context.Context) (Newest, bool) {
	type known struct {
		newest Newest
		open   bool
	}
	now, ran := actor.Ask(ctx, h.act, func() known {
		s := h.core.Node.State()
		return known{Newest{Doc: s.Doc, Revision: s.Revision, Index: s.Index}, h.core.Node.IsTailReady(clock.NowUs())}
	})
	return now.newest, ran && now.open
}

// Newest is the newest state that was acknowledged, asked of the tail; false where nobody can say.
func (h *Host) Newest(ctx context.Context) (Newest, bool) {
	if own, open := h.ownNewest(ctx); open {
		return own, true
	}
	tail, ran := actor.Ask(ctx, h.act, func() string { return h.core.Node.View().Tail().Addr })
	if !ran || tail == "" || tail == h.settings.Advertise {
		return Newest{}, false
	}
	ctx, done := context.WithTimeout(ctx, readTimeout)
	defer done()
	got, err := rpc.NewCaller[Read, Newest](h.peerClient, tail, rpc.ReadPath).Call(ctx, &Read{})
	if err != nil {
		return Newest{}, false
	}
	return *got, true
}

// Declaration is the newest one that was acknowledged; false where nobody can say.
func (h *Host) Declaration(ctx context.Context) (*configuration.Declaration, bool) {
	newest, known := h.Newest(ctx)
	return newest.Doc, known
}

func (h *Host) serveRead(ctx context.Context, _ *Read) (*Newest, error) {
	newest, open := h.ownNewest(ctx)
	if !open {
		return nil, fault.New(fault.NotServing, "", "not the open tail")
	}
	return &newest, nil
}
