package simulator

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"petreltide/tests/rules"
)

func plan(seed int64, count int) DeclaredPlan {
	return DeclaredPlan{Seed: seed, ControlNodes: 3, Gateways: 3, Replicas: 5, DurationUs: 24 * second, CallsPerSecond: 25, LossRatio: 0.002, Changes: true,
		QuietUs: 9 * second, Faults: DrawDeclaredFaults(seed, count, 24*second)}
}

// shorten drops faults one at a time while the same rule still breaks.
func shorten(p DeclaredPlan, rule string) DeclaredPlan {
	for i := 0; i < len(p.Faults); {
		fewer := p
		fewer.Faults = append(append([]Fault(nil), p.Faults[:i]...), p.Faults[i+1:]...)
		if out := RunDeclared(fewer); len(out.Breaches) > 0 && out.Breaches[0].Rule == rule {
			p = fewer
			continue
		}
		i++
	}
	return p
}

func judge(t *testing.T, p DeclaredPlan) DeclaredOutcome {
	t.Helper()
	out := RunDeclared(p)
	if len(out.Breaches) == 0 {
		return out
	}
	first := out.Breaches
	p = shorten(p, first[0].Rule)
	out = RunDeclared(p)
	lines := out.Log
	if len(lines) > 60 {
		lines = lines[len(lines)-60:]
	}
	t.Fatalf("seed %d broke: %v\nshortened faults: %v: %v\n%s", p.Seed, first, p.Faults, out.Breaches, strings.Join(lines, "\n"))
	return out
}

// heavy leaves a test out under the race detector: one run is one goroutine, and ./check plays it without.
func heavy(t *testing.T) {
	t.Helper()
	if raced {
		t.Skip("too slow under the race detector; ./check runs it without")
	}
}

func seeds(usual int) (from, count int) {
	from, count = 1, usual
	if raced {
		count = max(1, usual/4)
	}
	if text := os.Getenv("PETRELTIDE_SEEDS"); text != "" {
		if a, b, ok := strings.Cut(text, "-"); ok {
			from, _ = strconv.Atoi(a)
			to, _ := strconv.Atoi(b)
			return from, to - from + 1
		}
		count, _ = strconv.Atoi(text)
	}
	return from, count
}

// occasions sums what was truly caused and what was at stake over many runs.
type occasions struct {
	mu     sync.Mutex
	caused map[string]int
	stakes map[string]int
	runs   int
}

func (o *occasions) add(out DeclaredOutcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.caused == nil {
		o.caused, o.stakes = map[string]int{}, map[string]int{}
	}
	o.runs++
	for k, n := range out.Caused {
		o.caused[k] += n
	}
	for k, n := range out.ChecksAtStake {
		o.stakes[k] += n
	}
}

// judge fails where a fault was never caused or a rule never at stake: such runs prove nothing of it.
func (o *occasions) judge(t *testing.T) {
	t.Helper()
	o.judgeOf(t, declaredFaultKinds, append(slices.Clone(rules.All), rules.UnsyncedCopy))
}

func (o *occasions) judgeOf(t *testing.T, kinds, all []string) {
	t.Helper()
	for _, kind := range kinds {
		if o.caused[kind] == 0 {
			t.Errorf("fault %s was never caused in %d runs", kind, o.runs)
		}
	}
	for _, rule := range all {
		if o.stakes[rule] == 0 {
			t.Errorf("never at stake in %d runs: %s", o.runs, rule)
		}
	}
	t.Logf("%d runs; faults caused: %v", o.runs, o.caused)
	t.Logf("occasions at stake: %v", o.stakes)
}

func TestSeededDays(t *testing.T) {
	from, count := seeds(32)
	sum := &occasions{}
	t.Run("days", func(t *testing.T) {
		for seed := from; seed < from+count; seed++ {
			t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
				t.Parallel()
				out := judge(t, plan(int64(seed), 7))
				sum.add(out)
				if out.Ended < 100 {
					t.Fatalf("only %d of %d calls ended well: the run proves nothing", out.Ended, out.Calls)
				}
			})
		}
	})
	if !t.Failed() && count >= 32 {
		sum.judge(t)
	}
}

func TestQuietDay(t *testing.T) {
	p := plan(1, 0)
	p.LossRatio, p.Changes = 0, false
	out := judge(t, p)
	if (out.Ended+out.Codes["hung up"])*100 < out.Calls*99 {
		t.Fatalf("%d of %d calls ended well on a quiet day: %v", out.Ended, out.Calls, out.Codes)
	}
	t.Logf("%d calls, %d ended, %d loads, %d events, %v", out.Calls, out.Ended, out.Loads, out.Events, out.Codes)
}
