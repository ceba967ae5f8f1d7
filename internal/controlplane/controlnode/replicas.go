package controlnode

import (
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/controller"
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	tellEveryUs          = 250 * clock.Ms
	tellEachUs           = 3 * clock.Ms
	controlNodesEveryUs  = 100 * clock.Ms
	unreachableDefaultUs = 3000 * clock.Ms
	wokeUs               = 500 * clock.Ms
	wakingUs             = 300 * clock.Ms
)

// Unfollow ends a gateway's stream of frames.
type Unfollow struct {
	Gateway     string
	Incarnation string
}

// told is how far another control node has been told of replicas.
type told struct {
	incarnation string
	since       uint64
}

// soft is a control node's soft state: the replicas it has heard of, the gateways that follow it, and what the
// other control nodes have been told.
type soft struct {
	Roster *registry.Registry
	Hub    *distribution.FramePublisher
	// Outliers are the newest verdicts on replicas, this control node's own or the head's.
	Outliers outlier.Table
	told     map[string]*told
	// departures are the leavings that this control node has been told of and a quorum does not know yet.
	departures map[string]*departure
	tellUs     int64
	urgent     bool
	wants      bool
}

func newSoft(unreachableUs int64) soft {
	if unreachableUs == 0 {
		unreachableUs = unreachableDefaultUs
	}
	return soft{Roster: registry.New(unreachableUs), Hub: distribution.NewFramePublisher(), told: map[string]*told{}, departures: map[string]*departure{}}
}

// woke notes when this control node was not run for a while: for a moment after, what it reads may be as old as that.
func (c *Core) woke(nowUs int64) {
	if c.stepUs > 0 && nowUs-c.stepUs > wokeUs {
		c.sleptUs, c.wokeUs = c.stepUs, nowUs
	}
	c.stepUs = nowUs
	c.soft.Roster.ReadDelayUs = 0
	if c.wokeUs > 0 && nowUs-c.wokeUs < wakingUs {
		c.soft.Roster.ReadDelayUs = nowUs - c.sleptUs
	}
}

// heard takes a replica's own word.
func (c *Core) heard(nowUs int64, row registry.ReplicaStatus) {
	if c.soft.Roster.HandleHeartbeat(nowUs, row) {
		c.soft.urgent = true
	}
}

func (c *Core) gone(nowUs int64, id string) {
	if c.soft.Roster.Remove(nowUs, id) {
		c.soft.urgent = true
	}
}

// heardFrom takes what another control node has heard.
func (c *Core) heardFrom(nowUs int64, h wire.Gossip) {
	c.soft.Roster.Merge(nowUs, h.Observations)
	c.confirm(h)
	if c.soft.Roster.TakeResyncRequest() {
		c.soft.wants = true
	}
	if h.RequestAll {
		delete(c.soft.told, h.By)
		c.soft.urgent = true
	}
	for _, gateway := range h.Gateways {
		c.soft.Hub.RecordGateway(nowUs, gateway)
	}
}

// tellControlNodes sends the other control nodes what changed at once, and signs of life now and then.
func (c *Core) tellControlNodes(nowUs int64) {
	due := nowUs-c.soft.tellUs >= tellEveryUs+tellEachUs*int64(c.soft.Roster.Len())
	asks := c.departuresDue(nowUs)
	if !due && !asks && !c.soft.urgent && !c.soft.wants {
		return
	}
	heard := wire.Gossip{By: c.Node.Self().ID, Incarnation: c.Node.Incarnation(), RequestAll: c.soft.wants}
	if due {
		c.soft.tellUs = nowUs
		c.soft.Roster.Sweep(nowUs)
		heard.Gateways = c.soft.Hub.PrimarySubscribers()
	}
	for _, p := range c.Node.Peers() {
		if !p.Alive {
			continue
		}
		t := c.soft.told[p.Member.ID]
		if t == nil || t.incarnation != p.Incarnation {
			t = &told{incarnation: p.Incarnation}
			c.soft.told[p.Member.ID] = t
		}
		mine := heard
		mine.Observations = c.soft.Roster.GossipSince(nowUs, t.since, due)
		t.since = c.soft.Roster.Revision
		if asks {
			c.askAbout(nowUs, p.Member.ID, &mine)
		}
		if len(mine.Observations) > 0 || due || c.soft.wants {
			c.send(p.Member.Addr, wire.Message{Gossip: &mine})
		}
	}
	if due {
		c.soft.Roster.MarkGossiped(nowUs)
	}
	if asks {
		c.askedAbout(nowUs)
	}
	c.soft.urgent, c.soft.wants = false, false
}

// judged takes this control node's own verdicts and tells them the others.
func (c *Core) judged(t outlier.Table) {
	if !t.After(c.soft.Outliers) {
		return
	}
	c.soft.Outliers = t
	c.effects = append(c.effects, Effect{Note: "outliers", Trouble: t.String()})
	for _, p := range c.Node.Peers() {
		if p.Alive {
			table := t
			c.send(p.Member.Addr, wire.Message{Outliers: &table})
		}
	}
}

// settled: what this control node knows as committed is the chain's, not what a disk alone remembers.
func (c *Core) settled() bool { return c.Node.Initialized() }

func (c *Core) frames(nowUs int64) {
	if nowUs-c.controlNodesUs >= controlNodesEveryUs {
		c.controlNodesUs, c.known = nowUs, c.controlNodes(nowUs)
	}
	for _, p := range c.soft.Hub.Frames(distribution.FrameInput{
		NowUs: nowUs, Self: c.Node.Self().ID, State: c.Node.State(), View: c.Node.View(), ControlNodes: c.known, Committed: c.settled(), Behind: !c.Node.UpToDate(nowUs), Registry: c.soft.Roster, Outliers: c.soft.Outliers,
	}) {
		push := p
		c.effects = append(c.effects, Effect{Frame: &push})
	}
}

// control nodes are those that gateways may follow: the ones that are heard. A control node that is behind names all members of its
// view as well, since the ones that it does not hear may be current.
func (c *Core) controlNodes(nowUs int64) []chain.Member {
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
		named := slices.ContainsFunc(all, func(o chain.Member) bool { return o.ID == m.ID })
		if m.Addr != "" && !named {
			all = append(all, m)
		}
	}
	return all
}

// routedReport takes a gateway's report, or passes it on to the controller where it came to another control node.
func (c *Core) routedReport(nowUs int64, r wire.Report) {
	c.soft.Hub.RecordGateway(nowUs, r.Gateway)
	if c.Node.IsHead() {
		c.controller(nowUs, controller.GatewayReport{Report: &r})
	} else if head := c.Node.View().Head(); head.Addr != "" && head.ID != c.Node.Self().ID {
		c.send(head.Addr, wire.Message{Report: &r})
	}
}
