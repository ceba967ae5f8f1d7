package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A joining member is added only behind a caught-up tail, as it treats the log of its predecessor at the start of the view as
// everything that was acknowledged.
func TestJoinerIsAddedOnlyBehindCaughtUpTail(t *testing.T) {
	seat := func(id string) Replica {
		return Replica{Member: Member{ID: id, Name: id, Addr: id}, Incarnation: id + "1"}
	}
	view := View{Number: 5, Voters: []Member{seat("a").Member, seat("b").Member, seat("c").Member}, Replicas: []Replica{seat("a"), seat("b")}}
	for _, whole := range []bool{false, true} {
		n, err := NewNode(Options{Self: seat("a").Member, Incarnation: "a1", AutoMembership: true}, []Record{{View: &view}, {CaughtUpView: 5}}, clock.Sec)
		if err != nil {
			t.Fatal(err)
		}
		hear := func(id string, h Hello) {
			h.Member, h.Incarnation, h.View = seat(id).Member, seat(id).Incarnation, view
			n.Step(clock.Sec, MessageReceived{Msg: &Msg{From: h.Member, Incarnation: h.Incarnation, Hello: &h}})
		}
		hear("b", Hello{Phase: PhaseServing, CaughtUp: whole, AlivePeers: []string{"a", "c"}})
		hear("c", Hello{Phase: PhaseStandby, SnapshotIndex: 7, AlivePeers: []string{"a", "b"}})
		if _, seated := n.nextJoiner(); seated != whole {
			t.Errorf("tail caught up %v: got joiner added %v, want %v", whole, seated, whole)
		}
	}
}
