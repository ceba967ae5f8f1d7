package chain

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// repairMethod is one way in which a machine is lost and repaired.
type repairMethod string

const (
	repairReplaced    repairMethod = "replaced under another name and address"
	repairEmptied     repairMethod = "restarted with an empty disk"
	repairRestarted   repairMethod = "restarted with its disk"
	repairReaddressed repairMethod = "restarted with its disk at another address"
	repairPlanned     repairMethod = "its successor started first, then terminated"
)

var repairMethods = []repairMethod{repairReplaced, repairEmptied, repairRestarted, repairReaddressed, repairPlanned}

const (
	// catchUpOneLossUs and catchUpTwoLossesUs are for how long after its start a machine still counts as lost, if one and if two
	// may be lost at once.
	catchUpOneLossUs   = 4 * clock.Sec
	catchUpTwoLossesUs = 6 * clock.Sec
	// terminationGraceUs is the maximum time that a terminated process may take to end.
	terminationGraceUs = 8 * clock.Sec
	// successorDelayUs is how long after a loss the successor starts.
	successorDelayUs = clock.Sec
)

// withFleetTimings sets the timings of a fleet with automatic membership.
func withFleetTimings(o Options) Options {
	o.HelloIntervalUs, o.HeartbeatIntervalUs, o.SuspectTimeoutUs = 200*clock.Ms, 200*clock.Ms, 800*clock.Ms
	o.LeaseDurationUs, o.VoteRecoveryTimeoutUs, o.GatherTimeoutUs, o.PrepareTimeoutUs = 700*clock.Ms, 900*clock.Ms, 1300*clock.Ms, 200*clock.Ms
	return o
}

func newFleetTimedCluster(t *testing.T, seed int64, controlNodes int) *testCluster {
	tc := newTestCluster(t, seed, controlNodes, 3)
	tc.fleetTimings, tc.minReplicas = true, (controlNodes-1)/2+1
	for _, s := range tc.members {
		tc.start(s, true)
	}
	tc.requireSettled(30*clock.Sec, "bootstrap")
	return tc
}

func (tc *testCluster) maxLosses() int { return tc.minReplicas - 1 }

func (tc *testCluster) catchUpUs() int64 {
	if tc.maxLosses() > 1 {
		return catchUpTwoLossesUs
	}
	return catchUpOneLossUs
}

// addEmptyMember adds a machine with an empty disk and a new name and address.
func (tc *testCluster) addEmptyMember() *testMember {
	tc.incarnations++
	name := fmt.Sprint("n", 10+tc.incarnations)
	s := &testMember{member: Member{ID: name + "-0", Name: name, Addr: "a" + name}}
	tc.members = append(tc.members, s)
	tc.seedAddrs = nil
	for _, o := range tc.members {
		if !o.removed && o.node != nil && len(tc.seedAddrs) < 3 {
			tc.seedAddrs = append(tc.seedAddrs, o.member.Addr)
		}
	}
	return s
}

// terminate asks a process to shut down, and stops it once it may end or its grace period is over.
func (tc *testCluster) terminate(s *testMember) {
	tc.step(s, ShutdownRequested{})
	for endUs := tc.nowUs + terminationGraceUs; tc.nowUs < endUs && !s.node.ShutdownComplete(); {
		tc.advance(stepUs)
	}
	tc.stop(s)
}

// lose loses machines at the same time and repairs them. It returns the successors once their time to catch up is over; from then
// on none of them counts as lost.
func (tc *testCluster) lose(lost []*testMember, how repairMethod) []*testMember {
	successors := []*testMember{}
	if how == repairPlanned {
		for range lost {
			s := tc.addEmptyMember()
			tc.start(s, false)
			successors = append(successors, s)
		}
		tc.advance(tc.catchUpUs())
		for _, s := range lost {
			tc.terminate(s)
			s.removed = true
		}
		return successors
	}
	successors = tc.loseAndStartSuccessors(lost, how)
	tc.waitTakeover(successors)
	return successors
}

// loseAndStartSuccessors loses machines at the same time, and starts their successors.
func (tc *testCluster) loseAndStartSuccessors(lost []*testMember, how repairMethod) []*testMember {
	successors := []*testMember{}
	for _, s := range lost {
		tc.stop(s)
	}
	for _, s := range lost {
		switch how {
		case repairReplaced:
			s.removed = true
			s = tc.addEmptyMember()
		case repairEmptied:
			tc.incarnations++
			s.disk, s.member.ID = nil, fmt.Sprintf("%s-%d", s.member.Name, tc.incarnations)
		case repairReaddressed:
			tc.incarnations++
			s.member.Addr = fmt.Sprintf("%s-%d", s.member.Name, tc.incarnations)
		}
		successors = append(successors, s)
	}
	tc.advance(successorDelayUs)
	for _, s := range successors {
		tc.start(s, false)
	}
	return successors
}

// waitTakeover waits for the time to catch up, and records when all successors had first taken over.
func (tc *testCluster) waitTakeover(successors []*testMember) {
	fromUs, tookUs := tc.nowUs, int64(0)
	for endUs := fromUs + tc.catchUpUs(); tc.nowUs < endUs; tc.advance(stepUs) {
		if tookUs == 0 && !slices.ContainsFunc(successors, func(s *testMember) bool { return tc.takeoverFailure(s) != "" }) {
			tookUs = tc.nowUs - fromUs
		}
	}
	tc.slowestTakeoverUs = max(tc.slowestTakeoverUs, tookUs)
}

// takeoverFailure returns why a successor has not taken over, or "": it must be a caught-up replica and a voter in the view that
// all others have.
func (tc *testCluster) takeoverFailure(s *testMember) string {
	switch n := s.node; {
	case !n.isServing():
		return fmt.Sprintf("%s is not serving: phase %s, waits for %q", s.member.ID, n.Phase(), n.WaitReason())
	case !n.view.IsVoter(s.member.ID):
		return fmt.Sprintf("%s is not a voter in %v", s.member.ID, n.view.Voters)
	case !n.caughtUp:
		return fmt.Sprintf("%s is not caught up", s.member.ID)
	}
	for _, o := range tc.remainingMembers() {
		if o.node != nil && o.node.view.Number != s.node.view.Number {
			return fmt.Sprintf("%s is in view %d, %s is in view %d", s.member.ID, s.node.view.Number, o.member.ID, o.node.view.Number)
		}
	}
	return ""
}

// membersToLose returns the machines to lose next: at random, from the head, from the tail, or those with the oldest disks.
func (tc *testCluster) membersToLose(turn int) []*testMember {
	live := tc.remainingMembers()
	switch turn % 4 {
	case 0:
		tc.r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	case 1:
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(a.node.position(), b.node.position()) })
	case 2:
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(b.node.position(), a.node.position()) })
	case 3:
		// By the age of the disk, which counts from when it was last empty.
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(a.diskCreatedUs, b.diskCreatedUs) })
	}
	return live[:tc.maxLosses()]
}

// Five times, a machine is lost and repaired, and the next loss comes exactly when the successor's time to catch up is over. By then
// the successor must be a caught-up replica and a voter, and no acknowledged entry may be lost. Finally one more loss comes while
// all others restart.
func TestMemberLossRightAfterRepair(t *testing.T) {
	for _, how := range repairMethods {
		for _, controlNodes := range []int{3, 5} {
			t.Run(fmt.Sprintf("%d control nodes/%s", controlNodes, how), func(t *testing.T) {
				t.Parallel()
				seeds := int64(6)
				if raceEnabled {
					seeds = 2
				}
				slowestUs := int64(0)
				for seed := range seeds {
					tc := newFleetTimedCluster(t, seed, controlNodes)
					for turn := range 5 {
						before := tc.lastAcked
						for _, s := range tc.lose(tc.membersToLose(turn+int(seed)), how) {
							if why := tc.takeoverFailure(s); why != "" {
								t.Fatalf("seed %d, loss %d: takeover incomplete after the time to catch up: %s", seed, turn, why)
							}
						}
						if tc.lastAcked == before {
							t.Fatalf("seed %d, loss %d: got no acknowledgement during the repair, last acknowledged index %d", seed, turn, before)
						}
					}
					slowestUs = max(slowestUs, tc.slowestTakeoverUs)
					tc.loseDisksInFullRestart(seed)
				}
				t.Logf("slowest takeover: %d ms after the start of the successor", slowestUs/clock.Ms)
			})
		}
	}
}

// loseDisksInFullRestart empties as many disks as may be lost, and restarts all members at the same time.
func (tc *testCluster) loseDisksInFullRestart(seed int64) {
	lost := tc.membersToLose(int(seed))
	for _, s := range tc.remainingMembers() {
		tc.stop(s)
	}
	for _, s := range lost {
		tc.incarnations++
		s.disk, s.member.ID = nil, fmt.Sprintf("%s-%d", s.member.Name, tc.incarnations)
	}
	tc.advance(successorDelayUs)
	for _, s := range tc.remainingMembers() {
		tc.start(s, false)
	}
	tc.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d, after the last loss", seed))
}

// A loss right after a planned replacement, when the successor has become a voter and the machine that it replaces has just
// ended.
func TestMemberLossRightAfterPlannedReplacement(t *testing.T) {
	for _, next := range repairMethods {
		t.Run(string(next), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(4) {
				for _, controlNodes := range []int{3, 5} {
					tc := newFleetTimedCluster(t, seed, controlNodes)
					for turn := range 3 {
						tc.lose(tc.membersToLose(turn), repairPlanned)
						for _, s := range tc.lose(tc.membersToLose(turn+int(seed)), next) {
							if why := tc.takeoverFailure(s); why != "" {
								t.Fatalf("seed %d, %d control nodes: %s", seed, controlNodes, why)
							}
						}
					}
					tc.requireSettled(20*clock.Sec, "finally")
				}
			}
		})
	}
}

// All members restart, some or all of them at other addresses than those in the view. They learn the addresses from each other's
// hellos and agree on the next view.
func TestMembersThatMovedTogetherReconnect(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for moved := 1; moved <= controlNodes; moved++ {
			for seed := range int64(3) {
				tc := newFleetTimedCluster(t, seed, controlNodes)
				live := tc.remainingMembers()
				for _, s := range live {
					tc.stop(s)
				}
				tc.r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
				for _, s := range live[:moved] {
					tc.incarnations++
					s.member.Addr = fmt.Sprintf("%s-%d", s.member.Name, tc.incarnations)
				}
				tc.seedAddrs = nil
				for _, s := range tc.remainingMembers()[:3] {
					tc.seedAddrs = append(tc.seedAddrs, s.member.Addr)
				}
				for _, s := range tc.remainingMembers() {
					tc.start(s, false)
				}
				tc.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d, %d of %d moved", seed, moved, controlNodes))
			}
		}
	}
}

// All processes are killed while the successor of a lost machine is joining. Once the time to catch up after the last restart is
// over, the successor must have taken over completely, so that the next loss may come.
func TestRepairCompletesAfterKillOfAllMembers(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for _, how := range []repairMethod{repairReplaced, repairEmptied} {
			t.Run(fmt.Sprintf("%d control nodes/%s", controlNodes, how), func(t *testing.T) {
				t.Parallel()
				slowestUs := int64(0)
				for seed := range int64(12) {
					tc := newFleetTimedCluster(t, seed, controlNodes)
					for turn := range 3 {
						successors := tc.loseAndStartSuccessors(tc.membersToLose(turn+int(seed)), how)
						tc.advance(tc.r.Int63n(4 * clock.Sec))
						for _, s := range tc.remainingMembers() {
							tc.stop(s)
						}
						tc.advance(clock.Sec / 2)
						for _, s := range tc.remainingMembers() {
							tc.start(s, false)
							tc.advance(tc.r.Int63n(300 * clock.Ms))
						}
						tc.waitTakeover(successors)
						for _, s := range successors {
							if why := tc.takeoverFailure(s); why != "" {
								t.Fatalf("seed %d, loss %d: takeover incomplete after the time to catch up: %s", seed, turn, why)
							}
						}
					}
					slowestUs = max(slowestUs, tc.slowestTakeoverUs)
					tc.loseDisksInFullRestart(seed)
				}
				t.Logf("slowest takeover: %d ms after the last start", slowestUs/clock.Ms)
			})
		}
	}
}
