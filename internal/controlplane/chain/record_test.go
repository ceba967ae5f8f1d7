package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A record that was handed out stays as it was, whatever the member learns before the disk has it.
func TestPersistedRecordIsImmutable(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	for range 40 {
		tc.advance(100 * clock.Ms)
	}
	for _, s := range tc.members {
		if s.node.base.Index == 0 {
			t.Fatal("nothing was compacted")
		}
		for _, r := range s.disk {
			if r.View == &s.node.view || r.PromisedBallot == &s.node.promisedBallot {
				t.Fatalf("%s: a record on its way to the disk is what the member goes by", s.member.ID)
			}
		}
	}
}
