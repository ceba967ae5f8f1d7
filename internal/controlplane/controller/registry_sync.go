package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// registryIntervalUs is the interval at which the registry is compared with the replicated state if neither has changed.
	registryIntervalUs = 250 * clock.Ms
	// reportDelayUs is the maximum age of what a replica reports about itself: a report can be delayed in sockets, in
	// network links and on suspended machines.
	reportDelayUs = 2 * clock.Sec
	// unseenRemovedAfterUs is the time after which a replica is removed if the registry has no entry for it.
	unseenRemovedAfterUs = 15 * clock.Sec
)

// comparedVersion identifies the versions of the registry and the replicated state that were last compared, and the time.
type comparedVersion struct {
	registryRevision, replicasIndex, stateRevision uint64
	atUs                                           int64
}

// registrySync updates the replicated state from what replicas report about themselves.
type registrySync struct {
	// holdingsChangedUs is, by replica, when a command that changed the resident units was last settled.
	holdingsChangedUs map[string]int64
	// unseenUs is, by replica, the time since which a recorded replica is missing from the registry.
	unseenUs map[string]int64
	compared comparedVersion
}

// isOutdated reports whether a replica's report may be older than its last order that changed the resident units, or older
// than this controller.
func (r *registrySync) isOutdated(e *registry.Entry, startedUs int64) bool {
	return e.ConfirmedUs <= max(r.holdingsChangedUs[e.ID], startedUs)+reportDelayUs
}

// onApplied records which replicas' resident units were changed by an update with results.
func (r *registrySync) onApplied(nowUs int64, s *statemachine.State) {
	for id, replica := range s.Replicas {
		if replica.ModifiedIndex == s.Index {
			r.holdingsChangedUs[id] = nowUs
		}
	}
}

// recordRegistry adds to the update what commands depend on: incarnations, capacity and resident units of the replicas. This
// changes with termination notices, incarnations and loads, but not with every heartbeat.
func (c *Controller) recordRegistry(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	now := comparedVersion{snapshot.Registry.Revision, snapshot.State.ReplicasIndex, snapshot.State.Revision, c.routed.registry.compared.atUs}
	if now == c.routed.registry.compared && snapshot.NowUs-now.atUs < registryIntervalUs {
		return
	}
	now.atUs = snapshot.NowUs
	c.routed.registry.compared = now
	for _, id := range snapshot.Registry.IDs() {
		c.recordEntry(snapshot, snapshot.Registry.Entry(id), update)
	}
	for _, id := range snapshot.State.ReplicaIDs() {
		c.routed.registry.recordUnseen(snapshot, id, update)
	}
}

// recordEntry compares a replica's own report with the replicated state and adds the difference to the update.
func (c *Controller) recordEntry(snapshot Snapshot, e *registry.Entry, update *statemachine.LeaderUpdate) {
	recorded := snapshot.State.Replicas[e.ID]
	service := snapshot.State.Doc.Service(e.Service)
	if e.Removed || service == nil || service.Engine == nil {
		if recorded != nil {
			update.RemovedReplicas = append(update.RemovedReplicas, e.ID)
			delete(c.routed.registry.holdingsChangedUs, e.ID)
		}
		return
	}
	observed := statemachine.ReplicaUpdate{
		ID: e.ID, Incarnation: e.ID, Addr: e.Addr, Zone: e.Zone, CapacityMB: service.Engine.CapacityMB, Slots: e.Slots, Draining: e.Draining,
		RemainingMs: remainingMs(recorded, e.Draining, e.RemainingMs), Unreachable: e.Unreachable, Service: e.Service,
	}
	c.recordUnits(snapshot, e, service, &observed)
	if differsFrom(recorded, observed) {
		update.Replicas = append(update.Replicas, observed)
	}
}

// recordUnits adds the reported resident units if they differ from the replicated state and the report is recent enough. If
// it is not, the next write repeats the comparison.
func (c *Controller) recordUnits(snapshot Snapshot, e *registry.Entry, service *configuration.Service, observed *statemachine.ReplicaUpdate) {
	recorded := snapshot.State.Replicas[e.ID]
	_, pending := snapshot.State.Pending[e.ID]
	units := c.routed.residency.withUnconfirmedLoads(snapshot.NowUs, recorded, e.Units)
	switch {
	case recorded == nil:
		observed.ResidentKnown, observed.Resident, observed.CommandsAccepted = true, holdings(snapshot.State.Doc, service, units), new(uint64)
	case pending || holdsExactly(recorded, units):
	case c.routed.registry.isOutdated(e, c.routed.predecessor.startedUs):
		c.routed.registry.compared = comparedVersion{}
	default:
		observed.ResidentKnown, observed.Resident = true, holdings(snapshot.State.Doc, service, units)
	}
}

// recordUnseen removes a replica from the replicated state once the registry has had no entry for it for
// unseenRemovedAfterUs.
func (r *registrySync) recordUnseen(snapshot Snapshot, id string, update *statemachine.LeaderUpdate) {
	if snapshot.Registry.Entry(id) != nil {
		delete(r.unseenUs, id)
		return
	}
	sinceUs, known := r.unseenUs[id]
	if !known {
		r.unseenUs[id] = snapshot.NowUs
	} else if snapshot.NowUs-sinceUs > unseenRemovedAfterUs {
		update.RemovedReplicas = append(update.RemovedReplicas, id)
		delete(r.unseenUs, id)
		delete(r.holdingsChangedUs, id)
	}
}
