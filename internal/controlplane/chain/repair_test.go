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

func pacedYard(t *testing.T, seed int64, controlNodes int) *yard {
	y := newYard(t, seed, controlNodes, 3)
	y.paced, y.copies = true, (controlNodes-1)/2+1
	for _, s := range y.spots {
		y.start(s, true)
	}
	y.settles(30*clock.Sec, "founding")
	return y
}

func (y *yard) tolerated() int { return y.copies - 1 }

func (y *yard) catchUpUs() int64 {
	if y.tolerated() > 1 {
		return catchUpTwoUs
	}
	return catchUpOneUs
}

// fresh is an empty machine with a name and an address of its own.
func (y *yard) fresh() *spot {
	y.incarnations++
	name := fmt.Sprint("n", 10+y.incarnations)
	s := &spot{me: Member{ID: name + "-0", Name: name, Addr: "a" + name}}
	y.spots = append(y.spots, s)
	y.seeds = nil
	for _, o := range y.spots {
		if !o.gone && o.node != nil && len(y.seeds) < 3 {
			y.seeds = append(y.seeds, o.me.Addr)
		}
	}
	return s
}

// terminate tells a process to end, and waits until it has or its grace is over.
func (y *yard) terminate(s *spot) {
	y.step(s, ShutdownRequested{})
	for endUs := y.nowUs + graceUs; y.nowUs < endUs && !s.node.ShutdownComplete(); {
		y.pass(yardStepUs)
	}
	y.stop(s)
}

// lose takes machines at once and makes each good in its way. It returns when the successors' time to catch
// up is over; from then on nothing of this counts as lost.
func (y *yard) lose(lost []*spot, how repair) []*spot {
	successors := []*spot{}
	if how == plannedFirst {
		for range lost {
			s := y.fresh()
			y.start(s, false)
			successors = append(successors, s)
		}
		y.pass(y.catchUpUs())
		for _, s := range lost {
			y.terminate(s)
			s.gone = true
		}
		return successors
	}
	successors = y.takeAway(lost, how)
	y.waitTakeover(successors)
	return successors
}

// takeAway loses machines at once, and starts what comes in their place.
func (y *yard) takeAway(lost []*spot, how repair) []*spot {
	successors := []*spot{}
	for _, s := range lost {
		y.stop(s)
	}
	for _, s := range lost {
		switch how {
		case replaced:
			s.gone = true
			s = y.fresh()
		case emptied:
			y.incarnations++
			s.disk, s.me.ID = nil, fmt.Sprintf("%s-%d", s.me.Name, y.incarnations)
		case readdressed:
			y.incarnations++
			s.me.Addr = fmt.Sprintf("%s-%d", s.me.Name, y.incarnations)
		}
		successors = append(successors, s)
	}
	y.pass(comesAfterUs)
	for _, s := range successors {
		y.start(s, false)
	}
	return successors
}

// waitTakeover waits for the time to catch up, and notes when all had taken over for good.
func (y *yard) waitTakeover(successors []*spot) {
	fromUs, tookUs := y.nowUs, int64(0)
	for endUs := fromUs + y.catchUpUs(); y.nowUs < endUs; y.pass(yardStepUs) {
		if tookUs == 0 && !slices.ContainsFunc(successors, func(s *spot) bool { return y.tookOver(s) != "" }) {
			tookUs = y.nowUs - fromUs
		}
	}
	y.slowestUs = max(y.slowestUs, tookUs)
}

// tookOver: a successor has seat, vote and the whole log, in the view of all others.
func (y *yard) tookOver(s *spot) string {
	switch n := s.node; {
	case !n.serving():
		return fmt.Sprintf("%s has no seat: %s, waits for %q", s.me.ID, n.Phase(), n.WaitReason())
	case !n.view.IsVoter(s.me.ID):
		return fmt.Sprintf("%s has no vote in %v", s.me.ID, n.view.Voters)
	case !n.caughtUp:
		return fmt.Sprintf("%s has not the whole log", s.me.ID)
	}
	for _, o := range y.living() {
		if o.node != nil && o.node.view.Number != s.node.view.Number {
			return fmt.Sprintf("%s is in view %d, %s in %d", s.me.ID, s.node.view.Number, o.me.ID, o.node.view.Number)
		}
	}
	return ""
}

// picks are the machines that are lost next: by lot, the head, the tail, or those whose disks have lasted longest.
func (y *yard) picks(turn int) []*spot {
	live := y.living()
	switch turn % 4 {
	case 0:
		y.r.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	case 1:
		slices.SortStableFunc(live, func(a, b *spot) int { return cmp.Compare(a.node.position(), b.node.position()) })
	case 2:
		slices.SortStableFunc(live, func(a, b *spot) int { return cmp.Compare(b.node.position(), a.node.position()) })
	case 3:
		// In the order in which they came; a disk that was emptied counts from then.
		slices.SortStableFunc(live, func(a, b *spot) int { return cmp.Compare(a.bornUs, b.bornUs) })
	}
	return live[:y.tolerated()]
}

// A loss, its repair, and the next loss at the very moment when the successor's time to catch up is over, five
// times over: by then seat, vote and log are always taken over, and nothing that was acknowledged is lost. In
// the end one more loss comes with all others restarting.
func TestALossRightAfterARepair(t *testing.T) {
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
					y := pacedYard(t, seed, controlNodes)
					for turn := range 5 {
						before := y.most
						for _, s := range y.lose(y.picks(turn+int(seed)), how) {
							if why := y.tookOver(s); why != "" {
								t.Fatalf("seed %d, loss %d: when the next loss may come, %s", seed, turn, why)
							}
						}
						if y.most == before {
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
func (y *yard) losesAtTheEnd(seed int64) {
	lost := y.picks(int(seed))
	for _, s := range y.living() {
		y.stop(s)
	}
	for _, s := range lost {
		y.incarnations++
		s.disk, s.me.ID = nil, fmt.Sprintf("%s-%d", s.me.Name, y.incarnations)
	}
	y.pass(comesAfterUs)
	for _, s := range y.living() {
		y.start(s, false)
	}
	y.settles(20*clock.Sec, fmt.Sprintf("seed %d: after the last loss", seed))
}

// The second loss is for good and comes while the first one's successor has its vote and the one that it stands
// in for has just ended.
func TestALossWhileAPlannedSuccessorHasJustTakenOver(t *testing.T) {
	for _, next := range repairs {
		t.Run(string(next), func(t *testing.T) {
			t.Parallel()
			for seed := range int64(4) {
				for _, controlNodes := range []int{3, 5} {
					y := pacedYard(t, seed, controlNodes)
					for turn := range 3 {
						y.lose(y.picks(turn), plannedFirst)
						for _, s := range y.lose(y.picks(turn+int(seed)), next) {
							if why := y.tookOver(s); why != "" {
								t.Fatalf("seed %d, %d control nodes: %s", seed, controlNodes, why)
							}
						}
					}
					y.settles(20*clock.Sec, "in the end")
				}
			}
		})
	}
}

// All restart, and some or all of them are at other addresses than the view says: they find each other by what they
// hear, and agree on.
func TestMembersThatMovedTogetherFindEachOther(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for moved := 1; moved <= controlNodes; moved++ {
			for seed := range int64(3) {
				y := pacedYard(t, seed, controlNodes)
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
				y.settles(20*clock.Sec, fmt.Sprintf("seed %d: %d of %d moved", seed, moved, controlNodes))
			}
		}
	}
}

// All processes are killed while a lost machine's successor is being taken in. When the time to catch up is over after
// the last of them has come back, all of it is taken over, and the next loss may come.
func TestARepairThatAKillOfAllCutsShort(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for _, how := range []repair{replaced, emptied} {
			t.Run(fmt.Sprintf("%d offices/%s", controlNodes, how), func(t *testing.T) {
				t.Parallel()
				slowestUs := int64(0)
				for seed := range int64(12) {
					y := pacedYard(t, seed, controlNodes)
					for turn := range 3 {
						successors := y.takeAway(y.picks(turn+int(seed)), how)
						y.pass(y.r.Int63n(4 * clock.Sec))
						for _, s := range y.living() {
							y.stop(s)
						}
						y.pass(clock.Sec / 2)
						for _, s := range y.living() {
							y.start(s, false)
							y.pass(y.r.Int63n(300 * clock.Ms))
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
