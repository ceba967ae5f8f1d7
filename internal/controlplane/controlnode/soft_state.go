package controlnode

import (
	"petreltide/internal/controlplane/distribution"
	"petreltide/internal/controlplane/peering"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/outlier"
	"petreltide/internal/process/clock"
)

const (
	// gossipIntervalUs plus gossipIntervalPerReplicaUs for each known replica is the time between two rounds of gossip;
	// changes are sent at once.
	gossipIntervalUs           = 250 * clock.Ms
	gossipIntervalPerReplicaUs = 3 * clock.Ms
	// membersUpdateIntervalUs is the interval at which the control nodes that gateways may subscribe to are recomputed.
	membersUpdateIntervalUs = 100 * clock.Ms
	// defaultUnreachableUs is the default of CoreOptions.UnreachableUs.
	defaultUnreachableUs = 3000 * clock.Ms
	// minPauseUs is the shortest gap between two events that counts as a pause, in which the process was not scheduled. For
	// pauseEffectUs after a pause, messages that are read may be as old as the pause.
	minPauseUs    = 500 * clock.Ms
	pauseEffectUs = 300 * clock.Ms
)

// softState is the state of a control node that is neither replicated by the chain nor stored: the replicas that it knows from
// heartbeats and gossip, the gateways that subscribe to it, and its gossip with the other control nodes.
type softState struct {
	Registry       *registry.Registry
	FramePublisher *distribution.FramePublisher
	// Outliers are the newest outlier verdicts on replicas, made by this control node or received from the head.
	Outliers outlier.Table
	// gossipProgress is the progress of gossip to each other control node, by member ID.
	gossipProgress map[string]*gossipProgress
	// departures are the departures reported to this control node that are not yet durable, by replica ID.
	departures map[string]*departure
	// restoredDepartures is the log index up to which Registry knows the departures of the replicated state.
	restoredDepartures uint64
	// lastGossipUs is when the last periodic round of gossip was sent.
	lastGossipUs int64
	// gossipPending reports that a change has to be sent without waiting for the next round.
	gossipPending bool
	// resyncPending reports that all entries have to be requested from the other control nodes.
	resyncPending bool
}

func newSoftState(unreachableUs int64) softState {
	if unreachableUs == 0 {
		unreachableUs = defaultUnreachableUs
	}
	return softState{Registry: registry.New(unreachableUs), FramePublisher: distribution.NewFramePublisher(),
		gossipProgress: map[string]*gossipProgress{}, departures: map[string]*departure{}}
}

// detectPause detects that this process was not scheduled for a while. For pauseEffectUs after such a pause it sets the
// registry's ReadDelayUs, as heartbeats that are read then may have been sent before the pause.
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

// recordHeartbeat records the status that a replica reported itself.
func (c *Core) recordHeartbeat(nowUs int64, status registry.ReplicaStatus) {
	if c.soft.Registry.HandleHeartbeat(nowUs, status) {
		c.soft.gossipPending = true
	}
}

// recordDeregistration records that the replica's incarnation id has ended.
func (c *Core) recordDeregistration(nowUs int64, id string) {
	if c.soft.Registry.Remove(nowUs, id) {
		c.soft.gossipPending = true
	}
}

// publishOutliers records this control node's own verdicts and sends them to the other control nodes.
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
