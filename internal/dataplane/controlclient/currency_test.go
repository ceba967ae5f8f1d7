package controlclient

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// A gateway that says it is current has every declaration that was in force a frame's interval before, through whatever its control
// nodes go: they fall behind, are lost, and lead it to others.
func TestAGatewayIsCurrentOnlyWhileItKnowsWhatIsInForce(t *testing.T) {
	const knowsWithinUs = 500 * clock.Ms
	for seed := int64(1); seed <= 40; seed++ {
		d := newBehindDay(t, seed)
		inForce, inForceUs := uint64(1), d.nowUs
		for round := range 60 {
			switch d.r.Intn(4) {
			case 0:
				for _, c := range d.all {
					c.behind = d.r.Intn(3) == 0
				}
				d.apply(func(c *core) bool { return !c.behind })
			case 1:
				d.log.config()
				d.apply(func(c *core) bool { return !c.behind })
				inForce, inForceUs = d.log.head.Revision, d.nowUs
			case 2:
				d.down[d.all[d.r.Intn(len(d.all))].addr] = d.r.Intn(2) == 0
			}
			for range 1 + d.r.Intn(20) {
				d.pass(50 * clock.Ms)
				if d.m.CurrentUs() >= inForceUs+knowsWithinUs && d.snap.Revision < inForce {
					t.Fatalf("seed %d, round %d: current at %d with revision %d, and %d is in force since %d", seed, round, d.m.CurrentUs(), d.snap.Revision, inForce, inForceUs)
				}
				if d.snap.Revision == inForce {
					if diff := cmp.Diff(holders(d.log.head.Doc), holders(d.snap.Declaration)); diff != "" {
						t.Fatalf("seed %d, round %d: who holds which key: %s", seed, round, diff)
					}
				}
			}
		}
	}
}

func TestAGatewayOfControlNodesThatAreBehindIsNotCurrent(t *testing.T) {
	d := newBehindDay(t, 1)
	if lagUs := d.nowUs - d.m.CurrentUs(); lagUs > 500*clock.Ms {
		t.Fatalf("it heard %d ms ago", lagUs/clock.Ms)
	}
	for _, c := range d.all {
		c.behind = true
	}
	d.pass(clock.Sec)
	heardUs := d.m.CurrentUs()
	d.pass(10 * clock.Sec)
	if d.m.CurrentUs() != heardUs {
		t.Errorf("it was told that it is current at %d, after %d", d.m.CurrentUs(), heardUs)
	}
	published := d.snap.Number
	for _, c := range d.all {
		c.behind = false
	}
	d.pass(5 * clock.Sec)
	if lagUs := d.nowUs - d.m.CurrentUs(); lagUs > 500*clock.Ms {
		t.Errorf("it heard %d ms ago", lagUs/clock.Ms)
	}
	if n := d.snap.Number - published; n > 2 {
		t.Errorf("%d snapshots for frames that brought nothing", n)
	}
}

func TestAGatewayThatKnowsNoDeclarationIsNotCurrent(t *testing.T) {
	c := newCore("o")
	s := newScreen(t, "d", c)
	for nowUs := clock.Sec; nowUs < 4*clock.Sec; nowUs += 50 * clock.Ms {
		for _, p := range c.hub.Frames(c.seen(nowUs)) {
			s.step(nowUs, InformerEvent{Frame: p.Frame, Stream: s.open()[0]})
		}
		s.step(nowUs, InformerEvent{})
	}
	if s.m.LiveStreamCount() == 0 || s.m.CurrentUs() != 0 {
		t.Errorf("%d streams live, current at %d", s.m.LiveStreamCount(), s.m.CurrentUs())
	}
}

// What lay in a buffer while this process was stopped says nothing of now.
func TestFramesReadRightAfterAWakeDoNotMakeAGatewayCurrent(t *testing.T) {
	d := newBehindDay(t, 1)
	heardUs := d.m.CurrentUs()
	d.nowUs += 8 * clock.Sec
	for _, stream := range d.open() {
		for range 3 {
			d.step(d.nowUs, InformerEvent{Stream: stream, Frame: &wire.Frame{ControlNode: "o", CaughtUp: true}})
		}
	}
	if d.m.CurrentUs() != heardUs {
		t.Fatalf("current by frames of before the gap: %d after %d", d.m.CurrentUs(), heardUs)
	}
	d.pass(3 * clock.Sec)
	if lagUs := d.nowUs - d.m.CurrentUs(); lagUs > 500*clock.Ms {
		t.Errorf("it heard %d ms ago", lagUs/clock.Ms)
	}
}
