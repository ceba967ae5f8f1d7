package chain

import (
	"fmt"
	"testing"
)

// Guards against nondeterminism. A process that learned of a newer start of its own member before those of the other members sent
// a hello with a random part of them, as it read them in the order of a Go map. Runs of the simulator with the same seed differed.
func TestStartsAreLearnedInOneOrder(t *testing.T) {
	const otherMembers, runs = 6, 20
	for run := range runs {
		n := newSmallChain().members[0].node
		known := map[string]KnownStart{n.opts.Self.ID: {Start: Start{Number: n.startNumber + 3, Incarnation: "older"}, Addr: n.opts.Self.Addr}}
		for i := range otherMembers {
			known[fmt.Sprint("ghost-", i)] = KnownStart{Start: Start{Number: 1, Incarnation: "g"}, Addr: fmt.Sprint("g", i)}
		}
		n.effects = nil
		n.learnStarts(known)
		sent := 0
		for _, e := range n.effects {
			if send, ok := e.(Send); ok && send.Msg.Hello != nil && send.Msg.Hello.KnownStarts != nil {
				sent++
				for i := range otherMembers {
					if _, names := send.Msg.Hello.KnownStarts[fmt.Sprint("ghost-", i)]; !names {
						t.Fatalf("run %d: the hello to %s does not list ghost-%d, which was reported in the same message", run, send.Addr, i)
					}
				}
			}
		}
		if sent == 0 {
			t.Fatal("got no hello with known starts, want at least one")
		}
	}
}
