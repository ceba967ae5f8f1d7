package controlnode

import (
	"slices"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/chain"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// checkMember finds the identity that an order is about, or why it must not be taken. Only a control node whose view
// and state are the chain's of now may refuse it.
func (c *Core) checkMember(nowUs int64, m *statemachine.MembershipChange, evenAlive bool) *fault.Fault {
	if !c.Node.IsUpToDate(nowUs) {
		return fault.New(fault.NotServing, "", "this control node has no word of the chain: ask another")
	}
	return c.Node.ResolveMemberChange(m, evenAlive)
}

// listFollowableMembers are the control nodes that gateways may follow: those that are heard. A control node that is behind names all members of its
// view as well, since the ones that it does not hear may be current.
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

const memberDoneRetryIntervalUs = 500 * clock.Ms

// completeMemberChange is the head's: it takes an order about members out of the ledger once the view has it.
func (c *Core) completeMemberChange(nowUs int64) {
	if nowUs-c.lastMemberDoneUs < memberDoneRetryIntervalUs || !c.Node.IsHead() || !c.Node.MemberChangeDone() {
		return
	}
	c.lastMemberDoneUs = nowUs
	id := c.Node.State().MembershipID
	c.stepChain(nowUs, chain.ChangeSubmitted{Change: &statemachine.Change{ID: "done-" + id, Membership: &statemachine.MembershipChange{Action: statemachine.MembershipDone, Name: id}}})
}
