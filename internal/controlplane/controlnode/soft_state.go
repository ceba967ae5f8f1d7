package controlnode

import (
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	// gossipIntervalUs and, more for each replica that is known, gossipIntervalPerReplicaUs are the time between two
	// rounds of gossip; changes are sent at once.
	gossipIntervalUs           = 250 * clock.Ms
	gossipIntervalPerReplicaUs = 3 * clock.Ms
	// membersIntervalUs is how often the control nodes that gateways may follow are found anew.
	membersIntervalUs = 100 * clock.Ms
	// defaultUnreachableUs is after how long without a heartbeat a replica is unreachable, unless the options say.
	defaultUnreachableUs = 3000 * clock.Ms
	// minPauseUs is a gap between two events that shows that the process was not run; for pauseEffectUs after it, what
	// is read may be as old as the gap.
	minPauseUs    = 500 * clock.Ms
	pauseEffectUs = 300 * clock.Ms
)

// softState is a control node's soft state: the replicas it has heard of, the gateways that follow it, and what the
// other control nodes have been told.
type softState struct {
	Registry       *registry.Registry
	FramePublisher *distribution.FramePublisher
	// Outliers are the newest verdicts on replicas, this control node's own or the head's.
	Outliers       outlier.Table
	gossipProgress map[string]*gossipProgress
	// departures are the leavings that this control node has been told of and a quorum does not know yet.
	departures    map[string]*departure
	lastGossipUs  int64
	gossipPending bool
	resyncPending bool
}

func newSoftState(unreachableUs int64) softState {
	if unreachableUs == 0 {
		unreachableUs = defaultUnreachableUs
	}
	return softState{Registry: registry.New(unreachableUs), FramePublisher: distribution.NewFramePublisher(), gossipProgress: map[string]*gossipProgress{}, departures: map[string]*departure{}}
}

// detectPause notes when this control node was not run for a while: for a moment after, what it reads may be as old as that.
func (c *Core) detectPause(nowUs int64) {
	if c.lastStepUs > 0 && nowUs-c.lastStepUs > minPauseUs {
		c.pauseStartUs, c.pauseEndUs = c.lastStepUs, nowUs
	}
	c.lastStepUs = nowUs
	c.soft.Registry.ReadDelayUs = 0
	if c.pauseEndUs > 0 && nowUs-c.pauseEndUs < pauseEffectUs {
		c.soft.Registry.ReadDelayUs = nowUs - c.pauseStartUs
	}
}

// recordHeartbeat takes a replica's own word.
func (c *Core) recordHeartbeat(nowUs int64, status registry.ReplicaStatus) {
	if c.soft.Registry.HandleHeartbeat(nowUs, status) {
		c.soft.gossipPending = true
	}
}

func (c *Core) recordDeregistration(nowUs int64, id string) {
	if c.soft.Registry.Remove(nowUs, id) {
		c.soft.gossipPending = true
	}
}

// publishOutliers takes this control node's own verdicts and tells them the others.
func (c *Core) publishOutliers(t outlier.Table) {
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
