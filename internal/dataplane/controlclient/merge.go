package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
)

// completeSources returns the sources that have received a complete frame, or lastSource if there are none.
func (i *Informer) completeSources() []*source {
	sources := []*source{}
	for _, n := range slices.Sorted(maps.Keys(i.sources)) {
		if s := i.sources[n]; s.complete {
			sources = append(sources, s)
		}
	}
	if len(sources) == 0 && i.lastSource != nil {
		sources = append(sources, i.lastSource)
	}
	return sources
}

// mergeReplica merges the rows of one replica incarnation from all complete sources and reports whether the result changed. The
// latest status counts, and the replica is unreachable only if every control node that knows it reports so.
func (i *Informer) mergeReplica(id string) (changed bool) {
	var best wire.ReplicaRow
	known := false
	for _, s := range i.completeSources() {
		r, ok := s.replicas[id]
		switch {
		case !ok:
		case !known, best.Stale && !r.Stale, r.Removed && !r.Stale && !best.Removed:
			best, known = r, true
		case best.Removed || (r.Stale && !best.Stale):
		default:
			best = mergeRows(best, r)
		}
	}
	current, present := i.replicas[id]
	if !known || best.Removed {
		delete(i.replicas, id)
		changed = present
	} else {
		i.replicas[id] = best
		changed = !present || !equalRows(current, best)
	}
	if changed {
		i.changed[id] = true
	}
	return changed
}

// equalRows reports whether two rows are equal in all fields that snapshots contain.
func equalRows(a, b wire.ReplicaRow) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining && a.RemainingMs == b.RemainingMs &&
		a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

// mergeReplicas merges the rows of all known replicas and reports whether any result changed.
func (i *Informer) mergeReplicas() (changed bool) {
	ids := map[string]bool{}
	for id := range i.replicas {
		ids[id] = true
	}
	for _, s := range i.completeSources() {
		for id := range s.replicas {
			ids[id] = true
		}
	}
	for id := range ids {
		changed = i.mergeReplica(id) || changed
	}
	return changed
}

// mergeOrders takes the newest orders and the largest gateway count of all complete sources and reports whether anything changed.
func (i *Informer) mergeOrders() (changed bool) {
	gateways := 0
	for _, s := range i.completeSources() {
		if s.ordersNumber > i.ordersNumber || (i.orders == nil && s.orders != nil) {
			i.replaceOrders(s)
			changed = true
		}
		gateways = max(gateways, s.gatewayCount)
	}
	changed = changed || gateways != i.gatewayCount
	i.gatewayCount = gateways
	return changed
}

// replaceOrders replaces the orders with those of a source and marks the replicas whose orders differ as changed.
func (i *Informer) replaceOrders(s *source) {
	for id, o := range s.orders {
		if i.orders[id] != o {
			i.changed[id] = true
		}
	}
	for id := range i.orders {
		if _, pending := s.orders[id]; !pending {
			i.changed[id] = true
		}
	}
	i.orders, i.ordersNumber = s.orders, s.ordersNumber
}

// mergeRows merges two control nodes' rows of one incarnation: the replica's own status from the row with the higher Seq, and the
// loaded units from the row with the higher log index.
func mergeRows(a, b wire.ReplicaRow) wire.ReplicaRow {
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
