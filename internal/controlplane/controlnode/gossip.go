package controlnode

import (
	"petreltide/internal/controlplane/peering"
)

// gossipProgress is the progress of gossip to another control node: the incarnation that it was sent to, and the revision of
// the registry up to which it was sent.
type gossipProgress struct {
	incarnation string
	revision    uint64
}

// handleGossip merges the gossip of another control node and confirms the departures that it asks about.
func (c *Core) handleGossip(nowUs int64, message peering.Gossip) {
	c.soft.Registry.Merge(nowUs, message.Observations)
	c.confirmDepartures(message)
	if c.soft.Registry.ConsumeResyncRequest() {
		c.soft.resyncPending = true
	}
	if message.RequestAll {
		delete(c.soft.gossipProgress, message.Sender)
		c.soft.gossipPending = true
	}
	for _, gateway := range message.Gateways {
		c.soft.FramePublisher.RecordGateway(nowUs, gateway)
	}
}

// gossip sends changes of the registry to the other control nodes at once, and liveness of replicas and gateways in periodic rounds.
func (c *Core) gossip(nowUs int64) {
	due := nowUs-c.soft.lastGossipUs >= gossipIntervalUs+gossipIntervalPerReplicaUs*int64(c.soft.Registry.Len())
	if !due && !c.soft.gossipPending && !c.soft.resyncPending {
		return
	}
	template := peering.Gossip{Sender: c.Node.Self().ID, Incarnation: c.Node.Incarnation(), RequestAll: c.soft.resyncPending}
	if due {
		c.soft.lastGossipUs = nowUs
		c.soft.Registry.Sweep(nowUs)
		template.Gateways = c.soft.FramePublisher.PrimarySubscribers()
	}
	for _, p := range c.Node.Peers() {
		if !p.Alive {
			continue
		}
		progress := c.soft.gossipProgress[p.Member.ID]
		if progress == nil || progress.incarnation != p.Incarnation {
			progress = &gossipProgress{incarnation: p.Incarnation}
			c.soft.gossipProgress[p.Member.ID] = progress
		}
		message := template
		message.Observations = c.soft.Registry.GossipSince(nowUs, progress.revision, due)
		progress.revision = c.soft.Registry.Revision
		if len(message.Observations) > 0 || due || c.soft.resyncPending {
			c.send(p.Member.Addr, peering.Message{Gossip: &message})
		}
	}
	if due {
		c.soft.Registry.EndGossipRound(nowUs)
	}
	c.soft.gossipPending, c.soft.resyncPending = false, false
}
