package controlclient

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"petreltide/internal/api/wire"
	"petreltide/internal/process/clock"
)

// A gateway that counts as current knows every declaration that was in force one frame interval earlier, while its control nodes
// become stale, stop and are replaced by others.
func TestInformerIsCurrentOnlyWithDeclarationInForce(t *testing.T) {
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
					t.Fatalf("seed %d, round %d: informer is current at %d µs with revision %d, but revision %d is in force since %d µs", seed, round, d.informer.CurrentUs(), d.snapshot.Revision, inForce, inForceUs)
				}
				if d.snapshot.Revision == inForce {
					if diff := cmp.Diff(tenantsByKey(d.changes.state.Doc), tenantsByKey(d.snapshot.Declaration)); diff != "" {
						t.Fatalf("seed %d, round %d: tenants by key differ (-want +got):\n%s", seed, round, diff)
					}
				}
			}
		}
	}
}

func TestInformerOfStaleControlNodesIsNotCurrent(t *testing.T) {
	d := newStaleScenario(t, 1)
	if lagUs := d.nowUs - d.informer.CurrentUs(); lagUs > 500*clock.Ms {
		t.Fatalf("age of the newest current frame: got %d ms, want at most 500 ms", lagUs/clock.Ms)
	}
	for _, c := range d.nodes {
		c.stale = true
	}
	d.advance(clock.Sec)
	heardUs := d.informer.CurrentUs()
	d.advance(10 * clock.Sec)
	if d.informer.CurrentUs() != heardUs {
		t.Errorf("CurrentUs while all control nodes are stale: got %d, want %d", d.informer.CurrentUs(), heardUs)
	}
	published := d.snapshot.Number
	for _, c := range d.nodes {
		c.stale = false
	}
	d.advance(5 * clock.Sec)
	if lagUs := d.nowUs - d.informer.CurrentUs(); lagUs > 500*clock.Ms {
		t.Errorf("age of the newest current frame: got %d ms, want at most 500 ms", lagUs/clock.Ms)
	}
	if n := d.snapshot.Number - published; n > 2 {
		t.Errorf("snapshots for frames without changes: got %d, want at most 2", n)
	}
}

func TestInformerWithoutDeclarationIsNotCurrent(t *testing.T) {
	c := newTestControlNode("o")
	s := newTestGateway(t, "d", c)
	for nowUs := clock.Sec; nowUs < 4*clock.Sec; nowUs += 50 * clock.Ms {
		for _, p := range c.publisher.Frames(c.frameInput(nowUs)) {
			s.step(nowUs, InformerEvent{Frame: p.Frame, Stream: s.openStreams()[0]})
		}
		s.step(nowUs, InformerEvent{})
	}
	if s.informer.LiveStreamCount() == 0 || s.informer.CurrentUs() != 0 {
		t.Errorf("without a declaration: got %d live streams and CurrentUs %d, want some streams and 0", s.informer.LiveStreamCount(), s.informer.CurrentUs())
	}
}

// Frames that waited in a socket buffer while the process was stopped do not describe the present state.
func TestFramesReadRightAfterWakeDoNotMakeInformerCurrent(t *testing.T) {
	d := newStaleScenario(t, 1)
	heardUs := d.informer.CurrentUs()
	d.nowUs += 8 * clock.Sec
	for _, stream := range d.openStreams() {
		for range 3 {
			d.step(d.nowUs, InformerEvent{Stream: stream, Frame: &wire.Frame{ControlNode: "o", CaughtUp: true}})
		}
	}
	if d.informer.CurrentUs() != heardUs {
		t.Fatalf("CurrentUs after buffered frames: got %d, want %d", d.informer.CurrentUs(), heardUs)
	}
	d.advance(3 * clock.Sec)
	if lagUs := d.nowUs - d.informer.CurrentUs(); lagUs > 500*clock.Ms {
		t.Errorf("age of the newest current frame: got %d ms, want at most 500 ms", lagUs/clock.Ms)
	}
}
