package simulator

import (
	"fmt"
	"strings"
	"testing"

	"petreltide/tests/rules"
)

func repairPlan(seed int64, controlNodes int, r Repairs) RoutedPlan {
	return RoutedPlan{Seed: seed, ControlNodes: controlNodes, Gateways: 2, CardReplicas: 4, LogReplicas: 2, CallsPerSecond: 8, QuietUs: 5 * second, DurationUs: second, Repairs: r, Closing: "wipe-after-ack-all"}
}

// A control machine is lost for good, emptied or replaced as planned, and the next one the moment that its successor
// has had its time to catch up, four times over, with a closing loss of disks in the end. Nothing acknowledged is
// lost, and changes are taken in time whenever the core is settled.
func TestMemberLossesRightAfterRepairs(t *testing.T) {
	heavy(t)
	from, count := seeds(2)
	for _, controlNodes := range []int{3, 5} {
		for _, how := range []string{repairReplace, repairPlanned, repairWipe, repairMixed} {
			for _, oldest := range []bool{false, true} {
				for seed := from; seed < from+count; seed++ {
					t.Run(fmt.Sprintf("%d offices/%s/oldest %v/seed-%d", controlNodes, how, oldest, seed), func(t *testing.T) {
						t.Parallel()
						out := RunRouted(repairPlan(int64(seed), controlNodes, Repairs{Rounds: 4, Method: how, Oldest: oldest}))
						if len(out.Breaches) > 0 {
							t.Fatalf("%v\n%s", out.Breaches, strings.Join(last(out.Log, 80), "\n"))
						}
						rounds := 0
						for kind, n := range out.Caused {
							if strings.HasPrefix(kind, "repair-") {
								rounds += n
							}
						}
						acked := 0
						for _, v := range out.Observed.Versions {
							if v.AckedUs > 0 {
								acked++
							}
						}
						if rounds != 4 || acked < 20 || out.ChecksAtStake[rules.Acks] == 0 || out.ChecksAtStake[rules.ConfigGon] == 0 {
							t.Fatalf("%d rounds, %d acknowledged, at stake %v: it proves little\n%s", rounds, acked, out.ChecksAtStake, strings.Join(last(out.Log, 60), "\n"))
						}
					})
				}
			}
		}
	}
}

// Guards against ACKS and CONFIG of review cases 3 and 5 on whole days: a succeeded control machine goes without a word, and up to 0.7 s
// later as many others as may be lost, the successor or any other, lose their disks, three times over.
func TestMemberLossesRightAfterSilentRemovals(t *testing.T) {
	heavy(t)
	from, count := seeds(8)
	for _, controlNodes := range []int{3, 5} {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("%d control nodes/seed-%d", controlNodes, seed), func(t *testing.T) {
				t.Parallel()
				out := RunRouted(repairPlan(int64(seed), controlNodes, Repairs{Rounds: 3, Method: repairSilent}))
				if len(out.Breaches) > 0 {
					t.Fatalf("%v\n%s", out.Breaches, strings.Join(last(out.Log, 80), "\n"))
				}
				if out.Caused["repair-silent"] != 3 || out.ChecksAtStake[rules.Acks] == 0 || out.ChecksAtStake[rules.ConfigGon] == 0 {
					t.Fatalf("caused %v, at stake %v: it proves little", out.Caused, out.ChecksAtStake)
				}
			})
		}
	}
}

// A control machine that goes at once when it is told to end leaves its vote behind: the next loss stops the chain.
func TestAnAbruptMemberIsFound(t *testing.T) {
	heavy(t)
	for seed := int64(1); seed <= 8; seed++ {
		p := repairPlan(seed, 3, Repairs{Rounds: 4, Method: repairMixed})
		p.Plant, p.Closing = "abrupt-office", ""
		for _, b := range RunRouted(p).Breaches {
			if b.Rule == rules.Acks {
				return
			}
		}
	}
	t.Fatal("not found")
}
