package controlnode

import (
	"petreltide/internal/controlplane/distribution"
)

// isInitialized reports whether the committed state of this control node has been established by the chain, rather than only
// read from its own disk.
func (c *Core) isInitialized() bool { return c.Node.IsInitialized() }

// pushFrames emits the frames that are due for the subscribed gateways.
func (c *Core) pushFrames(nowUs int64) {
	if nowUs-c.membersUpdatedUs >= membersUpdateIntervalUs {
		c.membersUpdatedUs, c.followableMembers = nowUs, c.listFollowableMembers(nowUs)
	}
	for _, p := range c.soft.FramePublisher.Frames(distribution.FrameInput{
		NowUs: nowUs, Self: c.Node.Self().ID, State: c.Node.State(), View: c.Node.View(), ControlNodes: c.followableMembers,
		Committed: c.isInitialized(), PossiblyStale: !c.Node.IsUpToDate(nowUs), Registry: c.soft.Registry, Outliers: c.soft.Outliers,
	}) {
		push := p
		c.effects = append(c.effects, PushFrame{Push: &push})
	}
}
