package settings

import (
	"strings"
	"testing"

	"petreltide/internal/api/fault"
	"petreltide/internal/api/feature"
)

// A misspelled gate must not be accepted silently; the fault lists the valid gates.
func TestGatewayCheckRejectsUnknownFeatureGate(t *testing.T) {
	gateway := Gateway{Name: "g", Listen: "127.0.0.1:7100", Zone: "a", Seeds: []string{"127.0.0.1:7101"}, MaxQueue: 10, MaxBodyKB: 10}
	gateway.Disable = feature.Disabled{"SpareRooms"}
	bad := gateway.Check()
	if bad == nil || bad.Code != fault.BadSettings || !strings.Contains(bad.Error(), string(feature.SpareCapacity)) {
		t.Errorf("Check with an unknown gate: got %v, want %s with the name %s", bad, fault.BadSettings, feature.SpareCapacity)
	}
	gateway.Disable = feature.Disabled{feature.SpareCapacity}
	if bad := gateway.Check(); bad != nil {
		t.Errorf("Check with a valid gate: got %v, want nil", bad)
	}
}

func TestOutlierOptionsAreDisabledByFleetOutliersGate(t *testing.T) {
	if opts := (Outlier{}).OptionsWithout(feature.Disabled{feature.FleetOutliers}); !opts.Disabled {
		t.Error("options with FleetOutliers disabled: got Disabled false, want true")
	}
	if opts := (Outlier{}).OptionsWithout(nil); opts.Disabled {
		t.Error("options with all gates enabled: got Disabled true, want false")
	}
}
