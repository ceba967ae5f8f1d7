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
		for position := range controlNodes {
			t.Run(fmt.Sprintf("%d offices, place %d", controlNodes, position), func(t *testing.T) {
				t.Parallel()
				for seed := range int64(3) {
					tc := newFleetTimedCluster(t, seed, controlNodes)
					var holder *testMember
					others := []*testMember{}
					for _, s := range tc.remainingMembers() {
						if s.node.position() == position {
							holder = s
						} else {
							others = append(others, s)
						}
					}
					tc.loseAndStartSuccessors(others[:tc.maxLosses()], repairEmptied)
					tc.step(holder, ShutdownRequested{})
					waitedUs := int64(0)
					for ; !holder.node.ShutdownComplete(); waitedUs += stepUs {
						if tc.advance(stepUs); waitedUs > terminationGraceUs {
							t.Fatalf("seed %d: it has not left: %s", seed, holder.node.WaitReason())
						}
					}
					holders := 0
					for _, s := range others {
						if s.node.isServing() && s.node.caughtUp {
							holders++
						}
					}
					if holders < tc.minReplicas || waitedUs < clock.Sec/2 {
						t.Fatalf("seed %d: it left after %d ms, when %d others held the log", seed, waitedUs/clock.Ms, holders)
					}
					tc.stop(holder)
					tc.advance(clock.Sec)
					tc.start(holder, false)
					tc.requireSettled(20*clock.Sec, "back")
				}
			})
		}
	}
}

// Where operators change the members, one that is told to end hands over its seat, keeps its vote, and has both again
// when it is back.
func TestShutdownWithoutAutoMembershipHandsOverPositionOnly(t *testing.T) {
	for i := range 3 {
		sc := newSmallChain()
		p := sc.members[i]
		sc.step(i, ShutdownRequested{})
		for n := 0; n < 12 && !p.node.ShutdownComplete(); n++ {
			sc.tick()
			sc.deliverAll()
		}
		if !p.node.ShutdownComplete() || p.node.view.HasReplica(p.member.ID) || !p.node.view.IsVoter(p.member.ID) {
			t.Fatalf("member %d: left %v, %+v", i, p.node.ShutdownComplete(), p.node.view)
		}
		sc.crash(i)
		sc.write()
		sc.deliverAll()
		if len(sc.acked) != 1 {
			t.Fatalf("member %d: %d acknowledged without it", i, len(sc.acked))
		}
		sc.start(i, 0)
		sc.advanceTicks(14)
		if sc.checkInvariants(); sc.violation != "" || !p.node.isServing() || len(p.node.view.Replicas) != 3 {
			t.Fatalf("member %d: %s, back as %s in %+v", i, sc.violation, p.node.phase, p.node.view)
		}
	}
}

// Where all are told to end, nobody waits for the others to take over.
func TestShutdownOfAllMembersCompletesAtOnce(t *testing.T) {
	for _, controlNodes := range []int{1, 3, 5} {
		tc := newTestCluster(t, 1, controlNodes, min(3, controlNodes))
		tc.fleetTimings, tc.minReplicas = true, (controlNodes-1)/2+1
		for _, s := range tc.members {
			tc.start(s, true)
		}
		tc.requireSettled(30*clock.Sec, "founding")
		for _, s := range tc.members {
			tc.step(s, ShutdownRequested{})
		}
		tc.advance(clock.Sec / 4)
		for _, s := range tc.members {
			if !s.node.ShutdownComplete() {
				t.Errorf("%d control nodes: %s waits for %s", controlNodes, s.member.ID, s.node.WaitReason())
			}
		}
	}
}

// One machine (two of five) is down with its disk, and nobody comes in its place: another that is told to end waits for
// it, as without it too few would hold what is acknowledged.
func TestShutdownWaitsForMemberThatIsDown(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for seed := range int64(4) {
			tc := newFleetTimedCluster(t, seed, controlNodes)
			lost := tc.membersToLose(int(seed))
			for _, s := range lost {
				tc.stop(s)
			}
			tc.advance(2 * clock.Sec)
			var holder *testMember
			for _, s := range tc.remainingMembers() {
				if s.node != nil {
					holder = s
				}
			}
			tc.step(holder, ShutdownRequested{})
			tc.advance(clock.Sec)
			before := tc.lastAcked
			tc.advance(clock.Sec)
			if holder.node.ShutdownComplete() || holder.node.WaitReason() == "" || tc.lastAcked == before {
				t.Fatalf("%d control nodes, seed %d: left %v, %d acknowledged in a second, in %+v", controlNodes, seed, holder.node.ShutdownComplete(), tc.lastAcked-before, holder.node.view)
			}
			for _, s := range lost {
				tc.start(s, false)
			}
			for endUs := tc.nowUs + 4*clock.Sec; tc.nowUs < endUs && !holder.node.ShutdownComplete(); {
				tc.advance(stepUs)
			}
			if !holder.node.ShutdownComplete() {
				t.Fatalf("%d control nodes, seed %d: it waits for %s", controlNodes, seed, holder.node.WaitReason())
			}
			tc.terminate(holder)
			tc.advance(clock.Sec)
			tc.start(holder, false)
			tc.requireSettled(20*clock.Sec, "back")
		}
	}
}
