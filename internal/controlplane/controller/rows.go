package controller

import (
	"slices"

	"petreltide/internal/api/configuration"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
)

// notedAt is what the ledger was last compared with.
type notedAt struct {
	roster, holds, index uint64
	atUs                 int64
}

// outdated: what a replica said may be older than the last order that changed what it holds, as words lie
// in sockets, links and frozen machines for a while.
func (r *routed) outdated(e *registry.Entry) bool {
	return e.ConfirmedUs <= max(r.changedUs[e.ID], r.bornUs)+wordLateUs
}

// noteRoster writes down what tickets need to know of replicas: their incarnations, their room and what they hold.
// It changes with notices, incarnations and loads, not with heartbeats.
func (f *Controller) noteRoster(seen Seen, update *statemachine.LeaderUpdate) {
	now := notedAt{seen.Roster.Revision, seen.State.ReplicasIndex, seen.State.Revision, f.routed.noted.atUs}
	if now == f.routed.noted && seen.NowUs-now.atUs < noteEveryUs {
		return
	}
	now.atUs = seen.NowUs
	f.routed.noted = now
	for _, id := range seen.Roster.IDs() {
		f.noteEntry(seen, seen.Roster.Entry(id), update)
	}
	for _, id := range seen.State.ReplicaIDs() {
		f.noteUnseen(seen, id, update)
	}
}

// noteEntry compares one replica's own word with the ledger, and writes down what differs.
func (f *Controller) noteEntry(seen Seen, e *registry.Entry, update *statemachine.LeaderUpdate) {
	have := seen.State.Replicas[e.ID]
	svc := seen.State.Doc.Service(e.Service)
	if e.Removed || svc == nil || svc.Engine == nil {
		if have != nil {
			update.RemovedReplicas = append(update.RemovedReplicas, e.ID)
			delete(f.routed.changedUs, e.ID)
		}
		return
	}
	n := statemachine.ReplicaUpdate{
		ID: e.ID, Incarnation: e.ID, Addr: e.Addr, Zone: e.Zone, CapacityMb: svc.Engine.CapacityMB, Slots: e.Slots, Draining: e.Draining,
		RemainingMs: leftMs(have, e.Draining, e.RemainingMs), Unreachable: e.Unreachable, Service: e.Service,
	}
	f.noteUnits(seen, e, svc, &n)
	if rowDiffers(have, n) {
		update.Replicas = append(update.Replicas, n)
	}
}

// noteUnits adds what a replica holds where the ledger has something else and the replica's word is new enough.
// Where it is not, the next write compares again.
func (f *Controller) noteUnits(seen Seen, e *registry.Entry, svc *configuration.Service, n *statemachine.ReplicaUpdate) {
	have := seen.State.Replicas[e.ID]
	_, pending := seen.State.Pending[e.ID]
	units := f.routed.withTrusted(seen.NowUs, have, e.Units)
	switch {
	case have == nil:
		n.ResidentKnown, n.Resident, n.CommandsTaken = true, holdings(seen.State.Doc, svc, units), new(uint64)
	case pending || sameUnits(have, units):
	case f.routed.outdated(e):
		f.routed.noted = notedAt{}
	default:
		n.ResidentKnown, n.Resident = true, holdings(seen.State.Doc, svc, units)
	}
}

// noteUnseen takes a replica out of the ledger once no control node has heard of it for long enough.
func (f *Controller) noteUnseen(seen Seen, id string, update *statemachine.LeaderUpdate) {
	if seen.Roster.Entry(id) != nil {
		delete(f.routed.unseenUs, id)
		return
	}
	sinceUs, known := f.routed.unseenUs[id]
	if !known {
		f.routed.unseenUs[id] = seen.NowUs
	} else if seen.NowUs-sinceUs > forgottenUs {
		update.RemovedReplicas = append(update.RemovedReplicas, id)
		delete(f.routed.unseenUs, id)
		delete(f.routed.changedUs, id)
	}
}

// rowDiffers: the ledger has no row of a replica, or one that says something else than the note. The incarnation is not
// looked at.
func rowDiffers(have *statemachine.Replica, n statemachine.ReplicaUpdate) bool {
	return have == nil || have.Addr != n.Addr || have.Zone != n.Zone || have.CapacityMb != n.CapacityMb ||
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
func (r *routed) withTrusted(nowUs int64, have *statemachine.Replica, units []string) []string {
	if have == nil || len(r.trustedUs) == 0 {
		return units
	}
	for unit := range have.Resident {
		key := unitAt{have.ID, unit}
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

// sameUnits: the ledger's row holds just these units.
func sameUnits(have *statemachine.Replica, units []string) bool {
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
		all = append(all, statemachine.ResidentUnit{Unit: u, SizeMb: sizeMb})
	}
	return all
}
