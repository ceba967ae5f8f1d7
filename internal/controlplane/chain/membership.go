package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// minVoters: with fewer, the loss of one would stop the chain.
const minVoters = 3

func (n *Node) memberChange(act statemachine.MembershipAction) *statemachine.MembershipChange {
	if m := n.state.Membership; m != nil && m.Action == act {
		return m
	}
	return nil
}

// replacedVoter is the identity whose vote a newcomer of the same name is ordered to take.
func (n *Node) replacedVoter(m Member) string {
	if o := n.memberChange(statemachine.ReplaceMember); o != nil && o.Name == m.Name && o.ID != m.ID {
		return o.ID
	}
	return ""
}

// isBeingAdded: the operators ordered a control node of this name to be taken in, and none of it votes yet.
func (n *Node) isBeingAdded(m Member) bool {
	if o := n.memberChange(statemachine.AddMember); o == nil || o.Name != m.Name {
		return false
	}
	for _, v := range n.view.Voters {
		if v.Name == m.Name {
			return false
		}
	}
	return true
}

// isBeingRemoved: an identity that is ordered out gets no seat again.
func (n *Node) isBeingRemoved(id string) bool {
	o := n.memberChange(statemachine.RemoveMember)
	return o != nil && o.ID == id
}

// canRemoveMember: the one ordered out can go without leaving too few votes or too few copies.
func (n *Node) canRemoveMember() bool {
	o := n.memberChange(statemachine.RemoveMember)
	if o == nil || (!n.view.IsVoter(o.ID) && !n.view.HasReplica(o.ID)) {
		return false
	}
	if n.view.IsVoter(o.ID) && len(n.view.Voters) <= minVoters {
		return false
	}
	holders := 0
	for _, s := range n.view.Replicas {
		if s.ID != o.ID && n.isHealthy(s) && !n.isShuttingDown(s) && n.isCaughtUp(s) {
			holders++
		}
	}
	return holders >= 2 && n.hasCaughtUpHeadWithout(o.ID)
}

// hasCaughtUpHeadWithout: a member that has everything comes first also once this one is gone.
func (n *Node) hasCaughtUpHeadWithout(id string) bool {
	order := withoutReplica(n.view.Replicas, id)
	return len(order) > 0 && n.isCaughtUp(order[0])
}

// MemberChangeDone says that the order about members that stands is carried out in this view.
func (n *Node) MemberChangeDone() bool {
	o := n.state.Membership
	if o == nil || !n.isServing() {
		return false
	}
	joined := false
	for _, v := range n.view.Voters {
		joined = joined || (v.Name == o.Name && v.ID != o.ID && n.view.HasReplica(v.ID))
	}
	switch o.Action {
	case statemachine.AddMember, statemachine.ReplaceMember:
		return joined && !n.view.IsVoter(o.ID)
	}
	return !n.view.IsVoter(o.ID) && !n.view.HasReplica(o.ID)
}

// MemberChangeWaitReason says, in words, what the order about members waits for.
func (n *Node) MemberChangeWaitReason() string {
	o := n.state.Membership
	switch {
	case o == nil || n.MemberChangeDone():
		return ""
	case o.Action == statemachine.AddMember:
		return "an empty control node named " + o.Name + " that holds a copy and hears every member"
	case o.Action == statemachine.ReplaceMember:
		return "an empty control node named " + o.Name + ", beside or in place of " + o.ID + ", that holds a copy and hears every member"
	case len(n.view.Voters) <= minVoters:
		return "another vote: without " + o.ID + " fewer than three would be left"
	}
	return "two other members that hold the whole log"
}

// ResolveMemberChange finds the identity an order is about, or the reason for which it must not be taken.
func (n *Node) ResolveMemberChange(m *statemachine.MembershipChange, evenAlive bool) *fault.Fault {
	mismatch := func(format string, args ...any) *fault.Fault {
		return fault.New(fault.MembershipMismatch, "name", format, args...)
	}
	if n.view.Number == 0 || n.phase != PhaseServing {
		return fault.New(fault.NotServing, "", "this control node has no seat now: ask another")
	}
	var voter *Member
	for i, v := range n.view.Voters {
		if v.Name == m.Name {
			voter = &n.view.Voters[i]
		}
	}
	switch m.Action {
	case statemachine.CancelMembership:
		return nil
	case statemachine.AddMember:
		if voter != nil {
			return mismatch("a control node named %q has a vote already, as %s", m.Name, voter.ID)
		}
		if m.Name == "" || len(m.Name) > 64 {
			return mismatch("%q is no name for a control node", m.Name)
		}
		return nil
	case statemachine.ReplaceMember, statemachine.RemoveMember:
		if voter == nil {
			return mismatch("no control node named %q has a vote", m.Name)
		}
		m.ID = voter.ID
	default:
		return fault.New(fault.NotFound, "act", "%q: want add, replace, remove or cancel", m.Action)
	}
	if m.Action == statemachine.ReplaceMember {
		if n.view.HasReplica(voter.ID) && !evenAlive {
			return mismatch("%s is alive and has its seat: say --even-alive to replace it all the same", voter.ID)
		}
		return nil
	}
	if len(n.view.Voters) <= minVoters {
		return mismatch("fewer than three votes would be left: add a control node first")
	}
	others := 0
	for _, s := range n.view.Replicas {
		if s.ID != voter.ID && n.isHealthy(s) && !n.isShuttingDown(s) && n.isCaughtUp(s) {
			others++
		}
	}
	if others < 2 {
		return mismatch("%s holds one of the last two safe copies", voter.ID)
	}
	return nil
}

func withoutReplica(order []Replica, id string) []Replica {
	kept := []Replica{}
	for _, s := range order {
		if s.ID != id {
			kept = append(kept, s)
		}
	}
	return kept
}

func withoutVoter(voters []Member, id string) []Member {
	kept := []Member{}
	for _, v := range voters {
		if v.ID != id {
			kept = append(kept, v)
		}
	}
	return kept
}
