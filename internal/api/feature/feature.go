// Package feature defines the feature gates: mechanisms that a deployment may disable, so that the benefit of each can be
// measured on the unmodified program. All are enabled by default; none depends on another.
package feature

import (
	"slices"
	"strings"

	"petreltide/internal/api/fault"
)

// Gate is the name of a mechanism that can be disabled.
type Gate string

// The gates, with what each mechanism does and what happens if it is disabled.
const (
	// DemandForecast raises the estimated demand of a model that has only begun to receive calls to that of other models
	// of its route. Without it the number of copies follows the counted calls.
	DemandForecast Gate = "DemandForecast"
	// EarlyRefusal refuses a call as soon as it is known that its model cannot be loaded before its client leaves. Without it
	// the call waits.
	EarlyRefusal Gate = "EarlyRefusal"
	// FleetOutliers keeps all gateways from sending to replicas at which attempts of many gateways fail. Without it each
	// gateway considers its own attempts only.
	FleetOutliers Gate = "FleetOutliers"
	// PrefixAffinity prefers replicas that have been sent the first parts of a prompt. Without it there is no such preference.
	PrefixAffinity Gate = "PrefixAffinity"
	// SpareCapacity keeps capacity for one more model, and slots for adapters, free ahead of calls. Without it capacity
	// is freed only when it is requested.
	SpareCapacity Gate = "SpareRoom"
	// ZonePreference prefers replicas in the gateway's own zone. Without it there is no preference between zones.
	ZonePreference Gate = "ZonePreference"
)

// Gates returns all gates, sorted by name.
func Gates() []Gate {
	return []Gate{DemandForecast, EarlyRefusal, FleetOutliers, PrefixAffinity, SpareCapacity, ZonePreference}
}

// Disabled lists the disabled gates; nil means that all are enabled.
type Disabled []Gate

// Has reports whether a gate is disabled.
func (o Disabled) Has(g Gate) bool { return slices.Contains(o, g) }

// String returns the names of the gates, separated by commas.
func (o Disabled) String() string {
	names := make([]string, len(o))
	for i, g := range o {
		names[i] = string(g)
	}
	return strings.Join(names, ",")
}

// Check returns a fault if a name is no gate or is listed twice, and nil otherwise.
func (o Disabled) Check() *fault.Fault {
	for i, g := range o {
		if !slices.Contains(Gates(), g) {
			return fault.New(fault.BadSettings, "disable", "%q is no mechanism; there are %s", g, Disabled(Gates()))
		}
		if slices.Contains(o[:i], g) {
			return fault.New(fault.BadSettings, "disable", "%q is named twice", g)
		}
	}
	return nil
}
