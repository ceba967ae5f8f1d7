package simulator

import (
	"fmt"
	"math/rand"
	"testing"

	"petreltide/tests/rules"
)

// renameDays are as many as it takes to cause every kind of fault.
const renameDays = 24

// renamePlan is a day on which names change while requests wait, beside faults of the core and of gateways. Every other day has
// tenants.
func renamePlan(seed int64, count int) RoutedPlan {
	p := RoutedPlan{Seed: seed, ControlNodes: 3, Gateways: 4, CardReplicas: 6, LogReplicas: 2, CallsPerSecond: 20, QuietUs: 6 * second, DurationUs: 24 * second,
		Tenants: seed%2 == 0, Renames: true}
	kinds := renameFaultKinds
	if !p.Tenants {
		kinds = kinds[:5]
	}
	r := rand.New(rand.NewSource(seed * 23))
	others := []string{"kill-desk", "cut-desk", "kill-holder", "cut-office", "config-storm", "config-rivals", "roll-desks", "crash-replica", "failing-replica", "power-after-send"}
	for i := range count {
		f := Fault{Kind: kinds[(int(seed/2)+i)%len(kinds)], A: r.Intn(100), B: r.Intn(100), N: 1 + r.Intn(12),
			AtUs: p.DurationUs*int64(i)/int64(count) + r.Int63n(second), DurationUs: 500*millisecond + r.Int63n(2*second)}
		p.Faults = append(p.Faults, f)
		if r.Intn(2) == 0 {
			f.Kind, f.AtUs = others[r.Intn(len(others))], f.AtUs+r.Int63n(second)
			p.Faults = append(p.Faults, f)
		}
	}
	return p
}

// Guards against ROUTE and DENIED of review case 1 on whole days: routes, services and tenants get other names, exchange them, go and
// come back while requests wait.
func TestSeededRoutedDaysWithRenames(t *testing.T) {
	from, count := seeds(renameDays)
	sum := &occasions{}
	t.Run("days", func(t *testing.T) {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				out := judgeRouted(t, renamePlan(int64(seed), 6))
				sum.add(DeclaredOutcome{Caused: out.Caused, ChecksAtStake: out.ChecksAtStake})
				if out.Served < 100 {
					t.Fatalf("only %d of %d were served: the run proves nothing", out.Served, out.Offered)
				}
			})
		}
	})
	if !t.Failed() && count >= renameDays {
		caused := append([]string{"waited-through-rename", "waited-without-route", "waited-through-tenant-rename"}, renameFaultKinds...)
		sum.judgeOf(t, caused, []string{rules.Route, rules.Denied, rules.Unasked, rules.Twice})
	}
}
