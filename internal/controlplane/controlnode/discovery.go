package controlnode

import (
	"context"
	"time"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/process/actor"
	"petreltide/internal/process/rpc"
)

// failWithoutPeer stops a control node that holds nothing, may found nothing, and meets no chain.
func (h *Host) failWithoutPeer() {
	select {
	case <-h.act.Ctx.Done():
		return
	case <-time.After(peerTimeout):
	}
	if alone, ran := actor.Ask(h.act.Ctx, h.act, func() bool { return h.core.Node.Phase() == chain.PhaseBootstrap }); ran && alone {
		select {
		case h.fatal <- fault.New(fault.DamagedData, h.settings.DataDir, "it holds no chain, and no partner was met within %v to copy one from; kept folders are untouched", peerTimeout):
		default:
		}
	}
}

// discoverPeers keeps asking the seeds, first contacts only, until the control nodes know each other.
func (h *Host) discoverPeers() {
	for {
		for _, seed := range *h.seeds.Load() {
			if seed == h.settings.Advertise {
				continue
			}
			ctx, done := context.WithTimeout(h.act.Ctx, 500*time.Millisecond)
			where, err := rpc.NewCaller[wire.MembershipRequest, wire.MembershipResponse](h.peerClient, seed, rpc.WherePath).Call(ctx, &wire.MembershipRequest{From: h.core.Node.Self()})
			done()
			if err != nil {
				continue
			}
			learned := []string{}
			for _, m := range where.ControlNodes {
				if m.Addr != h.settings.Advertise {
					learned = append(learned, m.Addr)
				}
			}
			h.post(LearnPeers{Addrs: learned})
		}
		span := time.Second
		if settled, ran := actor.Ask(h.act.Ctx, h.act, h.core.committed); ran && settled {
			span = discoveryIntervalSettled
		}
		select {
		case <-h.act.Ctx.Done():
			return
		case <-time.After(span):
		}
	}
}

func (h *Host) location() wire.MembershipResponse {
	w := wire.MembershipResponse{View: h.core.Node.View()}
	seen := map[string]bool{}
	add := func(m chain.Member) {
		if m.Addr != "" && !seen[m.Addr] {
			seen[m.Addr] = true
			w.ControlNodes = append(w.ControlNodes, m)
		}
	}
	add(h.core.Node.Self())
	for _, s := range w.View.Replicas {
		add(s.Member)
	}
	for _, p := range h.core.Node.Peers() {
		if p.Alive {
			add(p.Member)
		}
	}
	return w
}
