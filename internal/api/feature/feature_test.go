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
	if bad := Off(Gates()).Check(); bad != nil {
		t.Error(bad)
	}
}

func TestWhatIsNoMechanismIsRefused(t *testing.T) {
	for name, off := range map[string]Off{"unknown": {"SpareRooms"}, "empty": {""}, "twice": {SpareRoom, SpareRoom}} {
		if bad := off.Check(); bad == nil || bad.Code != fault.BadSettings {
			t.Errorf("%s: %v", name, bad)
		}
	}
}

func TestOff(t *testing.T) {
	off := Off{SpareRoom}
	if !off.Has(SpareRoom) || off.Has(EarlyRefusal) || Off(nil).Has(SpareRoom) {
		t.Error("what is named is off, and nothing else")
	}
}
