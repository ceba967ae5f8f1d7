package simulator

import (
	"fmt"
	"slices"
	"testing"
)

// recovery kills everything under a crowd that stays before the doors, and tells how long after the
// machines came back the first call ended, every model had a holder, and service was usual again: the
// end of the last second in which fewer than 90 of 100 calls begun ended well.
func recovery(t *testing.T, p DeclaredPlan, crowd float64) (firstUs, heldUs, usualUs int64) {
	t.Helper()
	s := New(p)
	s.operators.begin()
	for limitUs := s.nowUs + 40*second; !s.recovered() && s.nowUs < limitUs; {
		s.runUntil(s.nowUs + 100*millisecond)
	}
	s.generateCalls(s.nowUs + 60*second)
	s.runUntil(s.nowUs + 5*second)
	s.plan.CallsPerSecond *= crowd
	const downUs = 900 * millisecond
	s.applyFault(Fault{Kind: "kill-everything", DurationUs: 3 * downUs, B: 1, N: 3})
	backUs := s.nowUs + downUs
	s.schedule(backUs+6*second, func() { s.plan.CallsPerSecond /= crowd })
	for s.nowUs < backUs+25*second {
		if !s.runUntil(s.nowUs + 50*millisecond) {
			t.Fatal(s.watch.Breaches)
		}
		if heldUs == 0 && s.nowUs > backUs+200*millisecond && s.recovered() {
			heldUs = s.nowUs - backUs
		}
	}
	s.runUntil(s.nowUs + 15*second)
	all, well := map[int64]int{}, map[int64]int{}
	for _, told := range s.results {
		if told.StartUs < backUs || told.StartUs > backUs+20*second || told.Code == "hung up" || told.Code == "key_running" {
			continue
		}
		at := (told.StartUs - backUs) / second
		all[at]++
		if told.Complete {
			well[at]++
			if firstUs == 0 || told.EndUs-backUs < firstUs {
				firstUs = told.EndUs - backUs
			}
		}
	}
	for at, n := range all {
		if well[at]*100 < n*90 {
			usualUs = max(usualUs, (at+1)*second)
		}
	}
	return firstUs, heldUs, usualUs
}

func spread(name string, list []int64) string {
	slices.Sort(list)
	return fmt.Sprintf("%s: p50 %.2f s, p90 %.2f s, most %.2f s", name, float64(list[len(list)/2])/1e6, float64(list[len(list)*9/10])/1e6, float64(list[len(list)-1])/1e6)
}

// Everything killed under a crowd: usual service must be back well before the rule's 12 s.
func TestRecoveryLeavesRoomUnderTheRule(t *testing.T) {
	heavy(t)
	from, count := seeds(2)
	for _, name := range []string{"vasilev", "kaardilind"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var first, held, usual []int64
			for seed := from; seed < from+count; seed++ {
				p := sized(t, name, int64(seed))
				f, h, u := recovery(t, p, 4)
				first, held, usual = append(first, f), append(held, h), append(usual, u)
				if h == 0 || h > 14*second || u > 9*second {
					t.Errorf("seed %d: every model held after %d ms, usual service after %d ms", seed, h/1000, u/1000)
				}
			}
			t.Log(spread("first call ended", first), "; ", spread("every model held", held), "; ", spread("usual service", usual))
		})
	}
}
