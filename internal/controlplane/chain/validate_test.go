package chain

import (
	"math"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// malformedMessages are such as no control node sends, each as if it came from the first control node to another.
func malformedMessages(tc *testCluster, n *Node) map[string]Msg {
	from := tc.members[0]
	next := n.View()
	next.Number++
	with := func(change func(*View)) View {
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
		"a ballot that nobody can exceed":       {Prepare: &Prepare{Number: next.Number, Ballot: high}},
		"an accept that nobody can exceed":      {Accept: &Accept{Number: next.Number, Ballot: high, View: next}},
		"a refusal that nobody can exceed":      {Promise: &Promise{Number: next.Number, PromisedBallot: high}},
		"a promise made that nobody can exceed": {Hello: &Hello{Member: from.member, Incarnation: from.opts.Incarnation, View: n.View(), PromisedBallot: high}},
		"an accept of another number":           {Accept: accept(with(func(v *View) { v.Number++ }))},
		"an accept of a view of nobody":         {Accept: accept(View{Number: next.Number, System: next.System})},
		"an accept without seats":               {Accept: accept(with(func(v *View) { v.Replicas = nil }))},
		"an accept with one voter twice":        {Accept: accept(with(func(v *View) { v.Voters[1] = v.Voters[0] }))},
		"an accept with a nameless voter":       {Accept: accept(with(func(v *View) { v.Voters[1].ID = "" }))},
		"a hello with the last of all numbers":  {Hello: hello(with(func(v *View) { v.Number = math.MaxUint64 }))},
		"a hello with one seat twice":           {Hello: hello(with(func(v *View) { v.Replicas[1] = v.Replicas[0] }))},
		"a hello with a nameless seat":          {Hello: hello(with(func(v *View) { v.Replicas[1].ID = "" }))},
		"a hello with votes to spare below 0":   {Hello: hello(with(func(v *View) { v.ExtraVoters = -1 }))},
		"a copy of nothing":                     {Forward: &Forward{View: n.view.Number, Snapshot: &Snapshot{Index: n.LastIndex() + 9, State: &statemachine.State{}}}},
		"a copy without a state":                {InstallSnapshot: &InstallSnapshot{View: n.view.Number, Incarnation: n.opts.Incarnation}},
		"a copy with a replica of nothing":      {Forward: &Forward{View: n.view.Number, Snapshot: &Snapshot{Index: n.LastIndex() + 9, State: malformedState()}}},
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

// None of them is read: nothing changes, each is told of, and the chain goes on.
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
				t.Errorf("%s, %s: fault %v, %v before, %v after", s.member.ID, name, rejection, before, observedState(s.node))
			}
		}
	}
	tc.requireSettled(5*clock.Sec, "afterwards")
	tc.replace(tc.members[0])
	tc.requireSettled(20*clock.Sec, "after a loss")
}

// Who does not vote decides nothing, whatever it says that it has promised or accepted.
func TestOnlyVotersDecide(t *testing.T) {
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
		t.Fatal("promises of strangers count")
	}
	n.proposal.preparing, n.proposal.chosen = false, want
	for _, id := range []string{"x", "y", "z"} {
		from := Member{ID: id, Name: id, Addr: id}
		tc.step(head, MessageReceived{Msg: &Msg{From: from, Incarnation: id, Accepted: &Accepted{Number: want.Number, Ballot: Ballot{Round: n.maxRound, Proposer: head.member.ID}, OK: true}}})
	}
	if n.View().Number != before {
		t.Fatal("acceptances of strangers count")
	}
}
