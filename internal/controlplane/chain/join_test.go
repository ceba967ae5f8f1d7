package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A joiner is seated behind a tail that holds the whole log only: it takes what its predecessor holds as the view
// begins for all that was acknowledged.
func TestAJoinerIsSeatedBehindAWholeTailOnly(t *testing.T) {
	seat := func(id string) Seat { return Seat{Member: Member{ID: id, Name: id, Addr: id}, Incarnation: id + "1"} }
	view := View{Number: 5, Voters: []Member{seat("a").Member, seat("b").Member, seat("c").Member}, Order: []Seat{seat("a"), seat("b")}}
	for _, whole := range []bool{false, true} {
		n, err := NewNode(Options{Me: seat("a").Member, Incarnation: "a1", SelfMembers: true}, []Record{{View: &view}, {Whole: 5}}, clock.Sec)
		if err != nil {
			t.Fatal(err)
		}
		hear := func(id string, h Hello) {
			h.Me, h.Incarnation, h.View = seat(id).Member, seat(id).Incarnation, view
			n.Step(Event{NowUs: clock.Sec, Got: &Msg{From: h.Me, Incarnation: h.Incarnation, Hello: &h}})
		}
		hear("b", Hello{Phase: Serving, Whole: whole, Hears: []string{"a", "c"}})
		hear("c", Hello{Phase: Outside, CopyIndex: 7, Hears: []string{"a", "b"}})
		if _, seated := n.joiner(); seated != whole {
			t.Errorf("the tail holds the whole log %v: the joiner is seated %v", whole, seated)
		}
	}
}
