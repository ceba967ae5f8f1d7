package simulator

import (
	"testing"

	"petreltide/tests/rules"
)

// slowStoreDay is a day on which loads take longer than stated while models shift, replicas leave and the leader is cut off or killed: what is held and what is still coming are then known least well.
func slowStoreDay(seed int64) RoutedPlan {
	p := routedPlan(seed, 0)
	p.Closing = ""
	p.Faults = []Fault{}
	add := func(kind string, atUs, forUs int64) {
		p.Faults = append(p.Faults, Fault{Kind: kind, AtUs: atUs, ForUs: forUs, A: int(seed) + len(p.Faults), B: 1, N: 4 + int(seed%5)})
	}
	add("slow-store", sec, 18*sec)
	for i := range int64(5) {
		add("model-shift", (2+3*i)*sec+seed%7*100*ms, sec)
	}
	add("burst-rare", 3*sec, 12*sec)
	add("cut-office", 4*sec+seed%5*300*ms, 3*sec)
	add("cut-office", 9*sec, 3*sec)
	add("scale-in", 10*sec, sec)
	add("kill-holder", 11*sec+seed%3*400*ms, 2*sec)
	return p
}

// No replica is ordered beyond its room on days of a slow store, and each of the faults comes about.
func TestSlowStoreUnderTakeovers(t *testing.T) {
	heavy(t)
	for seed := int64(1); seed <= 16; seed++ {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			out := judgeRouted(t, slowStoreDay(seed))
			for _, kind := range []string{"slow-store", "model-shift", "cut-office", "scale-in", "kill-holder"} {
				if out.Caused[kind] == 0 {
					t.Errorf("seed %d: %s was not caused", seed, kind)
				}
			}
			if out.Stakes[rules.Limit] == 0 {
				t.Errorf("seed %d: LIMIT was not at stake", seed)
			}
			if out.Loads < 10 {
				t.Errorf("seed %d: %d loads prove little", seed, out.Loads)
			}
		})
	}
}
