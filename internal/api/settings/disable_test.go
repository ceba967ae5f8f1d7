package settings

import (
	"strings"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
)

// A mechanism that does not exist cannot be switched off by mistake, and the refusal names those that do.
func TestAnUnknownMechanismIsRefused(t *testing.T) {
	gateway := Gateway{Name: "g", Listen: "127.0.0.1:7100", Zone: "a", Seeds: []string{"127.0.0.1:7101"}, MaxQueue: 10, MaxBodyKB: 10}
	gateway.Disable = feature.Disabled{"SpareRooms"}
	bad := gateway.Check()
	if bad == nil || bad.Code != fault.BadSettings || !strings.Contains(bad.Error(), string(feature.SpareCapacity)) {
		t.Errorf("%v", bad)
	}
	gateway.Disable = feature.Disabled{feature.SpareCapacity}
	if bad := gateway.Check(); bad != nil {
		t.Errorf("%v", bad)
	}
}

func TestVerdictsAreSwitchedOffWithTheirMechanism(t *testing.T) {
	if opts := (Outlier{}).OptionsWithout(feature.Disabled{feature.FleetOutliers}); !opts.Disabled {
		t.Error("verdicts are still given")
	}
	if opts := (Outlier{}).OptionsWithout(nil); opts.Disabled {
		t.Error("verdicts are not given")
	}
}
