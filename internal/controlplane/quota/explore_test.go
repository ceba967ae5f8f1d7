package quota

import (
	"math/rand"
	"strings"
	"testing"

	"petreltide/internal/process/clock"
)

// quotaAction is one thing that may happen next.
type quotaAction struct {
	name  string
	apply func(m *quotaModel)
}

var quotaActions = []quotaAction{
	{"a moment", func(m *quotaModel) { m.advanceTime(300 * clock.Ms) }},
	{"a while", func(m *quotaModel) { m.advanceTime(1500 * clock.Ms) }},
	{"a window", func(m *quotaModel) { m.advanceTime(testWindowUs + modelTickUs) }},
	{"gateways turn greedy, or silent", func(m *quotaModel) { m.saturating = !m.saturating; m.advanceTime(modelTickUs) }},
	{"cut the tail", func(m *quotaModel) { m.isolate(m.tail()); m.advanceTime(modelLeaseUs) }},
	{"cut another", func(m *quotaModel) { m.isolate(m.nonTailVoter()); m.advanceTime(modelTickUs) }},
	{"freeze the tail", func(m *quotaModel) { m.freeze(m.tail()); m.advanceTime(modelLeaseUs) }},
	{"heal", func(m *quotaModel) { m.reconnectAll(); m.advanceTime(modelTickUs) }},
	{"restart the tail", func(m *quotaModel) { m.restart(m.tail()); m.advanceTime(modelTickUs) }},
	{"restart another", func(m *quotaModel) { m.restart(m.nonTailVoter()); m.advanceTime(modelTickUs) }},
	{"restart all", func(m *quotaModel) {
		for _, member := range m.members {
			m.restart(member)
		}
		m.advanceTime(modelTickUs)
	}},
	{"the tail gives up", func(m *quotaModel) { m.releaseLease(); m.advanceTime(modelTickUs) }},
	{"the same tail in the next view", func(m *quotaModel) { m.nextView(); m.advanceTime(modelTickUs) }},
	{"the lease lapses", func(m *quotaModel) { m.renewalsLostUntilUs = m.nowUs + clock.Sec; m.advanceTime(clock.Sec) }},
	{"replace a member", func(m *quotaModel) { m.replaceVoter(); m.advanceTime(modelTickUs) }},
	{"a member ends, another takes its vote", func(m *quotaModel) { m.replaceEndedVoter(); m.advanceTime(modelTickUs) }},
	{"a lower limit", func(m *quotaModel) { m.declare(Limit{"t", 0.5, 1}); m.advanceTime(modelTickUs) }},
	{"a higher limit", func(m *quotaModel) { m.declare(Limit{"t", 8, 40}); m.advanceTime(modelTickUs) }},
	{"the limit goes to and fro", func(m *quotaModel) {
		for range 3 {
			m.declare(Limit{"t", 0.5, 1})
			m.advanceTime(modelTickUs)
			m.declare(Limit{"t", 8, 40})
			m.advanceTime(modelTickUs)
		}
	}},
	{"no such tenant", func(m *quotaModel) { m.declare(Limit{"t", -1, 0}); m.advanceTime(modelTickUs) }},
	{"a middle limit", func(m *quotaModel) { m.declare(Limit{"t", 2, 10}); m.advanceTime(modelTickUs) }},
}

// exploreDepth is how many actions the exhaustive search puts one after the other.
const exploreDepth = 3

func runSequence(setting modelSetting, picks []int, plant quotaMutation) *quotaModel {
	m := newQuotaModel(func(int) int { return 0 }, setting, plant)
	for _, pick := range picks {
		if m.violation == "" {
			m.tracef("-- %s", quotaActions[pick].name)
			quotaActions[pick].apply(m)
		}
	}
	if m.violation == "" {
		m.tracef("-- calm")
		m.advanceTime(clock.Sec)
		m.checkConformingTraffic(setting.limit)
	}
	return m
}

// nextSequence counts on to the next sequence; false after the last.
func nextSequence(picks []int) bool {
	for at := len(picks) - 1; at >= 0; at-- {
		if picks[at]++; picks[at] < len(quotaActions) {
			return true
		}
		picks[at] = 0
	}
	return false
}

// exploreAllSequences goes through every sequence of actions; it ends at the first that breaks.
func exploreAllSequences(setting modelSetting, plant quotaMutation) (broken *quotaModel, sequences, granted, takeovers int) {
	picks := make([]int, exploreDepth)
	for more := true; more; more = nextSequence(picks) {
		m := runSequence(setting, picks, plant)
		sequences, granted, takeovers = sequences+1, granted+m.granted, takeovers+m.takeovers
		if m.violation != "" {
			return m, sequences, granted, takeovers
		}
	}
	return nil, sequences, granted, takeovers
}

// runRandomWalk is one long random run.
func runRandomWalk(setting modelSetting, seed int64, plant quotaMutation) *quotaModel {
	const steps = 200
	r := rand.New(rand.NewSource(seed))
	m := newQuotaModel(r.Intn, setting, plant)
	for n := 0; n < steps && m.violation == ""; n++ {
		action := quotaActions[r.Intn(len(quotaActions))]
		m.tracef("-- %s", action.name)
		action.apply(m)
		m.advanceTime(int64(r.Intn(12)) * modelTickUs)
	}
	if m.violation == "" {
		m.tracef("-- calm")
		m.checkConformingTraffic(setting.limit)
	}
	return m
}

const randomWalks = 120

// report tells how a run broke.
func (m *quotaModel) report() string {
	return m.violation + "\n" + strings.Join(m.trace[max(0, len(m.trace)-60):], "\n")
}

// Every sequence of a few faults, takeovers and changes of the limit: no window beyond the bound, and nothing refused within
// the limit once all is calm.
func TestQuotaExhaustivelyOnSmallModel(t *testing.T) {
	for name, setting := range modelSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			broken, sequences, granted, takeovers := exploreAllSequences(setting, noMutation)
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
			for seed := range int64(randomWalks) {
				m := runRandomWalk(setting, seed, noMutation)
				granted, takeovers = granted+m.granted, takeovers+m.takeovers
				if m.violation != "" {
					t.Fatalf("seed %d: %s", seed, m.report())
				}
			}
			t.Logf("%d walks, %d granted, %d takeovers", randomWalks, granted, takeovers)
			if granted < 300*randomWalks || takeovers < 10*randomWalks {
				t.Errorf("%d granted and %d takeovers: it proves little", granted, takeovers)
			}
		})
	}
}

// The model finds each fault that is planted into it, by its sequences or its walks.
func TestQuotaModelFindsPlantedFaults(t *testing.T) {
	for name, plant := range allMutations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for settingName, setting := range modelSettings {
				for seed := range int64(randomWalks) {
					if m := runRandomWalk(setting, seed, plant); m.violation != "" {
						t.Logf("%s, walk %d: %s", settingName, seed, m.violation)
						return
					}
				}
			}
			for settingName, setting := range modelSettings {
				if m, sequences, _, _ := exploreAllSequences(setting, plant); m != nil {
					t.Logf("%s, sequence %d: %s", settingName, sequences, m.violation)
					return
				}
			}
			t.Error("nothing is found")
		})
	}
}
