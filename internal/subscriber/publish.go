package subscriber

import (
	"cmp"
	"maps"
	"slices"

	"petreltide/internal/dispatch"
	"petreltide/internal/wire"
)

// publish writes what was folded as a snapshot that never changes; it shares with the last one what has not.
func (m *Mirror) publish(nowUs int64) {
	m.number++
	snap := &dispatch.Snapshot{
		Number: m.number, View: m.view.Number, Revision: m.revision, Doc: m.doc, AtUs: nowUs, Desks: m.desks,
		Trials: m.outliers.In(m.opts.Zone),
	}
	last := m.snap
	if last == nil {
		last = &dispatch.Snapshot{Replicas: map[string]*wire.ReplicaNews{}, ByService: map[string][]*wire.ReplicaNews{}}
	}
	snap.Replicas, snap.ByService = last.Replicas, last.ByService
	if len(m.touched) > 0 {
		snap.Replicas, snap.ByService = maps.Clone(last.Replicas), maps.Clone(last.ByService)
	}
	own, joined := map[string]bool{}, map[string]bool{}
	for id := range m.touched {
		was := snap.Replicas[id]
		r, known := m.best[id]
		if !known {
			if was != nil {
				delete(snap.Replicas, id)
				joined[was.Service], m.ids = true, nil
			}
			continue
		}
		news := m.newsOf(r)
		snap.Replicas[id] = news
		switch {
		case was == nil:
			joined[r.Service], m.ids = true, nil
		case was.Service != r.Service:
			joined[r.Service], joined[was.Service] = true, true
		default:
			if !own[r.Service] {
				own[r.Service] = true
				snap.ByService[r.Service] = slices.Clone(snap.ByService[r.Service])
			}
			row := snap.ByService[r.Service]
			at, _ := slices.BinarySearchFunc(row, id, func(n *wire.ReplicaNews, id string) int { return cmp.Compare(n.ID, id) })
			row[at] = news
		}
	}
	clear(m.touched)
	if m.ids == nil {
		m.ids = slices.Sorted(maps.Keys(m.best))
	}
	snap.IDs = m.ids
	for service := range joined {
		delete(snap.ByService, service)
	}
	if len(joined) > 0 {
		for _, id := range m.ids {
			if news := snap.Replicas[id]; joined[news.Service] {
				snap.ByService[news.Service] = append(snap.ByService[news.Service], news)
			}
		}
	}
	m.snap = snap
	m.do(MirrorEffect{Snapshot: snap})
}

func (m *Mirror) newsOf(r wire.ReplicaRow) *wire.ReplicaNews {
	news := &wire.ReplicaNews{
		ID: r.ID, Inc: r.ID, Addr: r.Addr, Zone: r.Zone, Service: r.Service, Slots: r.Slots, Leaving: r.Draining, LeftMs: r.LeftMs,
		Dark: r.Dark, Stale: r.Stale, Holds: r.Units, Share: r.Slots,
	}
	if o, stands := m.orders[r.ID]; stands && o.Unload {
		news.Unloading = o.Unit
	} else if stands {
		news.Loading = o.Unit
	}
	return news
}
