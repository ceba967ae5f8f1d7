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
	// pausedUs is a gap between two events that shows that the process was not run; for resumeWindowUs after it, what
	// is read may be as old as the gap.
	pausedUs       = 500 * clock.Ms
	resumeWindowUs = 300 * clock.Ms
)

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
