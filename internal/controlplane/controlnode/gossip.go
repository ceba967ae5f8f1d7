package controlnode

import (
	"petreltide/internal/controlplane/peering"
)

// gossipProgress is how far another control node has been told of replicas.
type gossipProgress struct {
	incarnation string
	revision    uint64
}

// gossipReceived takes what another control node has heard.
func (c *Core) gossipReceived(nowUs int64, h peering.Gossip) {
	c.soft.Registry.Merge(nowUs, h.Observations)
	c.confirmDepartures(h)
	if c.soft.Registry.ConsumeResyncRequest() {
		c.soft.resync = true
	}
	if h.RequestAll {
		delete(c.soft.progress, h.Sender)
		c.soft.urgent = true
	}
	for _, gateway := range h.Gateways {
		c.soft.Hub.RecordGateway(nowUs, gateway)
	}
}

// gossip sends the other control nodes what changed at once, and signs of life now and then.
func (c *Core) gossip(nowUs int64) {
	due := nowUs-c.soft.gossipedUs >= gossipIntervalUs+gossipIntervalPerReplicaUs*int64(c.soft.Registry.Len())
	asks := c.departuresDue(nowUs)
	if !due && !asks && !c.soft.urgent && !c.soft.resync {
		return
	}
	heard := peering.Gossip{Sender: c.Node.Self().ID, Incarnation: c.Node.Incarnation(), RequestAll: c.soft.resync}
	if due {
		c.soft.gossipedUs = nowUs
		c.soft.Registry.Sweep(nowUs)
		heard.Gateways = c.soft.Hub.PrimarySubscribers()
	}
	for _, p := range c.Node.Peers() {
		if !p.Alive {
			continue
		}
		t := c.soft.progress[p.Member.ID]
		if t == nil || t.incarnation != p.Incarnation {
			t = &gossipProgress{incarnation: p.Incarnation}
			c.soft.progress[p.Member.ID] = t
		}
		mine := heard
		mine.Observations = c.soft.Registry.GossipSince(nowUs, t.revision, due)
		t.revision = c.soft.Registry.Revision
		if asks {
			c.addDepartureRequests(nowUs, p.Member.ID, &mine)
		}
		if len(mine.Observations) > 0 || due || c.soft.resync {
			c.send(p.Member.Addr, peering.Message{Gossip: &mine})
		}
	}
	if due {
		c.soft.Registry.EndGossipRound(nowUs)
	}
	if asks {
		c.departuresRequested(nowUs)
	}
	c.soft.urgent, c.soft.resync = false, false
}
