package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

// differsFrom says whether the replicated state has no row of a replica, or one that says something else than the note. The incarnation is not
// looked at.
func differsFrom(recorded *statemachine.Replica, observed statemachine.ReplicaUpdate) bool {
	return recorded == nil || recorded.Addr != observed.Addr || recorded.Zone != observed.Zone || recorded.CapacityMB != observed.CapacityMB ||
		recorded.Slots != observed.Slots || recorded.Draining != observed.Draining || recorded.Unreachable != observed.Unreachable || observed.ResidentKnown
}

// remainingMs is how long a replica under notice has: as was first written down, so that the row stays as it is.
func remainingMs(recorded *statemachine.Replica, draining bool, reportedMs int64) int64 {
	if draining && recorded != nil && recorded.Draining {
		return recorded.RemainingMs
	}
	return reportedMs
}

// holdsExactly says whether the replicated state's row holds just these units.
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

// holdings gives each unit its size; one that no engine names is taken to fill what is left.
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
