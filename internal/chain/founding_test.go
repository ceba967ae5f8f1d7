package chain

import (
	"testing"

	"petreltide/internal/clock"
)

// TestAnAcceptedFirstViewOutlivesALaterPromise: what a founder has accepted is still known after it has promised a
// higher ballot and restarted.
func TestAnAcceptedFirstViewOutlivesALaterPromise(t *testing.T) {
	a, b := Member{ID: "a", Addr: "a"}, Member{ID: "b", Addr: "b"}
	before := View{Voters: []Member{a, b}}
	next := View{Number: 1, Voters: before.Voters, Order: []Seat{{Member: a}, {Member: b}}}
	low, high := Ballot{Round: 1, By: "a"}, Ballot{Round: 2, By: "b"}
	node, err := NewNode(Options{Me: a}, []Record{
		{View: &before}, {Promised: &low}, {Accepted: &Accepted{Ballot: low, View: next}}, {View: &before}, {Promised: &high},
	}, clock.Sec)
	if err != nil {
		t.Fatal(err)
	}
	if node.accepted == nil || node.accepted.Ballot != low || node.promised != high {
		t.Errorf("accepted %v, promised %v", node.accepted, node.promised)
	}
}
