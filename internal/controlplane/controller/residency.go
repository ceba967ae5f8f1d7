package controller

import (
	"slices"

	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// maxTrackedArrivals bounds the number of remembered arrival times.
	maxTrackedArrivals = 20000
	// reservationUs is how long capacity freed at a replica is reserved for the model it was freed for.
	reservationUs = 2 * clock.Sec
)

// replicaUnit identifies a unit, which is a model or an adapter, at a replica.
type replicaUnit struct {
	replica, unit string
}

// reservation is the unit for which capacity is being freed at a replica, and the start of the reservation.
type reservation struct {
	unit string
	atUs int64
}

// residency holds what the controller remembers of units at replicas for the resident policy.
type residency struct {
	// arrivedUs is when a command for a unit at a replica was last settled.
	arrivedUs map[replicaUnit]int64
	// unconfirmedUntilUs is the time until which a load that was settled by its duration counts as resident without being
	// reported by its replica.
	unconfirmedUntilUs map[replicaUnit]int64
	// reservations are the reservations by replica.
	reservations map[string]reservation
	// unplaced are the units with waiting calls for which the latest run found no replica.
	unplaced map[string]bool
}

// recordArrival records the arrival time of a unit at a replica.
func (r *residency) recordArrival(nowUs int64, command statemachine.ReplicaCommand) {
	r.arrivedUs[replicaUnit{command.Replica, command.Unit}] = nowUs
	if len(r.arrivedUs) > maxTrackedArrivals {
		r.arrivedUs = map[replicaUnit]int64{}
	}
}

// reserve records the units for which the accepted proposals free capacity. A reservation ends when the next proposal for
// its replica is accepted or when it expires.
func (r *residency) reserve(nowUs int64, verdicts []placement.Verdict) {
	for _, v := range verdicts {
		if v.Fault != nil {
			continue
		}
		delete(r.reservations, v.Proposal.Replica)
		if v.Proposal.For != "" {
			r.reservations[v.Proposal.Replica] = reservation{v.Proposal.For, nowUs}
		}
	}
}

// reservedFor returns the unit for which capacity at a replica is reserved; empty for none.
func (r *residency) reservedFor(nowUs int64, replica string) string {
	if reserved, ok := r.reservations[replica]; ok && nowUs-reserved.atUs < reservationUs {
		return reserved.unit
	}
	return ""
}

// withUnconfirmedLoads adds the loads that were settled by their duration and are not reported by the replica yet. A load
// that takes longer than declared keeps its capacity until it is reported or three times its declared duration has passed.
func (r *residency) withUnconfirmedLoads(nowUs int64, recorded *statemachine.Replica, units []string) []string {
	if recorded == nil || len(r.unconfirmedUntilUs) == 0 {
		return units
	}
	for unit := range recorded.Resident {
		key := replicaUnit{recorded.ID, unit}
		untilUs, trusted := r.unconfirmedUntilUs[key]
		if !trusted {
			continue
		}
		if _, shown := slices.BinarySearch(units, unit); shown || nowUs > untilUs {
			delete(r.unconfirmedUntilUs, key)
		} else {
			units = append(slices.Clone(units), unit)
		}
	}
	return units
}
