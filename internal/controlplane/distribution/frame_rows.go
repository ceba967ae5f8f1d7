package distribution

import (
	"maps"
	"slices"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/registry"
	"petreltide/internal/controlplane/statemachine"
)

// replicaRow returns the row that gateways receive for a replica of the registry: the replica's own status and, if the replica
// belongs to a service, the resident units according to the state.
func replicaRow(in FrameInput, id string) wire.ReplicaRow {
	e, committed := in.Registry.Entry(id), in.State.Replicas[id]
	row := wire.ReplicaRow{ReplicaStatus: e.ReplicaStatus, Unreachable: e.Unreachable}
	row.Release, row.WarmUpMs = "", 0
	if committed != nil && committed.Service != "" {
		row.Units, row.Index = sortedUnits(committed.Resident), committed.ModifiedIndex
	}
	return row
}

// equivalentRows reports whether two rows differ in nothing that matters to a gateway, as after a mere heartbeat.
func equivalentRows(a, b *wire.ReplicaRow) bool {
	return a.Index == b.Index && a.Service == b.Service && a.Addr == b.Addr && a.Zone == b.Zone && a.Slots == b.Slots && a.Draining == b.Draining &&
		a.RemainingMs == b.RemainingMs && a.Removed == b.Removed && a.Unreachable == b.Unreachable && a.Stale == b.Stale && slices.Equal(a.Units, b.Units)
}

// staleRows returns rows for the replicas of services that the state contains and the registry does not. These replicas have sent
// no heartbeat since this control node started.
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

// sortedUnits returns the names of the resident units, sorted.
func sortedUnits(resident map[string]int64) []string { return slices.Sorted(maps.Keys(resident)) }

// allCommands returns all pending commands, for a full frame, in the order of replica IDs.
func allCommands(state *statemachine.State) wire.PendingOrders {
	orders := wire.PendingOrders{Number: state.CommandsIndex, Rows: []wire.PendingOrder{}}
	for _, id := range slices.Sorted(maps.Keys(state.Pending)) {
		orders.Rows = append(orders.Rows, pendingCommand(id, state.Pending[id]))
	}
	return orders
}

// pendingCommand converts a command to the form that is sent to gateways.
func pendingCommand(id string, command statemachine.ReplicaCommand) wire.PendingOrder {
	return wire.PendingOrder{Replica: id, Unit: command.Unit, Unload: command.Action == statemachine.Unload}
}
