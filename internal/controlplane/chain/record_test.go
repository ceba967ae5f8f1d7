package chain

import (
	"testing"

	"petreltide/internal/process/clock"
)

// A record that was handed to the disk must not change afterwards, whatever the member learns before it is synced.
func TestPersistedRecordIsImmutable(t *testing.T) {
	tc := newSettledCluster(t, 1, 3, 3)
	for range 40 {
		tc.advance(100 * clock.Ms)
	}
	for _, s := range tc.members {
		if s.node.base.Index == 0 {
			t.Fatalf("%s: got base index 0, want a compacted log", s.member.ID)
		}
		for _, r := range s.disk {
			if r.View == &s.node.view || r.PromisedBallot == &s.node.promisedBallot {
				t.Fatalf("%s: a persisted record aliases the state of the member", s.member.ID)
			}
		}
	}
}
