package controlnode

import (
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	gossipIntervalUs           = 250 * clock.Ms
	gossipIntervalPerReplicaUs = 3 * clock.Ms
	membersIntervalUs          = 100 * clock.Ms
	defaultUnreachableUs       = 3000 * clock.Ms
	pausedUs                   = 500 * clock.Ms
	resumeWindowUs             = 300 * clock.Ms
)

// gossipProgress is how far another control node has been told of replicas.
type gossipProgress struct {
	incarnation string
	revision    uint64
}

// softState is a control node's soft state: the replicas it has heard of, the gateways that follow it, and what the
// other control nodes have been told.
type softState struct {
	Registry *registry.Registry
	Hub      *distribution.FramePublisher
	// Outliers are the newest verdicts on replicas, this control node's own or the head's.
	Outliers outlier.Table
	progress map[string]*gossipProgress
	// departures are the leavings that this control node has been told of and a quorum does not know yet.
	departures map[string]*departure
	gossipedUs int64
	urgent     bool
	resync     bool
}

func newSoftState(unreachableUs int64) softState {
	if unreachableUs == 0 {
		unreachableUs = defaultUnreachableUs
	}
	return softState{Registry: registry.New(unreachableUs), Hub: distribution.NewFramePublisher(), progress: map[string]*gossipProgress{}, departures: map[string]*departure{}}
}

// detectPause notes when this control node was not run for a while: for a moment after, what it reads may be as old as that.
func (c *Core) detectPause(nowUs int64) {
	if c.stepUs > 0 && nowUs-c.stepUs > pausedUs {
		c.pausedUs, c.resumedUs = c.stepUs, nowUs
	}
	c.stepUs = nowUs
	c.soft.Registry.ReadDelayUs = 0
	if c.resumedUs > 0 && nowUs-c.resumedUs < resumeWindowUs {
		c.soft.Registry.ReadDelayUs = nowUs - c.pausedUs
	}
}

// replicaHeartbeat takes a replica's own word.
func (c *Core) replicaHeartbeat(nowUs int64, row registry.ReplicaStatus) {
	if c.soft.Registry.HandleHeartbeat(nowUs, row) {
		c.soft.urgent = true
	}
}

func (c *Core) replicaEnded(nowUs int64, id string) {
	if c.soft.Registry.Remove(nowUs, id) {
		c.soft.urgent = true
	}
}

// gossipReceived takes what another control node has heard.
func (c *Core) gossipReceived(nowUs int64, h peering.Gossip) {
	c.soft.Registry.Merge(nowUs, h.Observations)
	c.confirmDepartures(h)
	if c.soft.Registry.TakeResyncRequest() {
		c.soft.resync = true
	}
	if h.RequestAll {
		delete(c.soft.progress, h.By)
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
	heard := peering.Gossip{By: c.Node.Self().ID, Incarnation: c.Node.Incarnation(), RequestAll: c.soft.resync}
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
		c.soft.Registry.MarkGossiped(nowUs)
	}
	if asks {
		c.departuresRequested(nowUs)
	}
	c.soft.urgent, c.soft.resync = false, false
}

// outliersJudged takes this control node's own verdicts and tells them the others.
func (c *Core) outliersJudged(t outlier.Table) {
	if !t.NewerThan(c.soft.Outliers) {
		return
	}
	c.soft.Outliers = t
	c.effects = append(c.effects, LogMessage{Message: "outliers", Detail: t.String()})
	for _, p := range c.Node.Peers() {
		if p.Alive {
			table := t
			c.send(p.Member.Addr, peering.Message{Outliers: &table})
		}
	}
}

// committed: what this control node knows as committed is the chain's, not what a disk alone remembers.
func (c *Core) committed() bool { return c.Node.Initialized() }

func (c *Core) pushFrames(nowUs int64) {
	if nowUs-c.membersUs >= membersIntervalUs {
		c.membersUs, c.members = nowUs, c.reachableMembers(nowUs)
	}
	for _, p := range c.soft.Hub.Frames(distribution.FrameInput{
		NowUs: nowUs, Self: c.Node.Self().ID, State: c.Node.State(), View: c.Node.View(), ControlNodes: c.members, Committed: c.committed(), Behind: !c.Node.UpToDate(nowUs), Registry: c.soft.Registry, Outliers: c.soft.Outliers,
	}) {
		push := p
		c.effects = append(c.effects, PushFrame{Push: &push})
	}
}

// control nodes are those that gateways may follow: the ones that are heard. A control node that is behind names all members of its
// view as well, since the ones that it does not hear may be current.
func (c *Core) reachableMembers(nowUs int64) []chain.Member {
	all := []chain.Member{c.Node.Self()}
	for _, p := range c.Node.Peers() {
		if p.Alive {
			all = append(all, p.Member)
		}
	}
	if c.Node.UpToDate(nowUs) {
		return all
	}
	view := c.Node.View()
	members := slices.Clone(view.Voters)
	for _, s := range view.Replicas {
		members = append(members, s.Member)
	}
	for _, m := range members {
		named := slices.ContainsFunc(all, func(order chain.Member) bool { return order.ID == m.ID })
		if m.Addr != "" && !named {
			all = append(all, m)
		}
	}
	return all
}

// routedGatewayReported takes a gateway's report, or passes it on to the controller where it came to another control node.
func (c *Core) routedGatewayReported(nowUs int64, r wire.Report) {
	c.soft.Hub.RecordGateway(nowUs, r.Gateway)
	if c.Node.IsHead() {
		c.controller(nowUs, controller.GatewayReport{Report: &r})
	} else if head := c.Node.View().Head(); head.Addr != "" && head.ID != c.Node.Self().ID {
		c.send(head.Addr, peering.Message{Report: &r})
	}
}
