package distribution

import (
	"sort"

	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// BuildUpdate returns the complete update for one process of a gateway, with the quotas and grants of that process. The
// declaration is left out if the gateway already has the state's revision.
func BuildUpdate(s *statemachine.State, view uint64, gateway, incarnation string, revision uint64) wire.GatewayUpdate {
	update := wire.GatewayUpdate{Number: max(s.UpdateIndex, 1), View: view, Epoch: s.Epoch, Revision: s.Revision}
	if s.Revision > revision {
		update.Declaration = s.Doc
	}
	for _, id := range s.ReplicaIDs() {
		r := s.Replicas[id]
		row := wire.ReplicaUpdate{
			ID: r.ID, Incarnation: r.Incarnation, Addr: r.Addr, Zone: r.Zone, Draining: r.Draining, RemainingMs: r.RemainingMs, Unreachable: r.Unreachable, MaxInFlight: r.Quotas[gateway],
		}
		for unit := range r.Resident {
			row.Loaded = append(row.Loaded, unit)
		}
		sort.Strings(row.Loaded)
		if command, ok := s.Pending[id]; ok && command.Action == statemachine.Unload {
			row.Unloading = command.Unit
		}
		update.Replicas = append(update.Replicas, row)
		for unit := range r.Resident {
			g, ok := s.Grants[statemachine.Grant{Gateway: gateway, Replica: id, Model: unit}.Key()]
			if ok && g.GatewayIncarnation == incarnation && g.Incarnation == r.Incarnation {
				update.Grants = append(update.Grants, g)
			}
		}
	}
	sort.Slice(update.Grants, func(i, j int) bool { return update.Grants[i].Number < update.Grants[j].Number })
	return update
}
