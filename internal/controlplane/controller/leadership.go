package controller

import (
	"fmt"

	"petreltide/internal/controlplane/statemachine"
)

// leadership is this control node's claim to leadership. The replicated state determines the leader: a claim takes effect
// once it is applied and remains in effect until a later claim is applied.
type leadership struct {
	// id is the identity of this control node.
	id string
	// epoch is the epoch of the latest claim, used as the fencing token for all orders and writes of this controller; 0
	// without a claim.
	epoch uint64
	// claimedUs is the time of the latest claim; 0 without a claim.
	claimedUs int64
	// lastTickUs is the time of the latest tick as leader.
	lastTickUs int64
}

// isLeader reports whether this control node leads by its own latest claim.
func (l *leadership) isLeader(s *statemachine.State) bool {
	return l.epoch > 0 && s.Epoch == l.epoch && s.Leader == l.id
}

// isClaimPending reports whether a claim has been submitted and has not timed out yet.
func (l *leadership) isClaimPending(nowUs int64) bool {
	return l.claimedUs != 0 && nowUs-l.claimedUs <= writeTimeoutUs
}

// tick records a tick as leader and returns the time since the previous one.
func (l *leadership) tick(nowUs int64) (gapUs int64) {
	gapUs = nowUs - l.lastTickUs
	l.lastTickUs = nowUs
	return gapUs
}

// claim submits a claim to leadership, again if the previous claim has timed out.
func (c *Controller) claim(snapshot Snapshot) {
	if c.leadership.isClaimPending(snapshot.NowUs) {
		return
	}
	c.resign()
	c.leadership.claimedUs = snapshot.NowUs
	c.leadership.epoch = snapshot.State.Epoch + 1
	c.emit(WriteChange{Change: &statemachine.Change{
		ID: fmt.Sprintf("claim-%s-%d", c.leadership.id, c.leadership.epoch), Epoch: c.leadership.epoch, Claim: &statemachine.Claim{Leader: c.leadership.id},
	}})
}

// resign discards the state that only a leader needs. It keeps the state that belongs to the control node itself: the
// gateways' reports, the observed orders and loads of other leaders, and the counters shown in the status.
func (c *Controller) resign() {
	fresh := New(c.leadership.id, c.opts)
	fresh.Faults, fresh.effects, fresh.gateways = c.Faults, c.effects, c.gateways
	fresh.writes.count = c.writes.count
	fresh.policies.live, fresh.policies.runNumber = c.policies.live, c.policies.runNumber
	fresh.routed.predecessor = c.routed.predecessor
	fresh.routed.predecessor.leaderSinceUs = 0
	fresh.routed.store = c.routed.store
	fresh.routed.registry.holdingsChangedUs = c.routed.registry.holdingsChangedUs
	*c = *fresh
}
