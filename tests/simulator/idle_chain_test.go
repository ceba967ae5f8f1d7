package simulator

import "testing"

// After all of the core has lost its power at once, its members' beats fall together. The head must go on ordering loads
// while nothing else is written.
func TestLoadsGoOnAfterAllOfTheCoreLostPower(t *testing.T) {
	heavy(t)
	const backUs, aliveUs = 30 * second, 6 * second
	for _, controlNodes := range []int{3, 5} {
		for _, seed := range []int64{2, 24} {
			p := routedPlan(seed, 0)
			p.ControlNodes, p.Closing = controlNodes, ""
			p.Faults = []Fault{{Kind: "herd-power-work", AtUs: 12 * second, DurationUs: 2 * second, A: 15, B: 11, N: 3}}
			out := judgeRouted(t, p)
			loads := 0
			for _, l := range out.Observed.Loads {
				if l.AtUs > backUs+aliveUs {
					loads++
				}
			}
			if loads < 5 {
				t.Errorf("%d control nodes, seed %d: %d loads from %d s after the return to the end", controlNodes, seed, loads, aliveUs/second)
			}
		}
	}
}
