package chain

import (
	"math"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// malformedMessages returns messages that no control node sends, each as if it came from the first control node to another.
func malformedMessages(tc *testCluster, n *Node) map[string]Msg {
	from := tc.members[0]
	next := n.View()
	next.Number++
	modified := func(change func(*View)) View {
		v := next
		v.Voters, v.Replicas = append([]Member(nil), v.Voters...), append([]Replica(nil), v.Replicas...)
		change(&v)
		return v
	}
	hello := func(v View) *Hello {
		return &Hello{Member: from.member, Incarnation: from.opts.Incarnation, Phase: PhaseServing, View: v, VotesRecovered: true, CaughtUp: true}
	}
	ballot := Ballot{Round: 90, Proposer: from.member.ID}
	high := Ballot{Round: math.MaxUint64, Proposer: from.member.ID}
	accept := func(v View) *Accept { return &Accept{Number: next.Number, Ballot: ballot, View: v} }
	all := map[string]Msg{
		"a prepare with the maximum ballot":        {Prepare: &Prepare{Number: next.Number, Ballot: high}},
		"an accept with the maximum ballot":        {Accept: &Accept{Number: next.Number, Ballot: high, View: next}},
		"a rejection with the maximum ballot":      {Promise: &Promise{Number: next.Number, PromisedBallot: high}},
		"a hello that promised the maximum ballot": {Hello: &Hello{Member: from.member, Incarnation: from.opts.Incarnation, View: n.View(), PromisedBallot: high}},
		"an accept of another view number":         {Accept: accept(modified(func(v *View) { v.Number++ }))},
		"an accept of a view without members":      {Accept: accept(View{Number: next.Number, System: next.System})},
		"an accept without replicas":               {Accept: accept(modified(func(v *View) { v.Replicas = nil }))},
		"an accept with one voter twice":           {Accept: accept(modified(func(v *View) { v.Voters[1] = v.Voters[0] }))},
		"an accept with a voter without an ID":     {Accept: accept(modified(func(v *View) { v.Voters[1].ID = "" }))},
		"a hello with the maximum view number":     {Hello: hello(modified(func(v *View) { v.Number = math.MaxUint64 }))},
		"a hello with one replica twice":           {Hello: hello(modified(func(v *View) { v.Replicas[1] = v.Replicas[0] }))},
		"a hello with a replica without an ID":     {Hello: hello(modified(func(v *View) { v.Replicas[1].ID = "" }))},
		"a hello with negative extra voters":       {Hello: hello(modified(func(v *View) { v.ExtraVoters = -1 }))},
		"a snapshot of an empty state":             {Forward: &Forward{View: n.view.Number, Snapshot: &Snapshot{Index: n.LastIndex() + 9, State: &statemachine.State{}}}},
		"a snapshot without a state":               {InstallSnapshot: &InstallSnapshot{View: n.view.Number, Incarnation: n.opts.Incarnation}},
		"a snapshot with a nil replica":            {Forward: &Forward{View: n.view.Number, Snapshot: &Snapshot{Index: n.LastIndex() + 9, State: malformedState()}}},
	}
	for name, m := range all {
		m.From, m.Incarnation = from.member, from.opts.Incarnation
		all[name] = m
	}
	return all
}

func malformedState() *statemachine.State {
	s := statemachine.NewState()
	s.Replicas["r"] = nil
	return s
}

// A malformed message changes no state and is reported as a fault, and the chain continues to work.
func TestMalformedMessagesAreRejected(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	for _, s := range tc.members[1:] {
		for name, m := range malformedMessages(tc, s.node) {
			before := observedState(s.node)
			var rejection *fault.Fault
			for _, e := range s.node.Step(tc.nowUs, MessageReceived{Msg: &m}) {
				if rejected, ok := e.(MessageRejected); ok {
					rejection = rejected.Fault
				}
			}
			if rejection == nil || rejection.Code != fault.BadField || observedState(s.node) != before {
				t.Errorf("%s, %s: got fault %v and state %v, want code %v and state %v", s.member.ID, name, rejection, observedState(s.node), fault.BadField, before)
			}
		}
	}
	tc.requireSettled(5*clock.Sec, "after malformed messages")
	tc.replace(tc.members[0])
	tc.requireSettled(20*clock.Sec, "after a loss")
}

// Promises and acceptances of members that are not voters do not count.
func TestMessagesOfNonVotersDoNotDecideView(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	head := membersByPosition(tc)[0]
	n := head.node
	want := n.View()
	want.Number++
	n.proposal = nil
	n.propose(want)
	before := n.View().Number
	for _, id := range []string{"x", "y", "z"} {
		from := Member{ID: id, Name: id, Addr: id}
		tc.step(head, MessageReceived{Msg: &Msg{From: from, Incarnation: id, Promise: &Promise{Number: want.Number, Ballot: n.proposal.ballot, OK: true}}})
	}
	if !n.proposal.preparing {
		t.Fatal("promises of non-voters count")
	}
	n.proposal.preparing, n.proposal.chosen = false, want
	for _, id := range []string{"x", "y", "z"} {
		from := Member{ID: id, Name: id, Addr: id}
		tc.step(head, MessageReceived{Msg: &Msg{From: from, Incarnation: id, Accepted: &Accepted{Number: want.Number, Ballot: Ballot{Round: n.maxRound, Proposer: head.member.ID}, OK: true}}})
	}
	if n.View().Number != before {
		t.Fatal("acceptances of non-voters count")
	}
}
