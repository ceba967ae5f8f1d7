package chain

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"petreltide/internal/process/clock"
)

// repair is one way in which a machine is lost and made good.
type repair string

const (
	replaced     repair = "replaced under another name and address"
	emptied      repair = "back with an empty disk"
	restarted    repair = "back with its disk"
	readdressed  repair = "back with its disk at another address"
	plannedFirst repair = "its successor started first, then terminated"
)

var repairs = []repair{replaced, emptied, restarted, readdressed, plannedFirst}

const (
	// catchUpOneUs and catchUpTwoUs are how long after its start a machine counts as lost, where one and where
	// two may be lost at once.
	catchUpOneUs = 4 * clock.Sec
	catchUpTwoUs = 6 * clock.Sec
	// graceUs is how long a terminated process may take to end.
	graceUs = 8 * clock.Sec
	// comesAfterUs is how long after a loss the successor starts.
	comesAfterUs = clock.Sec
)

// paced are the times that a fleet whose control nodes take each other in goes by.
func paced(o Options) Options {
	o.HelloIntervalUs, o.HeartbeatIntervalUs, o.SuspectTimeoutUs = 200*clock.Ms, 200*clock.Ms, 800*clock.Ms
	o.LeaseDurationUs, o.VoteRecoveryTimeoutUs, o.GatherTimeoutUs, o.PrepareTimeoutUs = 700*clock.Ms, 900*clock.Ms, 1300*clock.Ms, 200*clock.Ms
	return o
}

func newPacedTestCluster(t *testing.T, seed int64, controlNodes int) *testCluster {
	y := newTestCluster(t, seed, controlNodes, 3)
	y.paced, y.minReplicas = true, (controlNodes-1)/2+1
	for _, s := range y.members {
		y.start(s, true)
	}
	y.requireSettled(30*clock.Sec, "founding")
	return y
}

func (tc *testCluster) tolerated() int { return tc.minReplicas - 1 }

func (tc *testCluster) catchUpUs() int64 {
	if tc.tolerated() > 1 {
		return catchUpTwoUs
	}
	return catchUpOneUs
}

// fresh is an empty machine with a name and an address of its own.
func (tc *testCluster) fresh() *testMember {
	tc.incarnations++
	name := fmt.Sprint("n", 10+tc.incarnations)
	s := &testMember{me: Member{ID: name + "-0", Name: name, Addr: "a" + name}}
	tc.members = append(tc.members, s)
	tc.seeds = nil
	for _, o := range tc.members {
		if !o.removed && o.node != nil && len(tc.seeds) < 3 {
			tc.seeds = append(tc.seeds, o.me.Addr)
		}
	}
	return s
}

// terminate tells a process to end, and waits until it has or its grace is over.
func (tc *testCluster) terminate(s *testMember) {
	tc.step(s, ShutdownRequested{})
	for endUs := tc.nowUs + graceUs; tc.nowUs < endUs && !s.node.ShutdownComplete(); {
		tc.advance(yardStepUs)
	}
	tc.stop(s)
}

// lose takes machines at once and makes each good in its way. It returns when the successors' time to catch
// up is over; from then on nothing of this counts as lost.
func (tc *testCluster) lose(lost []*testMember, how repair) []*testMember {
	successors := []*testMember{}
	if how == plannedFirst {
		for range lost {
			s := tc.fresh()
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
	successors = tc.takeAway(lost, how)
	tc.waitTakeover(successors)
	return successors
}

// takeAway loses machines at once, and starts what comes in their place.
func (tc *testCluster) takeAway(lost []*testMember, how repair) []*testMember {
	successors := []*testMember{}
	for _, s := range lost {
		tc.stop(s)
	}
	for _, s := range lost {
		switch how {
		case replaced:
			s.removed = true
			s = tc.fresh()
		case emptied:
			tc.incarnations++
			s.disk, s.me.ID = nil, fmt.Sprintf("%s-%d", s.me.Name, tc.incarnations)
		case readdressed:
			tc.incarnations++
			s.me.Addr = fmt.Sprintf("%s-%d", s.me.Name, tc.incarnations)
		}
		successors = append(successors, s)
	}
	tc.advance(comesAfterUs)
	for _, s := range successors {
		tc.start(s, false)
	}
	return successors
}

// waitTakeover waits for the time to catch up, and notes when all had taken over for good.
func (tc *testCluster) waitTakeover(successors []*testMember) {
	fromUs, tookUs := tc.nowUs, int64(0)
	for endUs := fromUs + tc.catchUpUs(); tc.nowUs < endUs; tc.advance(yardStepUs) {
		if tookUs == 0 && !slices.ContainsFunc(successors, func(s *testMember) bool { return tc.tookOver(s) != "" }) {
			tookUs = tc.nowUs - fromUs
		}
	}
	tc.slowestUs = max(tc.slowestUs, tookUs)
}

// tookOver: a successor has seat, vote and the whole log, in the view of all others.
func (tc *testCluster) tookOver(s *testMember) string {
	switch n := s.node; {
	case !n.serving():
		return fmt.Sprintf("%s has no seat: %s, waits for %q", s.me.ID, n.Phase(), n.WaitReason())
	case !n.view.IsVoter(s.me.ID):
		return fmt.Sprintf("%s has no vote in %v", s.me.ID, n.view.Voters)
	case !n.caughtUp:
		return fmt.Sprintf("%s has not the whole log", s.me.ID)
	}
	for _, o := range tc.living() {
		if o.node != nil && o.node.view.Number != s.node.view.Number {
			return fmt.Sprintf("%s is in view %d, %s in %d", s.me.ID, s.node.view.Number, o.me.ID, o.node.view.Number)
		}
	}
	return ""
}

// picks are the machines that are lost next: by lot, the head, the tail, or those whose disks have lasted longest.
func (tc *testCluster) picks(turn int) []*testMember {
	live := tc.living()
	switch turn % 4 {
	case 0:
		tc.r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	case 1:
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(a.node.position(), b.node.position()) })
	case 2:
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(b.node.position(), a.node.position()) })
	case 3:
		// In the order in which they came; a disk that was emptied counts from then.
		slices.SortStableFunc(live, func(a, b *testMember) int { return cmp.Compare(a.bornUs, b.bornUs) })
	}
	return live[:tc.tolerated()]
}

// A loss, its repair, and the next loss at the very moment when the successor's time to catch up is over, five
// times over: by then seat, vote and log are always taken over, and nothing that was acknowledged is lost. In
// the end one more loss comes with all others restarting.
func TestMemberLossRightAfterRepair(t *testing.T) {
	for _, how := range repairs {
		for _, controlNodes := range []int{3, 5} {
			t.Run(fmt.Sprintf("%d offices/%s", controlNodes, how), func(t *testing.T) {
				t.Parallel()
				seeds := int64(6)
				if raced {
					seeds = 2
				}
				slowestUs := int64(0)
				for seed := range seeds {
					y := newPacedTestCluster(t, seed, controlNodes)
					for turn := range 5 {
						before := y.lastAcked
						for _, s := range y.lose(y.picks(turn+int(seed)), how) {
							if why := y.tookOver(s); why != "" {
								t.Fatalf("seed %d, loss %d: when the next loss may come, %s", seed, turn, why)
							}
						}
						if y.lastAcked == before {
							t.Fatalf("seed %d, loss %d: nothing was acknowledged meanwhile", seed, turn)
						}
					}
					slowestUs = max(slowestUs, y.slowestUs)
					y.losesAtTheEnd(seed)
				}
				t.Logf("the slowest takeover: %d ms after the successor's start", slowestUs/clock.Ms)
			})
		}
	}
}

// losesAtTheEnd: as many disks as may be are lost, and all others lose power at the same moment.
func (tc *testCluster) losesAtTheEnd(seed int64) {
	lost := tc.picks(int(seed))
	for _, s := range tc.living() {
		tc.stop(s)
	}
	for _, s := range lost {
		tc.incarnations++
		s.disk, s.me.ID = nil, fmt.Sprintf("%s-%d", s.me.Name, tc.incarnations)
	}
	tc.advance(comesAfterUs)
	for _, s := range tc.living() {
		tc.start(s, false)
	}
	tc.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d: after the last loss", seed))
}

// The second loss is for good and comes while the first one's successor has its vote and the one that it stands
// in for has just ended.
func TestMemberLossRightAfterPlannedReplacement(t *testing.T) {
	for _, next := range repairs {
		t.Run(string(next), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(4) {
				for _, controlNodes := range []int{3, 5} {
					y := newPacedTestCluster(t, seed, controlNodes)
					for turn := range 3 {
						y.lose(y.picks(turn), plannedFirst)
						for _, s := range y.lose(y.picks(turn+int(seed)), next) {
							if why := y.tookOver(s); why != "" {
								t.Fatalf("seed %d, %d control nodes: %s", seed, controlNodes, why)
							}
						}
					}
					y.requireSettled(20*clock.Sec, "in the end")
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
				y := newPacedTestCluster(t, seed, controlNodes)
				live := y.living()
				for _, s := range live {
					y.stop(s)
				}
				y.r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
				for _, s := range live[:moved] {
					y.incarnations++
					s.me.Addr = fmt.Sprintf("%s-%d", s.me.Name, y.incarnations)
				}
				y.seeds = nil
				for _, s := range y.living()[:3] {
					y.seeds = append(y.seeds, s.me.Addr)
				}
				for _, s := range y.living() {
					y.start(s, false)
				}
				y.requireSettled(20*clock.Sec, fmt.Sprintf("seed %d: %d of %d moved", seed, moved, controlNodes))
			}
		}
	}
}

// All processes are killed while a lost machine's successor is being taken in. When the time to catch up is over after
// the last of them has come back, all of it is taken over, and the next loss may come.
func TestRepairInterruptedByKillOfAllMembers(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for _, how := range []repair{replaced, emptied} {
			t.Run(fmt.Sprintf("%d offices/%s", controlNodes, how), func(t *testing.T) {
				t.Parallel()
				slowestUs := int64(0)
				for seed := range int64(12) {
					y := newPacedTestCluster(t, seed, controlNodes)
					for turn := range 3 {
						successors := y.takeAway(y.picks(turn+int(seed)), how)
						y.advance(y.r.Int63n(4 * clock.Sec))
						for _, s := range y.living() {
							y.stop(s)
						}
						y.advance(clock.Sec / 2)
						for _, s := range y.living() {
							y.start(s, false)
							y.advance(y.r.Int63n(300 * clock.Ms))
						}
						y.waitTakeover(successors)
						for _, s := range successors {
							if why := y.tookOver(s); why != "" {
								t.Fatalf("seed %d, loss %d: when the next loss may come, %s", seed, turn, why)
							}
						}
					}
					slowestUs = max(slowestUs, y.slowestUs)
					y.losesAtTheEnd(seed)
				}
				t.Logf("the slowest takeover: %d ms after the last start", slowestUs/clock.Ms)
			})
		}
	}
}
