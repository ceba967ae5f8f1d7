package controlclient

import (
	"testing"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// Guards against decisions by what a gateway knew before it stood still (review/7): it opens new streams at the first step after a gap,
// whatever their back-offs, and only what comes on these makes it current.
func TestInformerReplacesItsStreamsAfterAGap(t *testing.T) {
	d := newStaleScenario(t, 1)
	before := d.informer.CurrentUs()
	old := map[uint64]bool{}
	for number := range d.informer.sources {
		old[number] = true
	}
	nowUs := d.nowUs + 4*clock.Sec
	opened, closed := 0, 0
	for _, e := range d.informer.Step(InformerEvent{NowUs: nowUs}) {
		switch {
		case e.Open != nil:
			opened++
		case e.Close != 0 && old[e.Close]:
			closed++
		}
	}
	if opened != streamCount || closed != len(old) {
		t.Errorf("first step after a gap: got %d streams opened and %d closed, want %d and %d", opened, closed, streamCount, len(old))
	}
	if woke, current := d.informer.WokeAtUs(), d.informer.CurrentUs(); woke != nowUs || current != before {
		t.Errorf("after a gap: got awake since %d and current at %d, want %d and %d", woke, current, nowUs, before)
	}
	frame := &wire.Frame{ControlNode: "o", Complete: true, CaughtUp: true, Revision: d.snapshot.Revision}
	for number := range old {
		d.informer.Step(InformerEvent{NowUs: nowUs + clock.Ms, Frame: frame, Stream: number})
	}
	if current := d.informer.CurrentUs(); current != before {
		t.Errorf("after frames on streams of before the gap: got current at %d, want %d", current, before)
	}
	for number := range d.informer.sources {
		d.informer.Step(InformerEvent{NowUs: nowUs + 2*clock.Ms, Frame: frame, Stream: number})
	}
	if current := d.informer.CurrentUs(); current != nowUs+2*clock.Ms {
		t.Errorf("after a frame on a stream of after the gap: got current at %d, want %d", current, nowUs+2*clock.Ms)
	}
}
