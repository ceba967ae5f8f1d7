package controlclient

import (
	"cmp"
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
)

// publish emits the merged state as an immutable snapshot, which shares unchanged parts with the previous one.
func (i *Informer) publish(nowUs int64) {
	i.snapshotNumber++
	snap := &scheduling.Snapshot{
		Number: i.snapshotNumber, View: i.view.Number, Revision: i.revision, Declaration: i.declaration, ReceivedUs: nowUs, Gateways: i.gatewayCount,
		Verdicts: i.outliers.ForZone(i.opts.Zone),
	}
	if i.snapshot != nil {
		snap.Replicas, snap.ByService = i.snapshot.Replicas, i.snapshot.ByService
	} else {
		snap.Replicas, snap.ByService = map[string]*wire.ReplicaUpdate{}, map[string][]*wire.ReplicaUpdate{}
	}
	relist := i.copyChanged(snap)
	if i.replicaIDs == nil {
		i.replicaIDs = slices.Sorted(maps.Keys(i.replicas))
	}
	snap.IDs = i.replicaIDs
	rebuildServiceLists(snap, relist)
	i.snapshot = snap
	i.emit(InformerEffect{Snapshot: snap})
}

// copyChanged writes the changed replicas into the snapshot. It returns the services that gained or lost a replica, whose lists
// must be rebuilt; a list in which only rows changed is copied and updated here.
func (i *Informer) copyChanged(snap *scheduling.Snapshot) (relist map[string]bool) {
	relist = map[string]bool{}
	if len(i.changed) == 0 {
		return relist
	}
	snap.Replicas, snap.ByService = maps.Clone(snap.Replicas), maps.Clone(snap.ByService)
	copied := map[string]bool{}
	for id := range i.changed {
		previous := snap.Replicas[id]
		r, known := i.replicas[id]
		if !known {
			if previous != nil {
				delete(snap.Replicas, id)
				relist[previous.Service], i.replicaIDs = true, nil
			}
			continue
		}
		update := i.replicaUpdate(r)
		snap.Replicas[id] = update
		switch {
		case previous == nil:
			relist[r.Service], i.replicaIDs = true, nil
		case previous.Service != r.Service:
			relist[r.Service], relist[previous.Service] = true, true
		default:
			replaceRow(snap, copied, update)
		}
	}
	clear(i.changed)
	return relist
}

// replaceRow replaces a replica's row in the list of its service, which it copies first unless that has been done.
func replaceRow(snap *scheduling.Snapshot, copied map[string]bool, update *wire.ReplicaUpdate) {
	if !copied[update.Service] {
		copied[update.Service] = true
		snap.ByService[update.Service] = slices.Clone(snap.ByService[update.Service])
	}
	rows := snap.ByService[update.Service]
	at, _ := slices.BinarySearchFunc(rows, update.ID, func(n *wire.ReplicaUpdate, id string) int { return cmp.Compare(n.ID, id) })
	rows[at] = update
}

// rebuildServiceLists rebuilds the replica lists of the given services, ordered by replica ID.
func rebuildServiceLists(snap *scheduling.Snapshot, services map[string]bool) {
	if len(services) == 0 {
		return
	}
	for service := range services {
		delete(snap.ByService, service)
	}
	for _, id := range snap.IDs {
		if update := snap.Replicas[id]; services[update.Service] {
			snap.ByService[update.Service] = append(snap.ByService[update.Service], update)
		}
	}
}

// replicaUpdate converts a replica's row, with its pending order, to the form that the decider reads.
func (i *Informer) replicaUpdate(r wire.ReplicaRow) *wire.ReplicaUpdate {
	update := &wire.ReplicaUpdate{
		ID: r.ID, Incarnation: r.ID, Addr: r.Addr, Zone: r.Zone, Service: r.Service, Slots: r.Slots, Draining: r.Draining, RemainingMs: r.RemainingMs,
		Unreachable: r.Unreachable, Stale: r.Stale, Loaded: r.Units, MaxInFlight: r.Slots,
	}
	if o, pending := i.orders[r.ID]; pending && o.Unload {
		update.Unloading = o.Unit
	} else if pending {
		update.Loading = o.Unit
	}
	return update
}
