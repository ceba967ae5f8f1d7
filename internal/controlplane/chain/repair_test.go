package chain

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// repair is one way in which a machine is lost and made good.
type repairMethod string

const (
	repairReplaced    repairMethod = "replaced under another name and address"
	repairEmptied     repairMethod = "back with an empty disk"
	repairRestarted   repairMethod = "back with its disk"
	repairReaddressed repairMethod = "back with its disk at another address"
	repairPlanned     repairMethod = "its successor started first, then terminated"
)

var repairMethods = []repairMethod{repairReplaced, repairEmptied, repairRestarted, repairReaddressed, repairPlanned}

const (
	// catchUpOneLossUs and catchUpTwoLossesUs are how long after its start a machine counts as lost, where one and where
	// two may be lost at once.
	catchUpOneLossUs   = 4 * clock.Sec
	catchUpTwoLossesUs = 6 * clock.Sec
	// terminationGraceUs is how long a terminated process may take to end.
	terminationGraceUs = 8 * clock.Sec
	// successorDelayUs is how long after a loss the successor starts.
	successorDelayUs = clock.Sec
)

// paced are the times that a fleet whose control nodes take each other in goes by.
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
	tc.requireSettled(30*clock.Sec, "founding")
	return tc
}

func (tc *testCluster) maxLosses() int { return tc.minReplicas - 1 }

func (tc *testCluster) catchUpUs() int64 {
	if tc.maxLosses() > 1 {
		return catchUpTwoLossesUs
	}
	return catchUpOneLossUs
}

// fresh is an empty machine with a name and an address of its own.
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

// terminate tells a process to end, and waits until it has or its grace is over.
func (tc *testCluster) terminate(s *testMember) {
	tc.step(s, ShutdownRequested{})
	for endUs := tc.nowUs + terminationGraceUs; tc.nowUs < endUs && !s.node.ShutdownComplete(); {
		tc.advance(stepUs)
	}
	tc.stop(s)
}

// lose takes machines at once and makes each good in its way. It returns when the successors' time to catch
// up is over; from then on nothing of this counts as lost.
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

// loseAndStartSuccessors loses machines at once, and starts what comes in their place.
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

// waitTakeover waits for the time to catch up, and notes when all had taken over for good.
func (tc *testCluster) waitTakeover(successors []*testMember) {
	fromUs, tookUs := tc.nowUs, int64(0)
	for endUs := fromUs + tc.catchUpUs(); tc.nowUs < endUs; tc.advance(stepUs) {
		if tookUs == 0 && !slices.ContainsFunc(successors, func(s *testMember) bool { return tc.takeoverFailure(s) != "" }) {
			tookUs = tc.nowUs - fromUs
		}
	}
	tc.slowestTakeoverUs = max(tc.slowestTakeoverUs, tookUs)
}

// takeoverFailure: a successor has seat, vote and the whole log, in the view of all others.
func (tc *testCluster) takeoverFailure(s *testMember) string {
	switch n := s.node; {
	case !n.isServing():
		return fmt.Sprintf("%s has no seat: %s, waits for %q", s.member.ID, n.Phase(), n.WaitReason())
	case !n.view.IsVoter(s.member.ID):
		return fmt.Sprintf("%s has no vote in %v", s.member.ID, n.view.Voters)
	case !n.caughtUp:
		return fmt.Sprintf("%s has not the whole log", s.member.ID)
	}
	for _, o := range tc.remainingMembers() {
		if o.node != nil && o.node.view.Number != s.node.view.Number {
			return fmt.Sprintf("%s is in view %d, %s in %d", s.member.ID, s.node.view.Number, o.member.ID, o.node.view.Number)
		}
	}
	return ""
}

// picks are the machines that are lost next: by lot, the head, the tail, or those whose disks have lasted longest.
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
		// In the order in which they came; a disk that was emptied counts from then.
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(a.diskCreatedUs, b.diskCreatedUs) })
	}
	return live[:tc.maxLosses()]
}

// A loss, its repair, and the next loss at the very moment when the successor's time to catch up is over, five
// times over: by then seat, vote and log are always taken over, and nothing that was acknowledged is lost. In
// the end one more loss comes with all others restarting.
func TestMemberLossRightAfterRepair(t *testing.T) {
	for _, how := range repairMethods {
		for _, controlNodes := range []int{3, 5} {
			t.Run(fmt.Sprintf("%d offices/%s", controlNodes, how), func(t *testing.T) {
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
								t.Fatalf("seed %d, loss %d: when the next loss may come, %s", seed, turn, why)
							}
						}
						if tc.lastAcked == before {
							t.Fatalf("seed %d, loss %d: nothing was acknowledged meanwhile", seed, turn)
						}
					}
					slowestUs = max(slowestUs, tc.slowestTakeoverUs)
					tc.loseDisksInFullRestart(seed)
				}
				t.Logf("the slowest takeover: %d ms after the successor's start", slowestUs/clock.Ms)
			})
		}
	}
}

// loseDisksInFullRestart: as many disks as may be are lost, and all others lose power at the same moment.
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
	tc.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d: after the last loss", seed))
}

// The second loss is for good and comes while the first one's successor has its vote and the one that it stands
// in for has just ended.
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
					tc.requireSettled(20*clock.Sec, "in the end")
				}
			}
		})
	}
}

// All restart, and some or all of them are at other addresses than the view says: they find each other by what they
// hear, and agree on.
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
				tc.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d: %d of %d moved", seed, moved, controlNodes))
			}
		}
	}
}

// All processes are killed while a lost machine's successor is being taken in. When the time to catch up is over after
// the last of them has come back, all of it is taken over, and the next loss may come.
func TestRepairInterruptedByKillOfAllMembers(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for _, how := range []repairMethod{repairReplaced, repairEmptied} {
			t.Run(fmt.Sprintf("%d offices/%s", controlNodes, how), func(t *testing.T) {
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
								t.Fatalf("seed %d, loss %d: when the next loss may come, %s", seed, turn, why)
							}
						}
					}
					slowestUs = max(slowestUs, tc.slowestTakeoverUs)
					tc.loseDisksInFullRestart(seed)
				}
				t.Logf("the slowest takeover: %d ms after the last start", slowestUs/clock.Ms)
			})
		}
	}
}
