package feature

import (
	"slices"
	"testing"

	"petreltide/internal/api/fault"
)

func TestGatesAreUniqueAndSorted(t *testing.T) {
	if !slices.IsSorted(Gates()) || len(slices.Compact(Gates())) != len(Gates()) {
		t.Errorf("Gates(): got %v, want unique names in sorted order", Gates())
	}
	if bad := Disabled(Gates()).Check(); bad != nil {
		t.Errorf("Check of all gates: got %v, want nil", bad)
	}
}

func TestDisabledCheckRejectsUnknownAndDuplicateGates(t *testing.T) {
	for name, off := range map[string]Disabled{"unknown": {"SpareRooms"}, "empty": {""}, "twice": {SpareCapacity, SpareCapacity}} {
		if bad := off.Check(); bad == nil || bad.Code != fault.BadSettings {
			t.Errorf("%s: Check: got %v, want %s", name, bad, fault.BadSettings)
		}
	}
}

func TestDisabledHasListedGatesOnly(t *testing.T) {
	off := Disabled{SpareCapacity}
	if !off.Has(SpareCapacity) || off.Has(EarlyRefusal) || Disabled(nil).Has(SpareCapacity) {
		t.Errorf("Has of %v and of nil: want true for %s in the former only", off, SpareCapacity)
	}
}
