package chain

import (
	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
)

// minVoters is the minimum number of voters: with fewer, the loss of one would stop the chain.
const minVoters = 3

func (n *Node) memberChange(act statemachine.MembershipAction) *statemachine.MembershipChange {
	if m := n.state.Membership; m != nil && m.Action == act {
		return m
	}
	return nil
}

// replacedVoter returns the ID of the voter that a new control node of the same name replaces by an operator's command, or "".
func (n *Node) replacedVoter(m Member) string {
	if o := n.memberChange(statemachine.ReplaceMember); o != nil && o.Name == m.Name && o.ID != m.ID {
		return o.ID
	}
	return ""
}

// isBeingAdded reports whether an operator added a control node of this name, and no control node of the name is a voter yet.
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

// isBeingRemoved reports whether an operator removed the member of this ID. It does not join the chain again.
func (n *Node) isBeingRemoved(id string) bool {
	o := n.memberChange(statemachine.RemoveMember)
	return o != nil && o.ID == id
}

// canRemoveMember reports whether the member that an operator removed can go without leaving too few voters or replicas.
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

// hasCaughtUpHeadWithout reports whether the chain still has a caught-up head once this member is removed.
func (n *Node) hasCaughtUpHeadWithout(id string) bool {
	order := withoutReplica(n.view.Replicas, id)
	return len(order) > 0 && n.isCaughtUp(order[0])
}

// MemberChangeDone reports whether the current membership command is carried out in this view.
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

// MemberChangeWaitReason describes what the current membership command waits for; "" if it waits for nothing.
func (n *Node) MemberChangeWaitReason() string {
	o := n.state.Membership
	switch {
	case o == nil || n.MemberChangeDone():
		return ""
	case o.Action == statemachine.AddMember:
		return "an empty control node named " + o.Name + " that holds a snapshot and hears every member"
	case o.Action == statemachine.ReplaceMember:
		return "an empty control node named " + o.Name + ", beside or in place of " + o.ID + ", that holds a snapshot and hears every member"
	case len(n.view.Voters) <= minVoters:
		return "another voter: without " + o.ID + " fewer than three would be left"
	}
	return "two other members that hold the complete log"
}

// ResolveMemberChange sets the member ID that a membership command is about, or returns why the command must be rejected.
func (n *Node) ResolveMemberChange(m *statemachine.MembershipChange, evenAlive bool) *fault.Fault {
	mismatch := func(format string, args ...any) *fault.Fault {
		return fault.New(fault.MembershipMismatch, "name", format, args...)
	}
	if n.view.Number == 0 || n.phase != PhaseServing {
		return fault.New(fault.NotServing, "", "this control node has no position in the chain now: ask another")
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
			return mismatch("a control node named %q is already a voter, as %s", m.Name, voter.ID)
		}
		if m.Name == "" || len(m.Name) > 64 {
			return mismatch("%q is not a valid name for a control node", m.Name)
		}
		return nil
	case statemachine.ReplaceMember, statemachine.RemoveMember:
		if voter == nil {
			return mismatch("no control node named %q is a voter", m.Name)
		}
		m.ID = voter.ID
	default:
		return fault.New(fault.NotFound, "act", "%q: want add, replace, remove or cancel", m.Action)
	}
	if m.Action == statemachine.ReplaceMember {
		if n.view.HasReplica(voter.ID) && !evenAlive {
			return mismatch("%s is alive and serving in the chain: use --even-alive to replace it anyway", voter.ID)
		}
		return nil
	}
	if len(n.view.Voters) <= minVoters {
		return mismatch("fewer than three voters would be left: add a control node first")
	}
	others := 0
	for _, s := range n.view.Replicas {
		if s.ID != voter.ID && n.isHealthy(s) && !n.isShuttingDown(s) && n.isCaughtUp(s) {
			others++
		}
	}
	if others < 2 {
		return mismatch("%s holds one of the last two complete replicas", voter.ID)
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
