package controlclient

import (
	"cmp"
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/dataplane/scheduling"
)

// publish writes what was folded as a snapshot that never changes; it shares with the last one what has not.
func (m *Mirror) publish(nowUs int64) {
	m.number++
	snap := &scheduling.Snapshot{
		Number: m.number, View: m.view.Number, Revision: m.revision, Doc: m.doc, AtUs: nowUs, Gateways: m.gateways,
		Trials: m.outliers.In(m.opts.Zone),
	}
	if m.snap != nil {
		snap.Replicas, snap.ByService = m.snap.Replicas, m.snap.ByService
	} else {
		snap.Replicas, snap.ByService = map[string]*wire.ReplicaUpdate{}, map[string][]*wire.ReplicaUpdate{}
	}
	moved := m.copyTouched(snap)
	if m.ids == nil {
		m.ids = slices.Sorted(maps.Keys(m.best))
	}
	snap.IDs = m.ids
	listAgain(snap, moved)
	m.snap = snap
	m.do(MirrorEffect{Snapshot: snap})
}

// copyTouched writes what is new of the replicas that were touched, and gives the services of which a replica came
// or went: their lists are not right any more. A list that only has new rows is copied and written here.
func (m *Mirror) copyTouched(snap *scheduling.Snapshot) (moved map[string]bool) {
	moved = map[string]bool{}
	if len(m.touched) == 0 {
		return moved
	}
	snap.Replicas, snap.ByService = maps.Clone(snap.Replicas), maps.Clone(snap.ByService)
	copied := map[string]bool{}
	for id := range m.touched {
		was := snap.Replicas[id]
		r, known := m.best[id]
		if !known {
			if was != nil {
				delete(snap.Replicas, id)
				moved[was.Service], m.ids = true, nil
			}
			continue
		}
		news := m.newsOf(r)
		snap.Replicas[id] = news
		switch {
		case was == nil:
			moved[r.Service], m.ids = true, nil
		case was.Service != r.Service:
			moved[r.Service], moved[was.Service] = true, true
		default:
			replaceRow(snap, copied, news)
		}
	}
	clear(m.touched)
	return moved
}

// replaceRow writes a replica's row anew in the list of its service, which is copied first if it is not yet.
func replaceRow(snap *scheduling.Snapshot, copied map[string]bool, news *wire.ReplicaUpdate) {
	if !copied[news.Service] {
		copied[news.Service] = true
		snap.ByService[news.Service] = slices.Clone(snap.ByService[news.Service])
	}
	rows := snap.ByService[news.Service]
	at, _ := slices.BinarySearchFunc(rows, news.ID, func(n *wire.ReplicaUpdate, id string) int { return cmp.Compare(n.ID, id) })
	rows[at] = news
}

// listAgain lists the replicas of some services anew, in the order of their names.
func listAgain(snap *scheduling.Snapshot, services map[string]bool) {
	if len(services) == 0 {
		return
	}
	for service := range services {
		delete(snap.ByService, service)
	}
	for _, id := range snap.IDs {
		if news := snap.Replicas[id]; services[news.Service] {
			snap.ByService[news.Service] = append(snap.ByService[news.Service], news)
		}
	}
}

// newsOf is a replica's row as the decider reads it.
func (m *Mirror) newsOf(r wire.ReplicaRow) *wire.ReplicaUpdate {
	news := &wire.ReplicaUpdate{
		ID: r.ID, Incarnation: r.ID, Addr: r.Addr, Zone: r.Zone, Service: r.Service, Slots: r.Slots, Draining: r.Draining, RemainingMs: r.RemainingMs,
		Unreachable: r.Unreachable, Stale: r.Stale, Loaded: r.Units, MaxInFlight: r.Slots,
	}
	if o, stands := m.orders[r.ID]; stands && o.Unload {
		news.Unloading = o.Unit
	} else if stands {
		news.Loading = o.Unit
	}
	return news
}
