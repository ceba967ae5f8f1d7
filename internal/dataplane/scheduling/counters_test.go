package scheduling

import (
	"testing"

	"petreltide/internal/process/clock"
)

func TestCallsAreCountedUnderRevisionAtArrival(t *testing.T) {
	at := func(number, revision uint64, share int) *Snapshot {
		s := declaredSnapshot(number, share, nil)
		s.Revision = revision
		return s
	}
	d := New(Options{Gateway: "d", Incarnation: "i", QueueMax: 100})
	d.Step(1, SnapshotReceived{Snapshot: at(1, 1, 2)})
	d.Step(1, LeaseExtended{UntilUs: 100 * clock.Sec})
	first, second, third := declaredCall(1, "fixes"), declaredCall(2, "fixes"), declaredCall(3, "fixes")
	st := attemptStarts(d.Step(10, CallArrived{Call: first}))[0]
	first.FirstByteUs.Store(1010)
	d.Step(2000, AttemptEnded{Call: first.ID, Attempt: st.Attempt, Outcome: OutcomeDone})
	st = attemptStarts(d.Step(3000, CallArrived{Call: second}))[0]
	d.Step(4000, SnapshotReceived{Snapshot: at(2, 2, 2)})
	second.FirstByteUs.Store(5000)
	d.Step(6000, AttemptEnded{Call: second.ID, Attempt: st.Attempt, Outcome: OutcomeDone})
	d.Step(6000, CallArrived{Call: third})
	got := map[uint64]*KindCounters{}
	for _, g := range d.Counters() {
		got[g.Revision] = g.Kinds["fixes"]
	}
	if one := got[1]; one.Received != 2 || one.Completed != 1 || one.Spanned != 1 || one.Unserved != 1 || one.FirstByte.Count() != 1 {
		t.Errorf("counters of revision 1: got %+v, want 2 received, 1 completed, 1 spanned and unserved, 1 first byte", one)
	}
	if two := got[2]; two.Received != 1 || two.InFlight() != 1 {
		t.Errorf("counters of revision 2: got %+v, want 1 received and in flight", two)
	}
	for n := uint64(3); n < 30; n++ {
		d.Step(int64(n)*10_000, SnapshotReceived{Snapshot: at(n, n, 50)})
		d.Step(int64(n)*10_000, CallArrived{Call: declaredCall(int(n), "fixes")})
	}
	if n := len(d.Counters()); n != maxRevisions {
		t.Errorf("revisions with counters: got %d, want %d", n, maxRevisions)
	}
}
