package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

// As many disks as may be lost are lost, and at the same time one of the members that hold the log is asked to shut down. It
// continues to serve until enough others hold the complete log.
func TestShutdownWaitsUntilOtherReplicasHoldTheLog(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for position := range controlNodes {
			t.Run(fmt.Sprintf("%d control nodes, position %d", controlNodes, position), func(t *testing.T) {
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
							t.Fatalf("seed %d: the shutdown is not complete after the grace period: waits for %s", seed, holder.node.WaitReason())
						}
					}
					holders := 0
					for _, s := range others {
						if s.node.isServing() && s.node.caughtUp {
							holders++
						}
					}
					if holders < tc.minReplicas || waitedUs < clock.Sec/2 {
						t.Fatalf("seed %d: the shutdown completed after %d ms with %d other complete replicas, want at least %d ms and %d", seed, waitedUs/clock.Ms, holders, clock.Sec/2/clock.Ms, tc.minReplicas)
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

// Without automatic membership, a member that shuts down hands over its position in the chain and stays a voter. It is a replica
// again after its restart.
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
			t.Fatalf("member %d: got shutdown complete %v in view %+v, want true, not a replica and still a voter", i, p.node.ShutdownComplete(), p.node.view)
		}
		sc.crash(i)
		sc.write()
		sc.deliverAll()
		if len(sc.acked) != 1 {
			t.Fatalf("member %d: got %d entries acknowledged after its shutdown, want 1", i, len(sc.acked))
		}
		sc.start(i, 0)
		sc.advanceTicks(14)
		if sc.checkInvariants(); sc.violation != "" || !p.node.isServing() || len(p.node.view.Replicas) != 3 {
			t.Fatalf("member %d: got violation %q, phase %s and view %+v after its restart, want none, serving and 3 replicas", i, sc.violation, p.node.phase, p.node.view)
		}
	}
}

// If all members are asked to shut down, none waits for the others to take over.
func TestShutdownOfAllMembersCompletesAtOnce(t *testing.T) {
	for _, controlNodes := range []int{1, 3, 5} {
		tc := newTestCluster(t, 1, controlNodes, min(3, controlNodes))
		tc.fleetTimings, tc.minReplicas = true, (controlNodes-1)/2+1
		for _, s := range tc.members {
			tc.start(s, true)
		}
		tc.requireSettled(30*clock.Sec, "bootstrap")
		for _, s := range tc.members {
			tc.step(s, ShutdownRequested{})
		}
		tc.advance(clock.Sec / 4)
		for _, s := range tc.members {
			if !s.node.ShutdownComplete() {
				t.Errorf("%d control nodes: the shutdown of %s is not complete: waits for %s", controlNodes, s.member.ID, s.node.WaitReason())
			}
		}
	}
}

// One machine (two of five) is down with its disk and is not replaced. Another member that is asked to shut down waits for its
// restart, as otherwise too few members would hold the acknowledged entries.
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
				t.Fatalf("%d control nodes, seed %d: got shutdown complete %v and %d entries acknowledged in 1 s in view %+v, want false with a wait reason, and some", controlNodes, seed, holder.node.ShutdownComplete(), tc.lastAcked-before, holder.node.view)
			}
			for _, s := range lost {
				tc.start(s, false)
			}
			for endUs := tc.nowUs + 4*clock.Sec; tc.nowUs < endUs && !holder.node.ShutdownComplete(); {
				tc.advance(stepUs)
			}
			if !holder.node.ShutdownComplete() {
				t.Fatalf("%d control nodes, seed %d: the shutdown is not complete after the restart: waits for %s", controlNodes, seed, holder.node.WaitReason())
			}
			tc.terminate(holder)
			tc.advance(clock.Sec)
			tc.start(holder, false)
			tc.requireSettled(20*clock.Sec, "back")
		}
	}
}
