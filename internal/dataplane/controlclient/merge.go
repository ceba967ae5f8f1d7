package controlclient

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
)

// completeSources are the sources that have sent a complete frame; without any, the last one that had.
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

// mergeReplica joins what the control nodes say of one incarnation: its latest word counts, and it is unreachable only where every
// control node that knows it says so.
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

func equalRows(a, b wire.ReplicaRow) bool {
	return a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining && a.RemainingMs == b.RemainingMs &&
		a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

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

// replaceOrders takes a source's orders for the newest.
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

// mergeRows joins two control nodes' words of one incarnation: its own by Seq, what it holds by the ledger's entry.
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
