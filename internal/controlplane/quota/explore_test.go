package quota

import (
	"math/rand"
	"strings"
	"testing"

	"petreltide/internal/process/clock"
)

// quotaAction is one thing that may happen next.
type quotaAction struct {
	name string
	act  func(m *quotaModel)
}

var quotaActions = []quotaAction{
	{"a moment", func(m *quotaModel) { m.pass(300 * clock.Ms) }},
	{"a while", func(m *quotaModel) { m.pass(1500 * clock.Ms) }},
	{"a window", func(m *quotaModel) { m.pass(testWindowUs + modelTickUs) }},
	{"gateways turn greedy, or silent", func(m *quotaModel) { m.greedy = !m.greedy; m.pass(modelTickUs) }},
	{"cut the tail", func(m *quotaModel) { m.cut(m.tail()); m.pass(modelLeaseUs) }},
	{"cut another", func(m *quotaModel) { m.cut(m.other()); m.pass(modelTickUs) }},
	{"freeze the tail", func(m *quotaModel) { m.freeze(m.tail()); m.pass(modelLeaseUs) }},
	{"heal", func(m *quotaModel) { m.heal(); m.pass(modelTickUs) }},
	{"restart the tail", func(m *quotaModel) { m.restart(m.tail()); m.pass(modelTickUs) }},
	{"restart another", func(m *quotaModel) { m.restart(m.other()); m.pass(modelTickUs) }},
	{"restart all", func(m *quotaModel) {
		for _, member := range m.members {
			m.restart(member)
		}
		m.pass(modelTickUs)
	}},
	{"the tail gives up", func(m *quotaModel) { m.release(); m.pass(modelTickUs) }},
	{"the same tail in the next view", func(m *quotaModel) { m.nextView(); m.pass(modelTickUs) }},
	{"the lease lapses", func(m *quotaModel) { m.silentUntilUs = m.nowUs + clock.Sec; m.pass(clock.Sec) }},
	{"replace a member", func(m *quotaModel) { m.replace(); m.pass(modelTickUs) }},
	{"a member ends, another takes its vote", func(m *quotaModel) { m.succeed(); m.pass(modelTickUs) }},
	{"a lower limit", func(m *quotaModel) { m.declare(Limit{"t", 0.5, 1}); m.pass(modelTickUs) }},
	{"a higher limit", func(m *quotaModel) { m.declare(Limit{"t", 8, 40}); m.pass(modelTickUs) }},
	{"the limit goes to and fro", func(m *quotaModel) {
		for range 3 {
			m.declare(Limit{"t", 0.5, 1})
			m.pass(modelTickUs)
			m.declare(Limit{"t", 8, 40})
			m.pass(modelTickUs)
		}
	}},
	{"no such tenant", func(m *quotaModel) { m.declare(Limit{"t", -1, 0}); m.pass(modelTickUs) }},
	{"a middle limit", func(m *quotaModel) { m.declare(Limit{"t", 2, 10}); m.pass(modelTickUs) }},
}

// exploreDepth is how many actions the exhaustive search puts one after the other.
const exploreDepth = 3

func playQuota(setting modelSetting, picks []int, plant quotaPlant) *quotaModel {
	m := newQuotaModel(func(int) int { return 0 }, setting, plant)
	for _, pick := range picks {
		if m.broken == "" {
			m.note("-- %s", quotaActions[pick].name)
			quotaActions[pick].act(m)
		}
	}
	if m.broken == "" {
		m.note("-- calm")
		m.pass(clock.Sec)
		m.calm(setting.limit)
	}
	return m
}

// nextPicks counts on to the next sequence; false after the last.
func nextPicks(picks []int) bool {
	for at := len(picks) - 1; at >= 0; at-- {
		if picks[at]++; picks[at] < len(quotaActions) {
			return true
		}
		picks[at] = 0
	}
	return false
}

// exploreQuota goes through every sequence of actions; it ends at the first that breaks.
func exploreQuota(setting modelSetting, plant quotaPlant) (broken *quotaModel, sequences, granted, takeovers int) {
	picks := make([]int, exploreDepth)
	for more := true; more; more = nextPicks(picks) {
		m := playQuota(setting, picks, plant)
		sequences, granted, takeovers = sequences+1, granted+m.granted, takeovers+m.takeovers
		if m.broken != "" {
			return m, sequences, granted, takeovers
		}
	}
	return nil, sequences, granted, takeovers
}

// walkQuota is one long random run.
func walkQuota(setting modelSetting, seed int64, plant quotaPlant) *quotaModel {
	const steps = 200
	r := rand.New(rand.NewSource(seed))
	m := newQuotaModel(r.Intn, setting, plant)
	for n := 0; n < steps && m.broken == ""; n++ {
		action := quotaActions[r.Intn(len(quotaActions))]
		m.note("-- %s", action.name)
		action.act(m)
		m.pass(int64(r.Intn(12)) * modelTickUs)
	}
	if m.broken == "" {
		m.note("-- calm")
		m.calm(setting.limit)
	}
	return m
}

const quotaWalks = 120

// report tells how a run broke.
func (m *quotaModel) report() string {
	return m.broken + "\n" + strings.Join(m.trace[max(0, len(m.trace)-60):], "\n")
}

// Every sequence of a few faults, takeovers and changes of the limit: no window beyond the bound, and nothing refused within
// the limit once all is calm.
func TestQuotaExhaustivelyOnSmallModel(t *testing.T) {
	for name, setting := range modelSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, sequences, granted, takeovers := exploreQuota(setting, noPlant)
			if broken != nil {
				t.Fatalf("after %d sequences: %s", sequences, broken.report())
			}
			t.Logf("%d sequences, %d granted, %d takeovers", sequences, granted, takeovers)
			if granted < 50*sequences || takeovers < sequences/4 {
				t.Errorf("%d granted and %d takeovers in %d sequences: it proves little", granted, takeovers, sequences)
			}
		})
	}
}

// Long seeded walks over every fault at once.
func TestQuotaOverLongWalks(t *testing.T) {
	for name, setting := range modelSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			granted, takeovers := 0, 0
			for seed := range int64(quotaWalks) {
				m := walkQuota(setting, seed, noPlant)
				granted, takeovers = granted+m.granted, takeovers+m.takeovers
				if m.broken != "" {
					t.Fatalf("seed %d: %s", seed, m.report())
				}
			}
			t.Logf("%d walks, %d granted, %d takeovers", quotaWalks, granted, takeovers)
			if granted < 300*quotaWalks || takeovers < 10*quotaWalks {
				t.Errorf("%d granted and %d takeovers: it proves little", granted, takeovers)
			}
		})
	}
}

// The model finds each fault that is planted into it, by its sequences or its walks.
func TestQuotaModelFindsPlantedFaults(t *testing.T) {
	for name, plant := range allPlants() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for settingName, setting := range modelSettings {
				for seed := range int64(quotaWalks) {
					if m := walkQuota(setting, seed, plant); m.broken != "" {
						t.Logf("%s, walk %d: %s", settingName, seed, m.broken)
						return
					}
				}
			}
			for settingName, setting := range modelSettings {
				if m, sequences, _, _ := exploreQuota(setting, plant); m != nil {
					t.Logf("%s, sequence %d: %s", settingName, sequences, m.broken)
					return
				}
			}
			t.Error("nothing is found")
		})
	}
}
