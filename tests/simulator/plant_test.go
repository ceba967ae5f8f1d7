package simulator

import (
	"testing"

	"petreltide/tests/rules"
)

// eachChange: a gateway that keeps its first declaration must be caught at every kind of change.
func eachChange(t *testing.T, changes []int) {
	faults := []Fault{{Kind: "crowd", AtUs: second, DurationUs: 20 * second}, {Kind: "roll-replicas", AtUs: 4 * second, DurationUs: 6 * second}, {Kind: "roll-replicas", AtUs: 12 * second, DurationUs: 6 * second},
		{Kind: "cut-core", AtUs: 6 * second, DurationUs: 4 * second}, {Kind: "cut-core", AtUs: 17 * second, DurationUs: 4 * second}}
	names := (&operators{sim: New(plan(1, 0))}).revisionIDs()
	for _, op := range changes {
		caught := false
		for seed := int64(1); seed <= 12 && !caught; seed++ {
			p := plan(seed, 0)
			p.Plant, p.Faults, p.CallsPerSecond, p.ChangeSteps = "old-doc", faults, 40, []int{op}
			for _, b := range RunDeclared(p).Breaches {
				caught = caught || b.Rule == rules.OldWay
			}
		}
		if !caught {
			t.Errorf("a gateway deaf to the change of %s was not caught", names[op])
		}
	}
}

// Every rule must be able to fail: the code is broken on purpose, and the rule must say so.
func TestPlantedBreaksAreCaught(t *testing.T) {
	crash := []Fault{{Kind: "crash-replica", AtUs: 2 * second, DurationUs: second, A: 0}, {Kind: "crash-replica", AtUs: 6 * second, DurationUs: second, A: 1}, {Kind: "crash-replica", AtUs: 9 * second, DurationUs: second, A: 2}}
	notices := []Fault{{Kind: "notice", AtUs: 2 * second, DurationUs: 6 * second, A: 0}, {Kind: "notice", AtUs: 3 * second, DurationUs: 6 * second, A: 1}}
	changes := []int{0, 1, 2, 3, 4, 5}
	for _, c := range []struct {
		plant  string
		rule   string
		faults []Fault
	}{
		{"keys", rules.RunsTwice, []Fault{{Kind: "crash-desk", AtUs: 2 * second, DurationUs: second, A: 0}, {Kind: "crash-desk", AtUs: 6 * second, DurationUs: second, A: 1}, {Kind: "crash-desk", AtUs: 9 * second, DurationUs: second, A: 2}}},
		{"again", rules.RunsTwice, crash},
		{"lie", rules.NotRunLie, crash},
		{"blind", rules.StreamBroken, nil},
		{"hasty", rules.StreamBroken, nil},
		{"mixed", rules.ForeignEnd, nil},
		{"deaf", rules.AfterNotice, notices},
		{"deaf", rules.IntoEmptied, nil},
		{"deaf", rules.OldWay, nil},
		{"old-doc", rules.OldWay, nil},
		{"forger", rules.CommandConflict, nil},
		{"narrow", rules.OverCapacity, nil},
		{"strict-store", rules.OverStore, nil},
		{"amnesia", rules.ConfigMissing, []Fault{{Kind: "kill-offices", AtUs: 5 * second, DurationUs: second, N: 1}}},
		{"rash-disk", rules.UnsyncedCopy, []Fault{{Kind: "full-disk", AtUs: 5 * second, DurationUs: 4 * second, A: 1}}},
		{"sluggish", rules.PoorService, []Fault{{Kind: "kill-everything", AtUs: 20 * second, DurationUs: second, N: 1}}},
	} {
		t.Run(c.plant+"/"+c.rule, func(t *testing.T) {
			t.Parallel()
			if c.plant == "old-doc" {
				heavy(t)
				eachChange(t, changes)
				return
			}
			for seed := int64(1); seed <= 12; seed++ {
				p := plan(seed, 0)
				p.Plant, p.Faults, p.CallsPerSecond = c.plant, c.faults, 40
				p.Changes = c.rule == rules.IntoEmptied || c.rule == rules.OldWay || c.plant == "amnesia"
				if c.rule == rules.OldWay {
					p.ChangeSteps = []int{2}
				}
				for _, b := range RunDeclared(p).Breaches {
					if b.Rule == c.rule {
						return
					}
				}
			}
			t.Fatalf("plant %q was not caught as %q", c.plant, c.rule)
		})
	}
}
