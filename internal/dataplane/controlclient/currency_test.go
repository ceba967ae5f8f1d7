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
	const maxPropagationUs = 500 * clock.Ms
	for seed := int64(1); seed <= 40; seed++ {
		d := newStaleScenario(t, seed)
		inForce, inForceUs := uint64(1), d.nowUs
		for round := range 60 {
			switch d.r.Intn(4) {
			case 0:
				for _, c := range d.nodes {
					c.stale = d.r.Intn(3) == 0
				}
				d.applyTo(func(c *testControlNode) bool { return !c.stale })
			case 1:
				d.changes.appendConfig()
				d.applyTo(func(c *testControlNode) bool { return !c.stale })
				inForce, inForceUs = d.changes.state.Revision, d.nowUs
			case 2:
				d.down[d.nodes[d.r.Intn(len(d.nodes))].addr] = d.r.Intn(2) == 0
			}
			for range 1 + d.r.Intn(20) {
				d.advance(50 * clock.Ms)
				if d.informer.CurrentUs() >= inForceUs+maxPropagationUs && d.snapshot.Revision < inForce {
					t.Fatalf("seed %d, round %d: current at %d with revision %d, and %d is in force since %d", seed, round, d.informer.CurrentUs(), d.snapshot.Revision, inForce, inForceUs)
				}
				if d.snapshot.Revision == inForce {
					if diff := cmp.Diff(tenantsByKey(d.changes.state.Doc), tenantsByKey(d.snapshot.Declaration)); diff != "" {
						t.Fatalf("seed %d, round %d: who holds which key: %s", seed, round, diff)
					}
				}
			}
		}
	}
}

func TestAGatewayOfControlNodesThatAreBehindIsNotCurrent(t *testing.T) {
	d := newStaleScenario(t, 1)
	if lagUs := d.nowUs - d.informer.CurrentUs(); lagUs > 500*clock.Ms {
		t.Fatalf("it heard %d ms ago", lagUs/clock.Ms)
	}
	for _, c := range d.nodes {
		c.stale = true
	}
	d.advance(clock.Sec)
	heardUs := d.informer.CurrentUs()
	d.advance(10 * clock.Sec)
	if d.informer.CurrentUs() != heardUs {
		t.Errorf("it was told that it is current at %d, after %d", d.informer.CurrentUs(), heardUs)
	}
	published := d.snapshot.Number
	for _, c := range d.nodes {
		c.stale = false
	}
	d.advance(5 * clock.Sec)
	if lagUs := d.nowUs - d.informer.CurrentUs(); lagUs > 500*clock.Ms {
		t.Errorf("it heard %d ms ago", lagUs/clock.Ms)
	}
	if n := d.snapshot.Number - published; n > 2 {
		t.Errorf("%d snapshots for frames that brought nothing", n)
	}
}

func TestAGatewayThatKnowsNoDeclarationIsNotCurrent(t *testing.T) {
	c := newTestControlNode("o")
	s := newTestGateway(t, "d", c)
	for nowUs := clock.Sec; nowUs < 4*clock.Sec; nowUs += 50 * clock.Ms {
		for _, p := range c.publisher.Frames(c.frameInput(nowUs)) {
			s.step(nowUs, InformerEvent{Frame: p.Frame, Stream: s.openStreams()[0]})
		}
		s.step(nowUs, InformerEvent{})
	}
	if s.informer.LiveStreamCount() == 0 || s.informer.CurrentUs() != 0 {
		t.Errorf("%d streams live, current at %d", s.informer.LiveStreamCount(), s.informer.CurrentUs())
	}
}

// What lay in a buffer while this process was stopped says nothing of now.
func TestFramesReadRightAfterAWakeDoNotMakeAGatewayCurrent(t *testing.T) {
	d := newStaleScenario(t, 1)
	heardUs := d.informer.CurrentUs()
	d.nowUs += 8 * clock.Sec
	for _, stream := range d.openStreams() {
		for range 3 {
			d.step(d.nowUs, InformerEvent{Stream: stream, Frame: &wire.Frame{ControlNode: "o", CaughtUp: true}})
		}
	}
	if d.informer.CurrentUs() != heardUs {
		t.Fatalf("current by frames of before the gap: %d after %d", d.informer.CurrentUs(), heardUs)
	}
	d.advance(3 * clock.Sec)
	if lagUs := d.nowUs - d.informer.CurrentUs(); lagUs > 500*clock.Ms {
		t.Errorf("it heard %d ms ago", lagUs/clock.Ms)
	}
}
