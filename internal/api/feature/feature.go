// Package feature names the mechanisms that a deployment may switch off, so that what each of them is worth can be
// measured on the program as it is. All are on by default; none depends on another.
package feature

import (
	"slices"
	"strings"

	"petreltide/internal/api/fault"
)

// Gate is one mechanism.
type Gate string

// The mechanisms, and what happens without each.
const (
	// DemandForecast raises a model that has only begun to be called to what others of its route are called.
	// Without it copies follow what is counted.
	DemandForecast Gate = "DemandForecast"
	// EarlyRefusal sends a call back at once whose model cannot be there in time. Without it the call waits.
	EarlyRefusal Gate = "EarlyRefusal"
	// FleetOutliers keeps all gateways off replicas at which attempts of many fail. Without it each gateway goes by
	// its own attempts.
	FleetOutliers Gate = "FleetOutliers"
	// OverloadRefusal refuses calls for a model whose calls are late now, with when to come back. Without it all of them
	// are sent on.
	OverloadRefusal Gate = "OverloadRefusal"
	// PrefixAffinity prefers replicas that have been sent the first parts of a prompt. Without it all are alike.
	PrefixAffinity Gate = "PrefixAffinity"
	// SpareCapacity keeps room for one more model, and places for adapters, free ahead of calls. Without it room is made
	// once it is asked for.
	SpareCapacity Gate = "SpareRoom"
	// ZonePreference prefers replicas of the gateway's own zone. Without it all zones are alike.
	ZonePreference Gate = "ZonePreference"
)

// Gates are all mechanisms that may be switched off, in the order of their names.
func Gates() []Gate {
	return []Gate{DemandForecast, EarlyRefusal, FleetOutliers, OverloadRefusal, PrefixAffinity, SpareCapacity, ZonePreference}
}

// Disabled are the mechanisms that are switched off; nil leaves all on.
type Disabled []Gate

// Has says whether a mechanism is switched off.
func (o Disabled) Has(g Gate) bool { return slices.Contains(o, g) }

// String lists them as Parse reads them.
func (o Disabled) String() string {
	names := make([]string, len(o))
	for i, g := range o {
		names[i] = string(g)
	}
	return strings.Join(names, ",")
}

// Check refuses a name that is no mechanism, and one that stands twice.
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
