package controller

import (
	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
	"petreltide/internal/process/clock"
)

const (
	// registryIntervalUs is how often the registry is compared with the replicated state where neither has changed.
	registryIntervalUs = 250 * clock.Ms
	// reportDelayUs is how old what a replica says of itself may be: it lies in sockets, links and frozen machines for a while.
	reportDelayUs = 2 * clock.Sec
	// unseenRemovedAfterUs is how long no control node has heard of a replica when it is removed.
	unseenRemovedAfterUs = 15 * clock.Sec
)

// comparedVersion is the state of registry and replicated state at which they were last compared, and when.
type comparedVersion struct {
	registryRevision, replicasIndex, stateRevision uint64
	atUs                                           int64
}

// registrySync keeps the replicated state in line with what replicas say of themselves.
type registrySync struct {
	// holdingsChangedUs is when a command that changed what a replica holds was last settled, by replica.
	holdingsChangedUs map[string]int64
	// unseenUs is since when the registry does not know a replica of the replicated state.
	unseenUs map[string]int64
	compared comparedVersion
}

// isOutdated says whether what a replica said may be older than the last order that changed what it holds, or than this controller.
func (r *registrySync) isOutdated(e *registry.Entry, startedUs int64) bool {
	return e.ConfirmedUs <= max(r.holdingsChangedUs[e.ID], startedUs)+reportDelayUs
}

// onApplied records which replicas hold something else after an update with results.
func (r *registrySync) onApplied(nowUs int64, s *statemachine.State) {
	for id, replica := range s.Replicas {
		if replica.ModifiedIndex == s.Index {
			r.holdingsChangedUs[id] = nowUs
		}
	}
}

// recordRegistry writes down what tickets need to know of replicas: their incarnations, their room and what they hold.
// It changes with notices, incarnations and loads, not with heartbeats.
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

// recordEntry compares one replica's own word with the ledger, and writes down what differs.
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

// recordUnits adds what a replica holds where the ledger has something else and the replica's word is new enough.
// Where it is not, the next write compares again.
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

// recordUnseen takes a replica out of the ledger once no control node has heard of it for long enough.
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
