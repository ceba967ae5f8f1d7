package roster

import (
	"testing"

	"petreltide/internal/clock"
)

// Seed 70 of the routed days: an office that had stood still read words from its sockets that were seconds
// old, and its word for them made another office believe that a replica had let go of a model.
func TestWhatWasReadLateIsNotTakenToHoldSince(t *testing.T) {
	at := 10 * clock.Sec
	woken, other := New(darkUs), New(darkUs)
	other.Hear(at-4*clock.Sec, word("r", "1", 3, holds("m")))
	woken.LateUs = 5 * clock.Sec
	woken.Hear(at, word("r", "1", 4))
	if e := woken.Row("r"); e.SaidUs != at-5*clock.Sec || e.HeardUs != at {
		t.Fatalf("heard at %d, said at %d", e.HeardUs, e.SaidUs)
	}
	woken.LateUs = 0
	other.Merge(at+clock.Ms, woken.Notes(at+clock.Ms, 0, true))
	if e := other.Row("r"); e.SaidUs != at-4*clock.Sec || e.HeardUs != at {
		t.Fatalf("told on: heard at %d, said at %d", e.HeardUs, e.SaidUs)
	}
	other.Hear(at+clock.Sec, word("r", "1", 5))
	if e := other.Row("r"); e.SaidUs != at+clock.Sec {
		t.Fatalf("a fresh word holds since %d", e.SaidUs)
	}
	woken.Merge(at+clock.Sec, other.Notes(at+clock.Sec, woken.Rev, true))
	if e := woken.Row("r"); e.SaidUs != at+clock.Sec {
		t.Fatalf("a sign of life holds since %d", e.SaidUs)
	}
}
