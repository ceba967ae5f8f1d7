package registry

import (
	"testing"

	"petreltide/internal/process/clock"
)

// Seed 70 of the routed days: a control node that had stood still read words from its sockets that were seconds
// old, and its word for them made another control node believe that a replica had let go of a model.
func TestWhatWasReadLateIsNotTakenToHoldSince(t *testing.T) {
	at := 10 * clock.Sec
	woken, other := New(unreachableUs), New(unreachableUs)
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

// A word may come seconds late, also one of the incarnation before, and to a control node that never heard of that incarnation.
func TestALateWordOfTheIncarnationBeforeDoesNotEndTheOneThatLives(t *testing.T) {
	at := 20 * clock.Sec
	lives := func(t *testing.T, r *Roster) {
		t.Helper()
		if e := r.Row("new"); e == nil || e.Gone {
			t.Fatalf("the incarnation that speaks has ended: %+v", e)
		}
	}
	t.Run("heard by an office that knows the new life alone", func(t *testing.T) {
		r := New(unreachableUs)
		r.Hear(at, word("new", "1", 3))
		r.Hear(at+200*clock.Ms, word("old", "1", 90))
		lives(t, r)
		r.Hear(at+1200*clock.Ms, word("new", "1", 4))
		lives(t, r)
	})
	t.Run("heard first by an office that came back empty", func(t *testing.T) {
		back, other := New(unreachableUs), New(unreachableUs)
		other.Hear(at, word("new", "1", 3))
		back.Hear(at+200*clock.Ms, word("old", "1", 90))
		for us := at + 300*clock.Ms; us < at+4*clock.Sec; us += 300 * clock.Ms {
			other.Hear(us, word("new", "1", uint64(us)))
			back.Merge(us, other.Notes(us, 0, true))
			other.Merge(us, back.Notes(us, 0, true))
		}
		for _, r := range []*Roster{back, other} {
			lives(t, r)
			if e := r.Row("old"); e != nil && !e.Gone {
				t.Fatalf("the incarnation before counts as there: %+v", e)
			}
		}
	})
	t.Run("two lives heard by two offices at the same time", func(t *testing.T) {
		back, other := New(unreachableUs), New(unreachableUs)
		back.Hear(at, word("old", "1", 90))
		other.Hear(at-100*clock.Ms, word("new", "1", 3))
		back.Merge(at, other.Notes(at, 0, true))
		other.Merge(at, back.Notes(at, 0, true))
		if e := back.Row("new"); e != nil && e.Gone {
			t.Fatal("the incarnation that speaks has ended at the control node that heard the late word")
		}
		lives(t, other)
	})
	t.Run("a new life is taken once the one before is silent", func(t *testing.T) {
		r := New(unreachableUs)
		r.Hear(at, word("old", "1", 90))
		for us := at + 300*clock.Ms; us <= at+2*clock.Sec; us += 300 * clock.Ms {
			r.Hear(us, word("new", "1", uint64(us)))
		}
		lives(t, r)
		if !r.Row("old").Gone {
			t.Fatal("two incarnations at one address")
		}
	})
}
