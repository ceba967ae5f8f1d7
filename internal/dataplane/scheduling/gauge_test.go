package scheduling

import (
	"testing"

	"petreltide/internal/process/clock"
)

func TestCallsAreCountedUnderTheRevisionThatTookThem(t *testing.T) {
	at := func(number, revision uint64, share int) *Snapshot {
		s := snapshot(number, share, nil)
		s.Revision = revision
		return s
	}
	d := New(Options{Gateway: "d", Incarnation: "i", QueueMax: 100})
	d.Step(Event{NowUs: 1, Snapshot: at(1, 1, 2)})
	d.Step(Event{NowUs: 1, LeaseUs: 100 * clock.Sec})
	first, second, third := call(1, "fixes"), call(2, "fixes"), call(3, "fixes")
	st := starts(d.Step(Event{NowUs: 10, Arrived: first}))[0]
	first.FirstByteUs.Store(1010)
	d.Step(Event{NowUs: 2000, Ended: &AttemptEnded{Call: first.ID, Attempt: st.Attempt, Outcome: OutcomeDone}})
	st = starts(d.Step(Event{NowUs: 3000, Arrived: second}))[0]
	d.Step(Event{NowUs: 4000, Snapshot: at(2, 2, 2)})
	second.FirstByteUs.Store(5000)
	d.Step(Event{NowUs: 6000, Ended: &AttemptEnded{Call: second.ID, Attempt: st.Attempt, Outcome: OutcomeDone}})
	d.Step(Event{NowUs: 6000, Arrived: third})
	got := map[uint64]*KindCounters{}
	for _, g := range d.Counters() {
		got[g.Revision] = g.Kinds["fixes"]
	}
	if one := got[1]; one.Received != 2 || one.Completed != 1 || one.Spanned != 1 || one.Unserved != 1 || one.FirstByte.Count() != 1 {
		t.Errorf("revision 1: %+v", one)
	}
	if two := got[2]; two.Received != 1 || two.InFlight() != 1 {
		t.Errorf("revision 2: %+v", two)
	}
	for n := uint64(3); n < 30; n++ {
		d.Step(Event{NowUs: int64(n) * 10_000, Snapshot: at(n, n, 50)})
		d.Step(Event{NowUs: int64(n) * 10_000, Arrived: call(int(n), "fixes")})
	}
	if n := len(d.Counters()); n != maxRevisions {
		t.Errorf("%d gauges are kept", n)
	}
}
