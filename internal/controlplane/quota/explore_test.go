package quota

import (
	"math/rand"
	"strings"
	"testing"

	"petreltide/internal/process/clock"
)

// quotaAction is a fault, a change or a period of time that the model may be subjected to next.
type quotaAction struct {
	name  string
	apply func(m *quotaModel)
}

var quotaActions = []quotaAction{
	{"wait 300 ms", func(m *quotaModel) { m.advanceTime(300 * clock.Ms) }},
	{"wait 1.5 s", func(m *quotaModel) { m.advanceTime(1500 * clock.Ms) }},
	{"wait one window", func(m *quotaModel) { m.advanceTime(testWindowUs + modelTickUs) }},
	{"toggle saturating requests", func(m *quotaModel) { m.saturating = !m.saturating; m.advanceTime(modelTickUs) }},
	{"isolate the tail", func(m *quotaModel) { m.isolate(m.tail()); m.advanceTime(modelLeaseUs) }},
	{"isolate another voter", func(m *quotaModel) { m.isolate(m.nonTailVoter()); m.advanceTime(modelTickUs) }},
	{"freeze the tail", func(m *quotaModel) { m.freeze(m.tail()); m.advanceTime(modelLeaseUs) }},
	{"reconnect all members", func(m *quotaModel) { m.reconnectAll(); m.advanceTime(modelTickUs) }},
	{"restart the tail", func(m *quotaModel) { m.restart(m.tail()); m.advanceTime(modelTickUs) }},
	{"restart another voter", func(m *quotaModel) { m.restart(m.nonTailVoter()); m.advanceTime(modelTickUs) }},
	{"restart all members", func(m *quotaModel) {
		for _, member := range m.members {
			m.restart(member)
		}
		m.advanceTime(modelTickUs)
	}},
	{"the tail releases its lease", func(m *quotaModel) { m.releaseLease(); m.advanceTime(modelTickUs) }},
	{"next view with the same tail", func(m *quotaModel) { m.nextView(); m.advanceTime(modelTickUs) }},
	{"the lease expires", func(m *quotaModel) { m.renewalsLostUntilUs = m.nowUs + clock.Sec; m.advanceTime(clock.Sec) }},
	{"replace a voter that runs on", func(m *quotaModel) { m.replaceVoter(); m.advanceTime(modelTickUs) }},
	{"a voter ends and is replaced", func(m *quotaModel) { m.replaceEndedVoter(); m.advanceTime(modelTickUs) }},
	{"lower the limit", func(m *quotaModel) { m.declare(Limit{"t", 0.5, 1}); m.advanceTime(modelTickUs) }},
	{"raise the limit", func(m *quotaModel) { m.declare(Limit{"t", 8, 40}); m.advanceTime(modelTickUs) }},
	{"alternate the limit", func(m *quotaModel) {
		for range 3 {
			m.declare(Limit{"t", 0.5, 1})
			m.advanceTime(modelTickUs)
			m.declare(Limit{"t", 8, 40})
			m.advanceTime(modelTickUs)
		}
	}},
	{"remove the tenant", func(m *quotaModel) { m.declare(Limit{"t", -1, 0}); m.advanceTime(modelTickUs) }},
	{"set a medium limit", func(m *quotaModel) { m.declare(Limit{"t", 2, 10}); m.advanceTime(modelTickUs) }},
}

// exploreDepth is the length of the action sequences in the exhaustive search.
const exploreDepth = 3

// runSequence applies a sequence of actions to a new model, and then checks that conforming traffic is granted.
func runSequence(setting modelSetting, picks []int, mutation quotaMutation) *quotaModel {
	m := newQuotaModel(func(int) int { return 0 }, setting, mutation)
	for _, pick := range picks {
		if m.violation == "" {
			m.tracef("-- %s", quotaActions[pick].name)
			quotaActions[pick].apply(m)
		}
	}
	if m.violation == "" {
		m.tracef("-- check conforming traffic")
		m.advanceTime(clock.Sec)
		m.checkConformingTraffic(setting.limit)
	}
	return m
}

// nextSequence advances picks to the next sequence in order; it returns false after the last.
func nextSequence(picks []int) bool {
	for at := len(picks) - 1; at >= 0; at-- {
		if picks[at]++; picks[at] < len(quotaActions) {
			return true
		}
		picks[at] = 0
	}
	return false
}

// exploreAllSequences runs every sequence of exploreDepth actions and returns the first model with a violation, or nil.
func exploreAllSequences(setting modelSetting, mutation quotaMutation) (violating *quotaModel, sequences, granted, takeovers int) {
	picks := make([]int, exploreDepth)
	for more := true; more; more = nextSequence(picks) {
		m := runSequence(setting, picks, mutation)
		sequences, granted, takeovers = sequences+1, granted+m.granted, takeovers+m.takeovers
		if m.violation != "" {
			return m, sequences, granted, takeovers
		}
	}
	return nil, sequences, granted, takeovers
}

// runRandomWalk runs a long random sequence of actions.
func runRandomWalk(setting modelSetting, seed int64, mutation quotaMutation) *quotaModel {
	const steps = 200
	r := rand.New(rand.NewSource(seed))
	m := newQuotaModel(r.Intn, setting, mutation)
	for n := 0; n < steps && m.violation == ""; n++ {
		action := quotaActions[r.Intn(len(quotaActions))]
		m.tracef("-- %s", action.name)
		action.apply(m)
		m.advanceTime(int64(r.Intn(12)) * modelTickUs)
	}
	if m.violation == "" {
		m.tracef("-- check conforming traffic")
		m.checkConformingTraffic(setting.limit)
	}
	return m
}

const randomWalks = 120

// report returns the violation and the last steps before it.
func (m *quotaModel) report() string {
	return m.violation + "\n" + strings.Join(m.trace[max(0, len(m.trace)-60):], "\n")
}

// Runs every short sequence of faults, takeovers and limit changes. No window may exceed the bound, and after recovery no
// request within the limit may be refused.
func TestQuotaBoundHoldsInAllShortFaultSequences(t *testing.T) {
	for name, setting := range modelSettings {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			violating, sequences, granted, takeovers := exploreAllSequences(setting, noMutation)
			if violating != nil {
				t.Fatalf("after %d sequences: %s", sequences, violating.report())
			}
			t.Logf("%d sequences, %d granted, %d takeovers", sequences, granted, takeovers)
			if granted < 50*sequences || takeovers < sequences/4 {
				t.Errorf("%d granted and %d takeovers in %d sequences, want at least %d and %d for a meaningful test",
					granted, takeovers, sequences, 50*sequences, sequences/4)
			}
		})
	}
}

// Runs long seeded random walks over all faults together.
func TestQuotaBoundHoldsInLongRandomWalks(t *testing.T) {
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
				t.Errorf("%d granted and %d takeovers, want at least %d and %d for a meaningful test",
					granted, takeovers, 300*randomWalks, 10*randomWalks)
			}
		})
	}
}

// Each mutation of the ledger or the model must be detected, by random walks or by exhaustive search.
func TestQuotaModelDetectsAllMutations(t *testing.T) {
	for name, mutation := range allMutations() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for settingName, setting := range modelSettings {
				for seed := range int64(randomWalks) {
					if m := runRandomWalk(setting, seed, mutation); m.violation != "" {
						t.Logf("%s, walk %d: %s", settingName, seed, m.violation)
						return
					}
				}
			}
			for settingName, setting := range modelSettings {
				if m, sequences, _, _ := exploreAllSequences(setting, mutation); m != nil {
					t.Logf("%s, sequence %d: %s", settingName, sequences, m.violation)
					return
				}
			}
			t.Error("mutation was not detected, want a violation in a walk or a sequence")
		})
	}
}
