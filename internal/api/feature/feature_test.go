package feature

import (
	"slices"
	"testing"

	"petreltide/internal/api/fault"
)

func TestGatesAreListedOnceAndInOrder(t *testing.T) {
	if !slices.IsSorted(Gates()) || len(slices.Compact(Gates())) != len(Gates()) {
		t.Errorf("%v", Gates())
	}
	if bad := Disabled(Gates()).Check(); bad != nil {
		t.Error(bad)
	}
}

func TestWhatIsNoMechanismIsRefused(t *testing.T) {
	for name, off := range map[string]Disabled{"unknown": {"SpareRooms"}, "empty": {""}, "twice": {SpareCapacity, SpareCapacity}} {
		if bad := off.Check(); bad == nil || bad.Code != fault.BadSettings {
			t.Errorf("%s: %v", name, bad)
		}
	}
}

func TestOff(t *testing.T) {
	off := Disabled{SpareCapacity}
	if !off.Has(SpareCapacity) || off.Has(EarlyRefusal) || Disabled(nil).Has(SpareCapacity) {
		t.Error("what is named is off, and nothing else")
	}
}
