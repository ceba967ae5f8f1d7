package chain

import (
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

// foreignMessages are messages that must not be read: of another chain's members, and of a later version.
func foreignMessages(n *Node) map[string]Msg {
	other := n.View()
	other.Number, other.System = other.Number+1, "elsewhere-1"
	other.Replicas = []Replica{{Member: Member{ID: "elsewhere-1", Name: "elsewhere", Addr: "x"}, Incarnation: "x/1"}}
	other.Voters = []Member{other.Replicas[0].Member}
	from := other.Voters[0]
	head := n.View().Replicas[0]
	return map[string]Msg{
		"a hello with a newer view":      {From: from, Incarnation: "x/1", Hello: &Hello{Member: from, Incarnation: "x/1", Phase: PhaseServing, View: other}},
		"a hello with the same number":   {From: from, Incarnation: "x/1", Hello: &Hello{Member: from, Incarnation: "x/1", Phase: PhaseStandby, View: View{Number: n.View().Number, System: "elsewhere-1"}, SnapshotIndex: 1}},
		"a hello that has accepted":      {From: from, Incarnation: "x/1", Hello: &Hello{Member: from, Incarnation: "x/1", AcceptedProposal: &AcceptedProposal{View: other}}},
		"an accept":                      {From: from, Incarnation: "x/1", Accept: &Accept{Number: other.Number, Ballot: Ballot{Round: 99, Proposer: from.ID}, View: other}},
		"a promise of something decided": {From: from, Incarnation: "x/1", Promise: &Promise{Number: other.Number, OK: true, AcceptedProposal: &AcceptedProposal{View: other}}},
		"a hello of a later version":     {Version: MessageVersion + 1, From: head.Member, Incarnation: "later", Hello: &Hello{Member: head.Member, Incarnation: "later", View: View{Number: 99, Voters: other.Voters}}},
		"an entry of a later version":    {Version: MessageVersion + 1, From: head.Member, Incarnation: head.Incarnation, Forward: &Forward{View: n.View().Number, Entries: []Entry{{Index: n.LastIndex() + 1}}}},
		"an order of a later version":    {Version: MessageVersion + 1, From: head.Member, Incarnation: head.Incarnation, Submit: &statemachine.Change{ID: "later"}},
	}
}

// observedState is what a message changes in a member.
func observedState(n *Node) [6]any {
	return [6]any{n.View().Number, n.LastIndex(), n.CommitIndex(), n.promisedBallot, n.acceptedProposal != nil, len(n.peers)}
}

// None of them changes anything, gets an answer, or is served from; each is told of as a typed fault.
func TestForeignAndNewerMessagesAreRejected(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	for _, s := range tc.members {
		if s.node.View().System == "" {
			t.Fatalf("%s belongs to no chain", s.member.ID)
		}
		for name, m := range foreignMessages(s.node) {
			before := observedState(s.node)
			effects := s.node.Step(tc.nowUs, MessageReceived{Msg: &m})
			var rejection *fault.Fault
			for _, e := range effects {
				if rejected, ok := e.(MessageRejected); ok {
					rejection = rejected.Fault
				} else {
					t.Errorf("%s, %s: %+v", s.member.ID, name, e)
				}
			}
			want := fault.ForeignMember
			if m.Version > 0 {
				want = fault.UnknownFormat
			}
			if rejection == nil || rejection.Code != want || observedState(s.node) != before {
				t.Errorf("%s, %s: fault %v, %v before, %v after", s.member.ID, name, rejection, before, observedState(s.node))
			}
		}
	}
	tc.requireSettled(5*clock.Sec, "afterwards")
}

// The check must be able to fail: read all the same, a foreign hello takes the member out of its chain.
func TestUncheckedForeignHelloWouldInstallItsView(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	n := tc.members[0].node
	before := n.View().Number
	hello := foreignMessages(n)["a hello with a newer view"]
	hello.Hello.View.System = ""
	if n.Step(tc.nowUs, MessageReceived{Msg: &hello}); n.View().Number == before {
		t.Fatal("a hello without a chain's name is not read either: the check proves nothing")
	}
}

// A chain that was founded before names were kept goes on, and its members read each other.
func TestChainWithoutSystemNameAcceptsItsMembers(t *testing.T) {
	n := &Node{view: View{Number: 3}}
	if n.isForeign(View{Number: 4, System: "a-1"}) || n.isForeign(View{Number: 4}) {
		t.Error("a chain without a name takes its own members for foreign")
	}
	if named := (&Node{view: View{Number: 3, System: "a-1"}}); named.isForeign(View{}) || !named.isForeign(View{System: "b-1"}) {
		t.Error("a fresh member is foreign, or another chain's is not")
	}
}
