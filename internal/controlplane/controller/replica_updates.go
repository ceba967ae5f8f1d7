package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/statemachine"
)

// differsFrom says whether the replicated state has no row of a replica, or one that says something else than the note. The incarnation is not
// looked at.
func differsFrom(have *statemachine.Replica, n statemachine.ReplicaUpdate) bool {
	return have == nil || have.Addr != n.Addr || have.Zone != n.Zone || have.CapacityMB != n.CapacityMB ||
		have.Slots != n.Slots || have.Draining != n.Draining || have.Unreachable != n.Unreachable || n.ResidentKnown
}

// remainingMs is how long a replica under notice has: as was first written down, so that the row stays as it is.
func remainingMs(have *statemachine.Replica, leaving bool, saidMs int64) int64 {
	if leaving && have != nil && have.Draining {
		return have.RemainingMs
	}
	return saidMs
}

// holdsExactly says whether the replicated state's row holds just these units.
func holdsExactly(have *statemachine.Replica, units []string) bool {
	if len(have.Resident) != len(units) {
		return false
	}
	for _, u := range units {
		if _, holds := have.Resident[u]; !holds {
			return false
		}
	}
	return true
}

// holdings gives each unit its size; one that no engine names is taken to fill what is left.
func holdings(doc *configuration.Declaration, svc *configuration.Service, units []string) []statemachine.ResidentUnit {
	all := []statemachine.ResidentUnit{}
	for _, u := range units {
		sizeMb, _, ok := doc.EngineUnitSize(svc.Name, u)
		if !ok {
			sizeMb = svc.Engine.CapacityMB / 2
		}
		all = append(all, statemachine.ResidentUnit{Unit: u, SizeMB: sizeMb})
	}
	return all
}
