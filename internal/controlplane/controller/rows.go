package controller

import (
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
)

// comparedVersion is what the ledger was last compared with.
type comparedVersion struct {
	roster, holds, index uint64
	atUs                 int64
}

// isOutdated: what a replica said may be older than the last order that changed what it holds, as words lie
// in sockets, links and frozen machines for a while.
func (r *routedMemory) isOutdated(e *registry.Entry) bool {
	return e.ConfirmedUs <= max(r.changedUs[e.ID], r.bornUs)+reportDelayUs
}

// recordRegistry writes down what tickets need to know of replicas: their incarnations, their room and what they hold.
// It changes with notices, incarnations and loads, not with heartbeats.
func (c *Controller) recordRegistry(snapshot Snapshot, update *statemachine.LeaderUpdate) {
	now := comparedVersion{snapshot.Registry.Revision, snapshot.State.ReplicasIndex, snapshot.State.Revision, c.routed.noted.atUs}
	if now == c.routed.noted && snapshot.NowUs-now.atUs < registryIntervalUs {
		return
	}
	now.atUs = snapshot.NowUs
	c.routed.noted = now
	for _, id := range snapshot.Registry.IDs() {
		c.recordEntry(snapshot, snapshot.Registry.Entry(id), update)
	}
	for _, id := range snapshot.State.ReplicaIDs() {
		c.recordUnseen(snapshot, id, update)
	}
}

// recordEntry compares one replica's own word with the ledger, and writes down what differs.
func (c *Controller) recordEntry(snapshot Snapshot, e *registry.Entry, update *statemachine.LeaderUpdate) {
	have := snapshot.State.Replicas[e.ID]
	svc := snapshot.State.Doc.Service(e.Service)
	if e.Removed || svc == nil || svc.Engine == nil {
		if have != nil {
			update.RemovedReplicas = append(update.RemovedReplicas, e.ID)
			delete(c.routed.changedUs, e.ID)
		}
		return
	}
	n := statemachine.ReplicaUpdate{
		ID: e.ID, Incarnation: e.ID, Addr: e.Addr, Zone: e.Zone, CapacityMB: svc.Engine.CapacityMB, Slots: e.Slots, Draining: e.Draining,
		RemainingMs: leftMs(have, e.Draining, e.RemainingMs), Unreachable: e.Unreachable, Service: e.Service,
	}
	c.recordUnits(snapshot, e, svc, &n)
	if differsFrom(have, n) {
		update.Replicas = append(update.Replicas, n)
	}
}

// recordUnits adds what a replica holds where the ledger has something else and the replica's word is new enough.
// Where it is not, the next write compares again.
func (c *Controller) recordUnits(snapshot Snapshot, e *registry.Entry, svc *configuration.Service, n *statemachine.ReplicaUpdate) {
	have := snapshot.State.Replicas[e.ID]
	_, pending := snapshot.State.Pending[e.ID]
	units := c.routed.withTrusted(snapshot.NowUs, have, e.Units)
	switch {
	case have == nil:
		n.ResidentKnown, n.Resident, n.CommandsTaken = true, holdings(snapshot.State.Doc, svc, units), new(uint64)
	case pending || holdsExactly(have, units):
	case c.routed.isOutdated(e):
		c.routed.noted = comparedVersion{}
	default:
		n.ResidentKnown, n.Resident = true, holdings(snapshot.State.Doc, svc, units)
	}
}

// recordUnseen takes a replica out of the ledger once no control node has heard of it for long enough.
func (c *Controller) recordUnseen(snapshot Snapshot, id string, update *statemachine.LeaderUpdate) {
	if snapshot.Registry.Entry(id) != nil {
		delete(c.routed.unseenUs, id)
		return
	}
	sinceUs, known := c.routed.unseenUs[id]
	if !known {
		c.routed.unseenUs[id] = snapshot.NowUs
	} else if snapshot.NowUs-sinceUs > unseenRemovedAfterUs {
		update.RemovedReplicas = append(update.RemovedReplicas, id)
		delete(c.routed.unseenUs, id)
		delete(c.routed.changedUs, id)
	}
}

// differsFrom: the ledger has no row of a replica, or one that says something else than the note. The incarnation is not
// looked at.
func differsFrom(have *statemachine.Replica, n statemachine.ReplicaUpdate) bool {
	return have == nil || have.Addr != n.Addr || have.Zone != n.Zone || have.CapacityMB != n.CapacityMB ||
		have.Slots != n.Slots || have.Draining != n.Draining || have.Unreachable != n.Unreachable || n.ResidentKnown
}

// leftMs is how long a replica under notice has: as was first written down, so that the row stays as it is.
func leftMs(have *statemachine.Replica, leaving bool, saidMs int64) int64 {
	if leaving && have != nil && have.Draining {
		return have.RemainingMs
	}
	return saidMs
}

// withTrusted adds what was settled by its time alone and the replica has not yet shown: a load that takes
// longer than stated keeps its room until it comes, or has had three times its time.
func (r *routedMemory) withTrusted(nowUs int64, have *statemachine.Replica, units []string) []string {
	if have == nil || len(r.trustedUs) == 0 {
		return units
	}
	for unit := range have.Resident {
		key := replicaUnit{have.ID, unit}
		untilUs, trusted := r.trustedUs[key]
		if !trusted {
			continue
		}
		if _, shown := slices.BinarySearch(units, unit); shown || nowUs > untilUs {
			delete(r.trustedUs, key)
		} else {
			units = append(slices.Clone(units), unit)
		}
	}
	return units
}

// holdsExactly: the ledger's row holds just these units.
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
