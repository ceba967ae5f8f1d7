package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A voter knows of a tail's end by an incarnation of its control node that came after. One that it heard before, and has not
// heard from since, says nothing of the tail.
func TestOnlyLaterIncarnationSupersedesReplica(t *testing.T) {
	for name, c := range map[string]struct {
		heard string
		view  uint64
		want  bool
	}{
		"the seat's own life":           {"now", 5, false},
		"a life that knows this view":   {"later", 5, true},
		"a life that knows a newer one": {"later", 6, true},
		"a life before this view":       {"before", 4, false},
		"nobody":                        {"", 0, false},
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
			t.Errorf("%s: ended %v", name, got)
		}
	}
}
