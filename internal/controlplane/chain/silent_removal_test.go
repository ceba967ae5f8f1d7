package chain

import (
	"fmt"
	"testing"

	"petreltide/internal/process/clock"
)

const (
	// successorUptimeUs is how long a successor has run when the machine that it succeeds goes silent; it is well over the time to catch
	// up, after which neither counts as lost.
	successorUptimeUs = 10 * clock.Sec
	// settledAcknowledgeUs is by when, after the last event at a machine, a change must be acknowledged: the time until the core
	// counts as settled, and the time that an acknowledgement may take.
	settledAcknowledgeUs = 7 * clock.Sec
	// maxSecondLossDelayUs bounds the time between the silent removal and the next loss.
	maxSecondLossDelayUs = 1200 * clock.Ms
)

// loseAfterSilentRemoval adds a successor, removes one machine without a word, and empties the disks of others a little later, which
// start again after returnUs. It returns why no change was acknowledged in time, or "".
func loseAfterSilentRemoval(t *testing.T, seed int64, controlNodes, removed int, lost func(tc *testCluster, successor *testMember) []*testMember, delayUs, returnUs int64) string {
	tc := newFleetTimedCluster(t, seed, controlNodes)
	tc.advance(seed * 37 * clock.Ms)
	predecessor, successor := tc.members[removed], tc.addEmptyMember()
	tc.start(successor, false)
	tc.advance(successorUptimeUs)
	if why := tc.takeoverFailure(successor); why != "" {
		return "before the removal: " + why
	}
	predecessor.removed = true
	tc.stop(predecessor)
	tc.advance(delayUs)
	emptied := lost(tc, successor)
	for _, s := range emptied {
		tc.stop(s)
		tc.incarnations++
		s.disk, s.member.ID = nil, fmt.Sprintf("%s-%d", s.member.Name, tc.incarnations)
	}
	tc.advance(returnUs)
	for _, s := range emptied {
		tc.start(s, false)
	}
	before := tc.lastAcked
	for endUs := tc.nowUs + settledAcknowledgeUs; tc.nowUs < endUs; tc.advance(100 * clock.Ms) {
		if tc.lastAcked > before && tc.unsettledReason() == "" {
			return ""
		}
	}
	return fmt.Sprintf("not settled with a change acknowledged: %s; last acknowledged index %d, before %d", tc.unsettledReason(), tc.lastAcked, before)
}

// Guards against ACKS and CONFIG of review case 3: with a successor beside the machine that it succeeds there are four voters, and the
// removal of that machine and the loss of one further disk left two, which were no quorum, so that nothing was acknowledged or read
// any more. Only the further loss counts as one, as the successor has had its time to catch up.
func TestLossOfADiskRightAfterSilentRemovalOfSucceededMember(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for removed := range controlNodes {
			t.Run(fmt.Sprintf("%d control nodes/member %d removed", controlNodes, removed), func(t *testing.T) {
				t.Parallel()
				for other := 1; other < controlNodes; other++ {
					for delayUs := int64(0); delayUs <= maxSecondLossDelayUs; delayUs += 200 * clock.Ms {
						lost := func(tc *testCluster, _ *testMember) []*testMember {
							all := []*testMember{}
							for i := range tc.maxLosses() {
								if at := (removed + other + i) % controlNodes; at != removed {
									all = append(all, tc.members[at])
								}
							}
							return all
						}
						if why := loseAfterSilentRemoval(t, int64(other), controlNodes, removed, lost, delayUs, successorDelayUs); why != "" {
							t.Errorf("member %d and on lost %d ms after the removal: %s", (removed+other)%controlNodes, delayUs/clock.Ms, why)
						}
					}
				}
			})
		}
	}
}

// loseSuccessor returns the successor and, where two may be lost, the member after the removed one.
func loseSuccessor(controlNodes, removed int) func(tc *testCluster, successor *testMember) []*testMember {
	return func(tc *testCluster, successor *testMember) []*testMember {
		all := []*testMember{successor}
		if tc.maxLosses() > 1 {
			all = append(all, tc.members[(removed+1)%controlNodes])
		}
		return all
	}
}

// Guards against ACKS and CONFIG of review case 5: the successor itself is what is lost, and two voters without the tie-breaker decided
// nothing any more.
func TestLossOfSuccessorRightAfterSilentRemovalOfSucceededMember(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for removed := range controlNodes {
			t.Run(fmt.Sprintf("%d control nodes/member %d removed", controlNodes, removed), func(t *testing.T) {
				t.Parallel()
				for delayUs := int64(0); delayUs <= maxSecondLossDelayUs; delayUs += 200 * clock.Ms {
					if why := loseAfterSilentRemoval(t, 1, controlNodes, removed, loseSuccessor(controlNodes, removed), delayUs, successorDelayUs); why != "" {
						t.Errorf("the successor lost %d ms after the removal: %s", delayUs/clock.Ms, why)
					}
				}
			})
		}
	}
}

// As above, and the successor starts again only after a time in which it could have decided with the removed machine alone.
func TestLossOfSuccessorThatReturnsLateAfterSilentRemoval(t *testing.T) {
	for _, controlNodes := range []int{3, 5} {
		for _, returnUs := range []int64{3 * clock.Sec, 6 * clock.Sec} {
			t.Run(fmt.Sprintf("%d control nodes/back after %d s", controlNodes, returnUs/clock.Sec), func(t *testing.T) {
				t.Parallel()
				for delayUs := int64(0); delayUs <= maxSecondLossDelayUs; delayUs += 200 * clock.Ms {
					if why := loseAfterSilentRemoval(t, 1, controlNodes, 0, loseSuccessor(controlNodes, 0), delayUs, returnUs); why != "" {
						t.Errorf("the successor lost %d ms after the removal: %s", delayUs/clock.Ms, why)
					}
				}
			})
		}
	}
}
