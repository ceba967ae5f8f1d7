package controlnode

import (
	"slices"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// checkMember sets the member ID that a membership change refers to, or returns why the change must not be accepted. Only a
// control node whose view and state are up to date may reject the change for what it asks.
func (c *Core) checkMember(nowUs int64, m *statemachine.MembershipChange, evenAlive bool) *fault.Fault {
	if !c.Node.IsUpToDate(nowUs) {
		return fault.New(fault.NotServing, "", "this control node is not up to date with the chain; ask another one")
	}
	return c.Node.ResolveMemberChange(m, evenAlive)
}

// listFollowableMembers returns the control nodes that gateways may subscribe to: this one and those whose heartbeats
// it receives. A control node that is not up to date adds all members of its view, since those whose heartbeats do not arrive
// here may be up to date.
func (c *Core) listFollowableMembers(nowUs int64) []chain.Member {
	all := []chain.Member{c.Node.Self()}
	for _, p := range c.Node.Peers() {
		if p.Alive {
			all = append(all, p.Member)
		}
	}
	if c.Node.IsUpToDate(nowUs) {
		return all
	}
	view := c.Node.View()
	members := slices.Clone(view.Voters)
	for _, s := range view.Replicas {
		members = append(members, s.Member)
	}
	for _, m := range members {
		listed := slices.ContainsFunc(all, func(other chain.Member) bool { return other.ID == m.ID })
		if m.Addr != "" && !listed {
			all = append(all, m)
		}
	}
	return all
}

// memberDoneRetryIntervalUs is the minimum interval between two submissions of the completion of a membership change.
const memberDoneRetryIntervalUs = 500 * clock.Ms

// completeMemberChange submits, at the head, the completion of a membership change once the view reflects it. The completion
// removes the change from the replicated state.
func (c *Core) completeMemberChange(nowUs int64) {
	if nowUs-c.lastMemberDoneUs < memberDoneRetryIntervalUs || !c.Node.IsHead() || !c.Node.MemberChangeDone() {
		return
	}
	c.lastMemberDoneUs = nowUs
	id := c.Node.State().MembershipID
	c.stepChain(nowUs, chain.ChangeSubmitted{Change: &statemachine.Change{
		ID: "done-" + id, Membership: &statemachine.MembershipChange{Action: statemachine.MembershipDone, Name: id}}})
}
