package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

// differsFrom reports whether a replica is missing from the replicated state, or recorded with values other than the
// observed ones. It ignores the incarnation.
func differsFrom(recorded *statemachine.Replica, observed statemachine.ReplicaUpdate) bool {
	return recorded == nil || recorded.Addr != observed.Addr || recorded.Zone != observed.Zone || recorded.CapacityMB != observed.CapacityMB ||
		recorded.Slots != observed.Slots || recorded.Draining != observed.Draining || recorded.Unreachable != observed.Unreachable || observed.ResidentKnown
}

// remainingMs returns the time left for a replica with a termination notice. Once recorded it stays the same, so that the
// replica's record does not change with every report.
func remainingMs(recorded *statemachine.Replica, draining bool, reportedMs int64) int64 {
	if draining && recorded != nil && recorded.Draining {
		return recorded.RemainingMs
	}
	return reportedMs
}

// holdsExactly reports whether the recorded resident units are exactly these.
func holdsExactly(recorded *statemachine.Replica, units []string) bool {
	if len(recorded.Resident) != len(units) {
		return false
	}
	for _, u := range units {
		if _, holds := recorded.Resident[u]; !holds {
			return false
		}
	}
	return true
}

// holdings returns the units with their sizes. A unit that no engine declares is assumed to take half of the capacity.
func holdings(doc *configuration.Declaration, service *configuration.Service, units []string) []statemachine.ResidentUnit {
	all := []statemachine.ResidentUnit{}
	for _, u := range units {
		sizeMb, _, ok := doc.EngineUnitSize(service.Name, u)
		if !ok {
			sizeMb = service.Engine.CapacityMB / 2
		}
		all = append(all, statemachine.ResidentUnit{Unit: u, SizeMB: sizeMb})
	}
	return all
}
