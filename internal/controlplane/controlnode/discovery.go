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

// failWithoutPeer stops a control node that has no data and may not bootstrap a chain, unless it finds an existing chain within
// rebuildPeerTimeout.
func (h *Host) failWithoutPeer() {
	select {
	case <-h.actor.Ctx.Done():
		return
	case <-time.After(rebuildPeerTimeout):
	}
	if isBootstrapping, ran := actor.Ask(h.actor.Ctx, h.actor, func() bool {
		return h.core.Node.Phase() == chain.PhaseBootstrap
	}); ran && isBootstrapping {
		select {
		case h.fatal <- fault.New(fault.DamagedData, h.settings.DataDir,
			"no chain is stored here, and no peer to copy one from was found within %v; quarantined directories are left untouched",
			rebuildPeerTimeout):
		default:
		}
	}
}

// discoverPeers queries the seeds for the addresses of control nodes: every second until the chain is known, and every
// discoveryIntervalSettled from then on. Seeds are used for discovery only.
func (h *Host) discoverPeers() {
	for {
		for _, seed := range *h.seeds.Load() {
			if seed == h.settings.Advertise {
				continue
			}
			ctx, cancel := context.WithTimeout(h.actor.Ctx, 500*time.Millisecond)
			membership, err := rpc.NewCaller[wire.MembershipRequest, wire.MembershipResponse](h.peerClient, seed, rpc.WherePath).
				Call(ctx, &wire.MembershipRequest{From: h.core.Node.Self()})
			cancel()
			if err != nil {
				continue
			}
			addrs := []string{}
			for _, m := range membership.ControlNodes {
				if m.Addr != h.settings.Advertise {
					addrs = append(addrs, m.Addr)
				}
			}
			h.post(LearnPeers{Addrs: addrs})
		}
		interval := time.Second
		if initialized, ran := actor.Ask(h.actor.Ctx, h.actor, h.core.isInitialized); ran && initialized {
			interval = discoveryIntervalSettled
		}
		select {
		case <-h.actor.Ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// membership returns the view of this control node and the control nodes that it knows to be alive or in that view.
func (h *Host) membership() wire.MembershipResponse {
	response := wire.MembershipResponse{View: h.core.Node.View()}
	seen := map[string]bool{}
	add := func(m chain.Member) {
		if m.Addr != "" && !seen[m.Addr] {
			seen[m.Addr] = true
			response.ControlNodes = append(response.ControlNodes, m)
		}
	}
	add(h.core.Node.Self())
	for _, s := range response.View.Replicas {
		add(s.Member)
	}
	for _, p := range h.core.Node.Peers() {
		if p.Alive {
			add(p.Member)
		}
	}
	return response
}
