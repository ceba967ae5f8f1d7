package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A voter knows that the process of the tail has ended if it has heard a later incarnation of the same control node. An earlier
// incarnation, from which it last heard before this view, proves nothing about the tail.
func TestOnlyLaterIncarnationSupersedesReplica(t *testing.T) {
	for name, c := range map[string]struct {
		heard string
		view  uint64
		want  bool
	}{
		"the incarnation of the replica":         {"now", 5, false},
		"an incarnation that knows this view":    {"later", 5, true},
		"an incarnation that knows a newer view": {"later", 6, true},
		"an incarnation before this view":        {"before", 4, false},
		"no incarnation":                         {"", 0, false},
	} {
		tail := Replica{Member: Member{ID: "b", Addr: "b"}, Incarnation: "now"}
		n, err := NewNode(Options{Self: Member{ID: "a", Addr: "a"}, Incarnation: "a1"}, []Record{{View: &View{Number: 5, Voters: []Member{{ID: "a"}, tail.Member}, Replicas: []Replica{tail}}}}, clock.Sec)
		if err != nil {
			t.Fatal(err)
		}
		if c.heard != "" {
			n.peers["b"] = &peer{hello: Hello{Member: tail.Member, Incarnation: c.heard, View: View{Number: c.view}}}
		}
		if got := n.isSuperseded(tail); got != c.want {
			t.Errorf("%s: got superseded %v, want %v", name, got, c.want)
		}
	}
}
