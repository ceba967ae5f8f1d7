package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A voter that has accepted a next view with another tail grants no lease to the current tail, as the others may decide that view
// at any moment. If no other member completes the view, the voter proposes it itself.
func TestVoterThatAcceptedAnotherTailGrantsNoLease(t *testing.T) {
	replica := func(id string) Replica { return Replica{Member: Member{ID: id, Addr: id}, Incarnation: id + "1"} }
	view := func(number uint64, order ...string) View {
		v := View{Number: number, Voters: []Member{replica("a").Member, replica("b").Member, replica("c").Member}}
		for _, id := range order {
			v.Replicas = append(v.Replicas, replica(id))
		}
		return v
	}
	withVoters := func(v View, voters ...string) View {
		v.Voters = nil
		for _, id := range voters {
			v.Voters = append(v.Voters, replica(id).Member)
		}
		return v
	}
	for name, c := range map[string]struct {
		next  View
		lease bool
	}{
		"no view accepted":            {View{}, true},
		"the same tail":               {view(6, "a", "c"), true},
		"a voter added":               {withVoters(view(6, "a", "d", "c"), "a", "b", "c", "d"), true},
		"a voter removed":             {withVoters(view(6, "a", "c"), "a", "c"), true},
		"a voter replaced":            {withVoters(view(6, "a", "d", "c"), "a", "c", "d"), false},
		"another tail":                {view(6, "a", "b"), false},
		"the tail's next incarnation": {View{Number: 6, Voters: view(6).Voters, Replicas: []Replica{replica("a"), {Member: replica("c").Member, Incarnation: "c2"}}}, false},
	} {
		v := view(5, "a", "b", "c")
		n, err := NewNode(Options{Self: replica("a").Member, Incarnation: "a1"}, []Record{{View: &v}, {CaughtUpView: 5}}, clock.Sec)
		if err != nil {
			t.Fatal(err)
		}
		n.votesRecovered = true
		nowUs := 4 * clock.Sec
		receive := func(from string, m Msg) []Effect {
			m.From, m.Incarnation = replica(from).Member, replica(from).Incarnation
			return n.Step(nowUs, MessageReceived{Msg: &m})
		}
		if c.next.Number > 0 {
			receive("b", Msg{Accept: &Accept{Number: 6, Ballot: Ballot{Round: 1, Proposer: "b"}, View: c.next}})
			if n.acceptedProposal == nil {
				t.Fatalf("%s: the next view is not accepted", name)
			}
		}
		granted := false
		for _, e := range receive("c", Msg{Lease: &Lease{View: 5, SentUs: 1}}) {
			send, ok := e.(Send)
			granted = granted || (ok && send.Msg.Lease != nil && send.Msg.Lease.Granted)
		}
		if granted != c.lease {
			t.Errorf("%s: got lease granted %v, want %v", name, granted, c.lease)
		}
		proposed := false
		for endUs := nowUs + 3*n.opts.SuspectTimeoutUs; nowUs < endUs && !c.lease; nowUs += 25 * clock.Ms {
			for _, e := range n.Step(nowUs, Tick{}) {
				send, ok := e.(Send)
				proposed = proposed || (ok && send.Msg.Prepare != nil)
			}
		}
		if proposed == c.lease {
			t.Errorf("%s: got next view proposed %v, want %v", name, proposed, !c.lease)
		}
	}
}
