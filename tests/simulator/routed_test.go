package simulator

import (
	"fmt"
	"strings"
	"testing"

	"petreltide/tests/rules"
)

func routedPlan(seed int64, count int) RoutedPlan {
	p := RoutedPlan{Seed: seed, ControlNodes: 3, Gateways: 4, CardReplicas: 6, LogReplicas: 2, CallsPerSecond: 25, QuietUs: 6 * second, DurationUs: 24 * second,
		Faults: DrawRouted(seed, count, 24*second), Closing: Closings[int(seed)%len(Closings)]}
	if seed%pairsEvery == 0 {
		p.ControlNodes, p.Faults, p.Closing = 5, DrawPairs(seed, count, 24*second), Closings[int(seed/pairsEvery)%len(Closings)]
	}
	return p
}

// shortenRouted drops faults one at a time while the same rule still breaks.
func shortenRouted(p RoutedPlan, rule string) RoutedPlan {
	broke := func(p RoutedPlan) bool {
		for _, b := range RunRouted(p).Breaches {
			if b.Rule == rule {
				return true
			}
		}
		return false
	}
	if p.Closing != "" {
		fewer := p
		fewer.Closing = ""
		if broke(fewer) {
			p = fewer
		}
	}
	for i := 0; i < len(p.Faults); {
		fewer := p
		fewer.Faults = append(append([]Fault(nil), p.Faults[:i]...), p.Faults[i+1:]...)
		if broke(fewer) {
			p = fewer
			continue
		}
		i++
	}
	return p
}

func judgeRouted(t *testing.T, p RoutedPlan) RoutedOutcome {
	t.Helper()
	out := RunRouted(p)
	if len(out.Breaches) == 0 {
		return out
	}
	first := out.Breaches
	p = shortenRouted(p, first[0].Rule)
	out = RunRouted(p)
	t.Fatalf("seed %d broke: %v\nshortened faults: %v, closing %q: %v\n%s", p.Seed, first, p.Faults, p.Closing, out.Breaches, strings.Join(last(out.Log, 80), "\n"))
	return out
}

func last(lines []string, n int) []string { return lines[max(0, len(lines)-n):] }

func TestQuietRoutedDay(t *testing.T) {
	p := routedPlan(1, 0)
	p.Closing = ""
	out := judgeRouted(t, p)
	t.Logf("%d tries, %d of %d served, %d loads, %d events, %v\n%v", out.Attempts, out.Served, out.Offered, out.Loads, out.Events, out.Statuses, out.ChecksAtStake)
	if out.Served*100 < out.Offered*98 {
		t.Fatalf("%d of %d were served on a quiet day: %v\n%s", out.Served, out.Offered, out.Statuses, strings.Join(out.Log, "\n"))
	}
}

// routedDays are as many as it takes to cause every kind of fault.
const routedDays = 54

func TestSeededRoutedDays(t *testing.T) {
	from, count := seeds(routedDays)
	sum := &occasions{}
	t.Run("days", func(t *testing.T) {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				out := judgeRouted(t, routedPlan(int64(seed), 7))
				sum.add(DeclaredOutcome{Caused: out.Caused, ChecksAtStake: out.ChecksAtStake})
				if out.Served < 100 {
					t.Fatalf("only %d of %d were served: the run proves nothing", out.Served, out.Offered)
				}
			})
		}
	})
	if !t.Failed() && count >= routedDays {
		sum.judgeOf(t, append(RoutedFaultNames(), closingNames()...), rules.Routed)
	}
}

func closingNames() []string {
	names := []string{}
	for _, kind := range Closings[1:] {
		names = append(names, "closing-"+kind)
	}
	return names
}
