package chain

import (
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// foreignMessages returns messages that must be rejected: from members of another chain, and of a later version.
func foreignMessages(n *Node) map[string]Msg {
	foreign := n.View()
	foreign.Number, foreign.System = foreign.Number+1, "elsewhere-1"
	foreign.Replicas = []Replica{{Member: Member{ID: "elsewhere-1", Name: "elsewhere", Addr: "x"}, Incarnation: "x/1"}}
	foreign.Voters = []Member{foreign.Replicas[0].Member}
	from := foreign.Voters[0]
	head := n.View().Replicas[0]
	return map[string]Msg{
		"a hello with a newer view":       {From: from, Incarnation: "x/1", Hello: &Hello{Member: from, Incarnation: "x/1", Phase: PhaseServing, View: foreign}},
		"a hello with the same number":    {From: from, Incarnation: "x/1", Hello: &Hello{Member: from, Incarnation: "x/1", Phase: PhaseStandby, View: View{Number: n.View().Number, System: "elsewhere-1"}, SnapshotIndex: 1}},
		"a hello with a foreign proposal": {From: from, Incarnation: "x/1", Hello: &Hello{Member: from, Incarnation: "x/1", AcceptedProposal: &AcceptedProposal{View: foreign}}},
		"an accept":                       {From: from, Incarnation: "x/1", Accept: &Accept{Number: foreign.Number, Ballot: Ballot{Round: 99, Proposer: from.ID}, View: foreign}},
		"a promise of a foreign proposal": {From: from, Incarnation: "x/1", Promise: &Promise{Number: foreign.Number, OK: true, AcceptedProposal: &AcceptedProposal{View: foreign}}},
		"a hello of a later version":      {Version: MessageVersion + 1, From: head.Member, Incarnation: "later", Hello: &Hello{Member: head.Member, Incarnation: "later", View: View{Number: 99, Voters: foreign.Voters}}},
		"an entry of a later version":     {Version: MessageVersion + 1, From: head.Member, Incarnation: head.Incarnation, Forward: &Forward{View: n.View().Number, Entries: []Entry{{Index: n.LastIndex() + 1}}}},
		"a submit of a later version":     {Version: MessageVersion + 1, From: head.Member, Incarnation: head.Incarnation, Submit: &statemachine.Change{ID: "later"}},
	}
}

// observedState returns the state of a member that a message may change.
func observedState(n *Node) [6]any {
	return [6]any{n.View().Number, n.LastIndex(), n.CommitIndex(), n.promisedBallot, n.acceptedProposal != nil, len(n.peers)}
}

// A foreign message or one of a later version changes no state and gets no answer; it is reported as a typed fault.
func TestForeignAndNewerMessagesAreRejected(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	for _, s := range tc.members {
		if s.node.View().System == "" {
			t.Fatalf("%s: got no system in its view, want one", s.member.ID)
		}
		for name, m := range foreignMessages(s.node) {
			before := observedState(s.node)
			effects := s.node.Step(tc.nowUs, MessageReceived{Msg: &m})
			var rejection *fault.Fault
			for _, e := range effects {
				if rejected, ok := e.(MessageRejected); ok {
					rejection = rejected.Fault
				} else {
					t.Errorf("%s, %s: got effect %+v, want only MessageRejected", s.member.ID, name, e)
				}
			}
			want := fault.ForeignMember
			if m.Version > 0 {
				want = fault.UnknownFormat
			}
			if rejection == nil || rejection.Code != want || observedState(s.node) != before {
				t.Errorf("%s, %s: got fault %v and state %v, want code %v and state %v", s.member.ID, name, rejection, observedState(s.node), want, before)
			}
		}
	}
	tc.requireSettled(5*clock.Sec, "after rejected messages")
}

// A mutation that bypasses the check: without a system name a foreign hello is accepted and installs its view.
func TestUncheckedForeignHelloWouldInstallItsView(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	n := tc.members[0].node
	before := n.View().Number
	hello := foreignMessages(n)["a hello with a newer view"]
	hello.Hello.View.System = ""
	if n.Step(tc.nowUs, MessageReceived{Msg: &hello}); n.View().Number == before {
		t.Fatalf("view %d is kept after a foreign hello without a system name, so the rejection test proves nothing", before)
	}
}

// A chain that was founded before views had a system name continues to work, and its members accept the messages of each other.
func TestChainWithoutSystemNameAcceptsItsMembers(t *testing.T) {
	n := &Node{view: View{Number: 3}}
	if n.isForeign(View{Number: 4, System: "a-1"}) || n.isForeign(View{Number: 4}) {
		t.Error("a view without a system name treats views of its own chain as foreign")
	}
	if named := (&Node{view: View{Number: 3, System: "a-1"}}); named.isForeign(View{}) || !named.isForeign(View{System: "b-1"}) {
		t.Error("a view without a system is foreign, or a view of another system is not")
	}
}
