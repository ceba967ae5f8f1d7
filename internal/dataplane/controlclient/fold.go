package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
)

// whole are the sources that have told all they know; without any, the last one that had.
func (m *Mirror) wholeSources() []*source {
	sources := []*source{}
	for _, n := range slices.Sorted(maps.Keys(m.sources)) {
		if s := m.sources[n]; s.whole {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 && m.last != nil {
		sources = append(sources, m.last)
	}
	return sources
}

// foldRow joins what the control nodes say of one incarnation: its latest word counts, and it is unreachable only where every
// control node that knows it says so.
func (m *Mirror) foldRow(id string) (changed bool) {
	var best wire.ReplicaRow
	known := false
	for _, s := range m.wholeSources() {
		r, ok := s.rows[id]
		switch {
		case !ok:
		case !known, best.Stale && !r.Stale, r.Removed && !r.Stale && !best.Removed:
			best, known = r, true
		case best.Removed || (r.Stale && !best.Stale):
		default:
			best = newer(best, r)
		}
	}
	have, had := m.best[id]
	if !known || best.Removed {
		delete(m.best, id)
		changed = had
	} else {
		m.best[id] = best
		changed = !had || !sameRow(have, best)
	}
	if changed {
		m.touched[id] = true
	}
	return changed
}

func sameRow(a, b wire.ReplicaRow) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining && a.RemainingMs == b.RemainingMs &&
		a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

func (m *Mirror) foldAll() (changed bool) {
	ids := map[string]bool{}
	for id := range m.best {
		ids[id] = true
	}
	for _, s := range m.wholeSources() {
		for id := range s.rows {
			ids[id] = true
		}
	}
	for id := range ids {
		changed = m.foldRow(id) || changed
	}
	return changed
}

func (m *Mirror) foldRest() (changed bool) {
	gateways := 0
	for _, s := range m.wholeSources() {
		if s.ordersAt > m.ordersAt || (m.orders == nil && s.orders != nil) {
			m.reorder(s)
			changed = true
		}
		gateways = max(gateways, s.gateways)
	}
	changed = changed || gateways != m.gateways
	m.gateways = gateways
	return changed
}

// reorder takes a source's orders for the newest.
func (m *Mirror) reorder(s *source) {
	for id, o := range s.orders {
		if m.orders[id] != o {
			m.touched[id] = true
		}
	}
	for id := range m.orders {
		if _, stands := s.orders[id]; !stands {
			m.touched[id] = true
		}
	}
	m.orders, m.ordersAt = s.orders, s.ordersAt
}

// newer joins two control nodes' words of one incarnation: its own by Seq, what it holds by the ledger's entry.
func newer(a, b wire.ReplicaRow) wire.ReplicaRow {
	unreachable := a.Unreachable && b.Unreachable
	if b.Seq > a.Seq {
		a, b = b, a
	}
	if b.Index > a.Index {
		a.Units, a.Index = b.Units, b.Index
	}
	a.Unreachable = unreachable
	return a
}
