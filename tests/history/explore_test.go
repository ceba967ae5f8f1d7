package history

import (
	"testing"
)

const (
	walks       = 120
	walksRaced  = 12
	plantedMost = 60
)

// Operators send orders under one number, on top of what is in force, under way, past or never was; they send them again
// to other machines and read, while answers are lost and control nodes crash, freeze and are cut off. Every history must fit
// one register.
func TestSeededOperatorsSeeOneRegister(t *testing.T) {
	most := int64(walks)
	if raced {
		most = walksRaced
	}
	counts := map[string]int{}
	for seed := range most {
		w := newWalk(seed, "")
		if broken := w.play(); len(broken) > 0 {
			t.Fatalf("seed %d: %v", seed, broken)
		}
		for name, n := range w.counts {
			counts[name] += n
		}
	}
	t.Logf("%d walks: %v", most, counts)
	for _, name := range []string{
		string(Acknowledged), string(Refused), string(Invalid), "answers lost", "again acknowledged", "again refused", "same number",
		"ahead of its base", "reads", "crash", "all crash", "wipe", "freeze", "cut", "one-way cut", "slow",
	} {
		if counts[name] == 0 {
			t.Errorf("%q never came: it proves little", name)
		}
	}
}

// Each planted defect is caught, and told by one of the breaches that it causes.
func TestPlantedControlNodesAreCaught(t *testing.T) {
	for _, c := range []struct {
		plant    string
		breaches []Breach
	}{
		{"forgetful", []Breach{AcceptedThenRefused}},
		{"forgets-refusals", []Breach{AcceptedThenRefused, RefusedInForce}},
		{"own-state", []Breach{AcceptedThenRefused, RefusedInForce, NotLinearizable}},
		{"two-winners", []Breach{TwoWinners, AcceptedThenRefused, NotLinearizable}},
		{"denies-winners", []Breach{AcceptedThenRefused, RefusedInForce}},
		{"reads-old", []Breach{NotLinearizable}},
	} {
		t.Run(c.plant, func(t *testing.T) {
			t.Parallel()
			for seed := range int64(plantedMost) {
				for _, broken := range newWalk(seed, c.plant).play() {
					for _, breach := range c.breaches {
						if broken.Breach == breach {
							t.Logf("seed %d: %v", seed, broken)
							return
						}
					}
				}
			}
			t.Errorf("not caught in %d walks", plantedMost)
		})
	}
}
