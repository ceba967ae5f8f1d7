package simulator

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/tests/rules"
)

// ackLossDays are as many as it takes to cause every kind of fault.
const ackLossDays = 18

// ackLossPlan is a day on which all of the core goes three times, each time right after an acknowledgement.
func ackLossPlan(seed int64) RoutedPlan {
	p := RoutedPlan{Seed: seed, ControlNodes: 3, Gateways: 4, CardReplicas: 6, LogReplicas: 3, CallsPerSecond: 25, QuietUs: 6 * second, DurationUs: 42 * second}
	if seed%pairsEvery == 0 {
		p.ControlNodes = 5
	}
	r := rand.New(rand.NewSource(seed * 29))
	for i := range int64(3) {
		p.Faults = append(p.Faults, Fault{Kind: ackLossKinds[(seed*3+i*2+seed/2)%int64(len(ackLossKinds))], A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12),
			AtUs: second + i*14*second + r.Int63n(second), DurationUs: second})
	}
	return p
}

// Guards against DRAIN of review case 2: an acknowledged leaving that was held in memory alone was forgotten when all of the core went
// right after the acknowledgement, and requests were sent to the replica again. Acknowledged changes must not be lost either.
func TestSeededCoreLossRightAfterAcknowledgements(t *testing.T) {
	from, count := seeds(ackLossDays)
	sum := &occasions{}
	t.Run("days", func(t *testing.T) {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				out := judgeRouted(t, ackLossPlan(int64(seed)))
				sum.add(DeclaredOutcome{Caused: out.Caused, ChecksAtStake: out.ChecksAtStake})
				if out.Served < 100 {
					t.Fatalf("only %d of %d were served: the run proves nothing", out.Served, out.Offered)
				}
			})
		}
	})
	if !t.Failed() && count >= ackLossDays {
		sum.judgeOf(t, ackLossKinds, []string{rules.Drain, rules.ConfigGon, rules.ConfigHistory})
	}
}
