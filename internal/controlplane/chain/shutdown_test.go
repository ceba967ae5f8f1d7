package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// As many disks as may be lost are lost, and at the same moment one of those that hold the log is told to end: it
// serves on until enough others hold all of it.
func TestShutdownWaitsUntilOtherReplicasHoldTheLog(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for place := range controlNodes {
			t.Run(fmt.Sprintf("%d offices, place %d", controlNodes, place), func(t *testing.T) {
				t.Parallel()
				for seed := range int64(3) {
					y := newPacedTestCluster(t, seed, controlNodes)
					var holder *testMember
					others := []*testMember{}
					for _, s := range y.living() {
						if s.node.position() == place {
							holder = s
						} else {
							others = append(others, s)
						}
					}
					y.takeAway(others[:y.tolerated()], emptied)
					y.step(holder, ShutdownRequested{})
					waitedUs := int64(0)
					for ; !holder.node.ShutdownComplete(); waitedUs += yardStepUs {
						if y.advance(yardStepUs); waitedUs > graceUs {
							t.Fatalf("seed %d: it has not left: %s", seed, holder.node.WaitReason())
						}
					}
					holders := 0
					for _, s := range others {
						if s.node.serving() && s.node.caughtUp {
							holders++
						}
					}
					if holders < y.minReplicas || waitedUs < clock.Sec/2 {
						t.Fatalf("seed %d: it left after %d ms, when %d others held the log", seed, waitedUs/clock.Ms, holders)
					}
					y.stop(holder)
					y.advance(clock.Sec)
					y.start(holder, false)
					y.requireSettled(20*clock.Sec, "back")
				}
			})
		}
	}
}

// Where operators change the members, one that is told to end hands over its seat, keeps its vote, and has both again
// when it is back.
func TestShutdownWithoutAutoMembershipHandsOverPositionOnly(t *testing.T) {
	for i := range 3 {
		b := newSmallChain()
		p := b.members[i]
		b.step(i, ShutdownRequested{})
		for n := 0; n < 12 && !p.node.ShutdownComplete(); n++ {
			b.tick()
			b.deliverAll()
		}
		if !p.node.ShutdownComplete() || p.node.view.HasReplica(p.me.ID) || !p.node.view.IsVoter(p.me.ID) {
			t.Fatalf("member %d: left %v, %+v", i, p.node.ShutdownComplete(), p.node.view)
		}
		b.crash(i)
		b.write()
		b.deliverAll()
		if len(b.acked) != 1 {
			t.Fatalf("member %d: %d acknowledged without it", i, len(b.acked))
		}
		b.start(i, 0)
		b.advanceTicks(14)
		if b.checkInvariants(); b.broken != "" || !p.node.serving() || len(p.node.view.Replicas) != 3 {
			t.Fatalf("member %d: %s, back as %s in %+v", i, b.broken, p.node.phase, p.node.view)
		}
	}
}

// Where all are told to end, nobody waits for the others to take over.
func TestShutdownOfAllMembersCompletesAtOnce(t *testing.T) {
	for _, controlNodes := range []int{1, 3, 5} {
		y := newTestCluster(t, 1, controlNodes, min(3, controlNodes))
		y.paced, y.minReplicas = true, (controlNodes-1)/2+1
		for _, s := range y.members {
			y.start(s, true)
		}
		y.requireSettled(30*clock.Sec, "founding")
		for _, s := range y.members {
			y.step(s, ShutdownRequested{})
		}
		y.advance(clock.Sec / 4)
		for _, s := range y.members {
			if !s.node.ShutdownComplete() {
				t.Errorf("%d control nodes: %s waits for %s", controlNodes, s.me.ID, s.node.WaitReason())
			}
		}
	}
}

// One machine (two of five) is down with its disk, and nobody comes in its place: another that is told to end waits for
// it, as without it too few would hold what is acknowledged.
func TestShutdownWaitsForMemberThatIsDown(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for seed := range int64(4) {
			y := newPacedTestCluster(t, seed, controlNodes)
			lost := y.picks(int(seed))
			for _, s := range lost {
				y.stop(s)
			}
			y.advance(2 * clock.Sec)
			var holder *testMember
			for _, s := range y.living() {
				if s.node != nil {
					holder = s
				}
			}
			y.step(holder, ShutdownRequested{})
			y.advance(clock.Sec)
			before := y.lastAcked
			y.advance(clock.Sec)
			if holder.node.ShutdownComplete() || holder.node.WaitReason() == "" || y.lastAcked == before {
				t.Fatalf("%d control nodes, seed %d: left %v, %d acknowledged in a second, in %+v", controlNodes, seed, holder.node.ShutdownComplete(), y.lastAcked-before, holder.node.view)
			}
			for _, s := range lost {
				y.start(s, false)
			}
			for endUs := y.nowUs + 4*clock.Sec; y.nowUs < endUs && !holder.node.ShutdownComplete(); {
				y.advance(yardStepUs)
			}
			if !holder.node.ShutdownComplete() {
				t.Fatalf("%d control nodes, seed %d: it waits for %s", controlNodes, seed, holder.node.WaitReason())
			}
			y.terminate(holder)
			y.advance(clock.Sec)
			y.start(holder, false)
			y.requireSettled(20*clock.Sec, "back")
		}
	}
}
