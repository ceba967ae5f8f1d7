package controller

import (
	"fmt"

	"petreltide/internal/controlplane/statemachine"
)

// leadership is this control node's claim to lead. Who leads is what the replicated state says: a claim counts once it
// is applied, and for as long as no later one is.
type leadership struct {
	// id is the identity of this control node.
	id string
	// epoch is that of the newest claim, the fencing token of all that this controller orders and writes; 0 without one.
	epoch uint64
	// claimedUs is when the newest claim was made; 0 without one.
	claimedUs int64
	// lastTickUs is the last tick as the leader.
	lastTickUs int64
}

// holds says whether this control node leads by its own newest claim.
func (l *leadership) isLeader(s *statemachine.State) bool {
	return l.epoch > 0 && s.Epoch == l.epoch && s.Leader == l.id
}

// isClaimPending says whether a claim is under way that is not lost yet.
func (l *leadership) isClaimPending(nowUs int64) bool {
	return l.claimedUs != 0 && nowUs-l.claimedUs <= writeTimeoutUs
}

// tick records a tick as the leader, and gives the time since the one before.
func (l *leadership) tick(nowUs int64) (gapUs int64) {
	gapUs = nowUs - l.lastTickUs
	l.lastTickUs = nowUs
	return gapUs
}

// claim asks the replicated state for leadership, again where the last claim may be lost.
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

// resign forgets what only a leader needs. What holds for the control node as such stays: the gateways' reports, what was
// seen of other leaders' orders and loads, and the counts that are shown.
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
