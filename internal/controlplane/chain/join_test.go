package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A joining member is added only behind a caught-up tail, as it treats the log of its predecessor at the start of the view as
// everything that was acknowledged.
func TestJoinerIsAddedOnlyBehindCaughtUpTail(t *testing.T) {
	replica := func(id string) Replica {
		return Replica{Member: Member{ID: id, Name: id, Addr: id}, Incarnation: id + "1"}
	}
	view := View{Number: 5, Voters: []Member{replica("a").Member, replica("b").Member, replica("c").Member}, Replicas: []Replica{replica("a"), replica("b")}}
	for _, tailCaughtUp := range []bool{false, true} {
		n, err := NewNode(Options{Self: replica("a").Member, Incarnation: "a1", AutoMembership: true}, []Record{{View: &view}, {CaughtUpView: 5}}, clock.Sec)
		if err != nil {
			t.Fatal(err)
		}
		receiveHello := func(id string, h Hello) {
			h.Member, h.Incarnation, h.View = replica(id).Member, replica(id).Incarnation, view
			n.Step(clock.Sec, MessageReceived{Msg: &Msg{From: h.Member, Incarnation: h.Incarnation, Hello: &h}})
		}
		receiveHello("b", Hello{Phase: PhaseServing, CaughtUp: tailCaughtUp, AlivePeers: []string{"a", "c"}})
		receiveHello("c", Hello{Phase: PhaseStandby, SnapshotIndex: 7, AlivePeers: []string{"a", "b"}})
		if _, added := n.nextJoiner(); added != tailCaughtUp {
			t.Errorf("tail caught up %v: got joiner added %v, want %v", tailCaughtUp, added, tailCaughtUp)
		}
	}
}
