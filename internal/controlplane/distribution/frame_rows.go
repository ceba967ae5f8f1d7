package distribution

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
)

// replicaRow returns what gateways learn of a replica in the registry: its own status, and what the state says it holds
// where it is of a service.
func replicaRow(in FrameInput, id string) wire.ReplicaRow {
	e, committed := in.Registry.Entry(id), in.State.Replicas[id]
	row := wire.ReplicaRow{ReplicaStatus: e.ReplicaStatus, Unreachable: e.Unreachable}
	row.Release, row.WarmUpMs = "", 0
	if committed != nil && committed.Service != "" {
		row.Units, row.Index = sortedUnits(committed.Resident), committed.ModifiedIndex
	}
	return row
}

// equivalentRows reports whether a gateway would learn nothing from one after the other but that a heartbeat came.
func equivalentRows(a, b *wire.ReplicaRow) bool {
	return a.Index == b.Index && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.RemainingMs == b.RemainingMs && a.Removed == b.Removed && a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

// staleRows returns the rows of the services' replicas that the state knows and the registry does not: those that have sent
// nothing since this control node came back.
func staleRows(in FrameInput) []wire.ReplicaRow {
	rows := []wire.ReplicaRow{}
	for _, id := range in.State.ReplicaIDs() {
		r := in.State.Replicas[id]
		if in.Registry.Entry(id) != nil || r.Service == "" {
			continue
		}
		rows = append(rows, wire.ReplicaRow{Stale: true, Index: r.ModifiedIndex, ReplicaStatus: registry.ReplicaStatus{
			ID: id, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots, Draining: r.Draining, RemainingMs: r.RemainingMs, Units: sortedUnits(r.Resident),
		}})
	}
	return rows
}

func sortedUnits(resident map[string]int64) []string { return slices.Sorted(maps.Keys(resident)) }

// allCommands returns all pending commands, for a full frame.
func allCommands(state *statemachine.State) wire.PendingOrders {
	orders := wire.PendingOrders{Number: state.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(state.Pending)) {
		orders.Rows = append(orders.Rows, pendingCommand(id, state.Pending[id]))
	}
	return orders
}

// pendingCommand is a command as gateways learn it.
func pendingCommand(id string, command statemachine.ReplicaCommand) wire.PendingOrder {
	return wire.PendingOrder{Replica: id, Unit: command.Unit, Unload: command.Action == statemachine.Unload}
}
