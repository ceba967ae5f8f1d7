package controller

import (
	"slices"

	"petreltide/internal/controlplane/placement"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// maxTrackedArrivals bounds how many units at replicas the arrival is remembered of.
	maxTrackedArrivals = 20000
	// reservationUs is how long capacity that was made at a replica is kept for the model that it was made for.
	reservationUs = 2 * clock.Sec
)

// replicaUnit is a model or an adapter at one replica.
type replicaUnit struct {
	replica, unit string
}

// reservation is the unit that capacity is being made for at a replica, and since when.
type reservation struct {
	unit string
	atUs int64
}

// residency is what the controller remembers of units at replicas, for the resident policy.
type residency struct {
	// arrivedUs is when a unit came to a replica.
	arrivedUs map[replicaUnit]int64
	// unconfirmedUntilUs is until when a load that was settled by time counts, though its replica does not show it.
	unconfirmedUntilUs map[replicaUnit]int64
	// reservations are by replica.
	reservations map[string]reservation
	// unplaced are the units that calls wait for and that the last run found no place for.
	unplaced map[string]bool
}

// recordArrival remembers when a unit came to a replica.
func (r *residency) recordArrival(nowUs int64, command statemachine.ReplicaCommand) {
	r.arrivedUs[replicaUnit{command.Replica, command.Unit}] = nowUs
	if len(r.arrivedUs) > maxTrackedArrivals {
		r.arrivedUs = map[replicaUnit]int64{}
	}
}

// reserve remembers what capacity is made for, until it has come or too long after.
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

// reservedFor is the unit that capacity at a replica is reserved for; "" for none.
func (r *residency) reservedFor(nowUs int64, replica string) string {
	if reserved, ok := r.reservations[replica]; ok && nowUs-reserved.atUs < reservationUs {
		return reserved.unit
	}
	return ""
}

// withUnconfirmedLoads adds what was settled by its time alone and the replica has not yet shown: a load that takes
// longer than stated keeps its room until it comes, or has had three times its time.
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
