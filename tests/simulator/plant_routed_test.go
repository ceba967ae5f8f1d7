package simulator

import (
	"testing"

	"petreltide/tests/rules"
)

// Every rule of routed days must be able to fail: something is broken on purpose, and the rule must say so.
func TestPlantedRoutedBreaksAreCaught(t *testing.T) {
	heavy(t)
	at := func(kinds ...string) []Fault {
		faults := []Fault{}
		for i, k := range kinds {
			faults = append(faults, Fault{Kind: k, AtUs: int64(2+4*i) * second, DurationUs: 3 * second, A: i, B: 1, N: 4})
		}
		return faults
	}
	turned := []Fault{{Kind: "turning-replica", AtUs: 2 * second, DurationUs: 20 * second, B: 1}, {Kind: "burst", AtUs: 6 * second, DurationUs: 10 * second}}
	crashes := at("crash-replica", "crash-replica", "crash-replica", "crash-replica", "crash-replica")
	for _, c := range []struct {
		plant  string
		rule   string
		faults []Fault
	}{
		{"unsealed", rules.Mixed, nil},
		{"mixer", rules.Mixed, nil},
		{"smuggler", rules.Unasked, nil},
		{"again", rules.Twice, crashes},
		{"liar", rules.Refused, crashes},
		{"denier", rules.Denied, nil},
		{"anyone", rules.Route, at("reuse-address", "reuse-address", "reuse-address", "reuse-address")},
		{"deaf", rules.Drain, at("scale-in", "release", "notice")},
		{"abrupt", rules.LostWork, at("roll-desks")},
		{"old-doc", rules.ConfigOld, at("config-storm", "config-storm")},
		{"back", rules.ConfigBck, at("config-storm", "config-storm")},
		{"two-winners", rules.ConfigTwo, at("config-race", "config-race", "config-race")},
		{"two-winners", rules.ConfigHistory, at("config-rivals", "config-race", "config-rivals")},
		{"forgets-orders", rules.ConfigHistory, at("config-again", "config-again", "config-again")},
		{"own-state", rules.ConfigHistory, at("config-again", "config-again", "config-again")},
		{"denies-winners", rules.ConfigHistory, at("config-rivals", "config-again", "config-storm")},
		{"lenient", rules.ConfigNot, at("bad-config", "bad-config", "bad-config")},
		{"amnesia", rules.ConfigGon, at("config-storm", "kill-offices")},
		{"no-budget", rules.Budget, turned},
		{"skips", rules.Order, nil},
		{"ruin", rules.Recover, nil},
		{"forger", rules.One, at("model-shift", "burst-rare")},
		{"no-lease", rules.One, at("kill-holder", "kill-holder", "kill-holder")},
		{"narrow", rules.Limit, at("burst-rare")},
		{"strict-store", rules.LoadRate, at("burst-rare", "model-shift")},
		{"mute", rules.Acks, at("scale-in", "release")},
		{"silent", rules.Acks, nil},
		{"snob", rules.Starved, nil},
		{"no-subjects", rules.Starved, nil},
		{"no-adapters", rules.Starved, nil},
		{"small-only", rules.Sizes, nil},
		{"clingy", rules.Removal, at("give-up", "give-up", "give-up", "give-up")},
		{"forgetful", rules.Known, nil},
		{"keeps-slots", rules.Release, crashes},
		{"seed-bound", rules.Seeds, []Fault{{Kind: "cut-seeds", AtUs: 2 * second, DurationUs: 3 * second, N: 1}, {Kind: "cut-seeds", AtUs: 13 * second, DurationUs: 3 * second, A: 1, N: 1}}},
		{"stranger", rules.ConfigTwo, at("ack-lost-race", "model-shift", "ack-lost-race")},
		{"two-winners", rules.ConfigTwo, at("ack-lost-race", "model-shift", "ack-lost-race")},
		{"amnesia", rules.ConfigGon, at("cut-behind", "model-shift", "cut-behind")},
		{"amnesia", rules.ConfigGon, at("herd-power-work", "model-shift", "herd-power-work")},
		{"stranger", rules.ConfigTwo, at("ack-lost", "ack-lost", "ack-lost")},
		{"no-newcomers", rules.ConfigNew, at("big-config", "config-storm", "big-config", "config-storm", "big-config")},
	} {
		t.Run(c.plant+"/"+c.rule, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= 8; seed++ {
				p := routedPlan(seed, 0)
				p.Plant, p.Faults, p.Closing = c.plant, c.faults, ""
				if c.rule == rules.Twice || c.rule == rules.Refused || c.rule == rules.Budget {
					p.CallsPerSecond = 60
				}
				if c.rule == rules.Recover {
					p.Closing = "kill-all"
				}
				for _, b := range RunRouted(p).Breaches {
					if b.Rule == c.rule {
						return
					}
				}
			}
			t.Fatalf("plant %q was not caught as %q", c.plant, c.rule)
		})
	}
}
