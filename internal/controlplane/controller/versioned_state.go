package controller

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// versionedState is the state of a replica at a given order count: once the replica has accepted that many orders and none
// of them is running, its resident units are exactly these. A replica rejects an order whose expected count differs from its
// own count, and any order while another one is running. An order sent with a versionedState as its precondition is
// therefore either carried out in exactly that state or not at all. This holds regardless of how long the order, or the
// reports that the controller acted on, were delayed, and of which control node leads by then.
type versionedState struct {
	orders uint64
	units  []string
}

// recordedState returns the state recorded for a replica in the replicated state, or nil if the replica's order count is not
// known.
func recordedState(r *statemachine.Replica) *versionedState {
	if r == nil || r.CommandsAccepted == nil {
		return nil
	}
	return &versionedState{orders: *r.CommandsAccepted, units: slices.Sorted(maps.Keys(r.Resident))}
}

// reportedState returns the state shown by a report, or nil while an order is running, because the resident units are about
// to change.
func reportedState(report *wire.ReplicaState) *versionedState {
	if report.Busy {
		return nil
	}
	return &versionedState{orders: report.Orders, units: slices.Clone(report.Units)}
}

// afterCommand returns the state after completion of a command that the replica accepted in state v.
func (v *versionedState) afterCommand(command statemachine.ReplicaCommand) *versionedState {
	if v == nil {
		return nil
	}
	units := slices.DeleteFunc(slices.Clone(v.units), func(unit string) bool {
		return unit == command.Unit || (command.Action == statemachine.Unload && strings.HasPrefix(unit, command.Unit+"/"))
	})
	if command.Action == statemachine.Load {
		units = append(units, command.Unit)
	}
	slices.Sort(units)
	return &versionedState{orders: v.orders + 1, units: units}
}

// canCarryOut reports whether a command may be sent to a replica in state v. A load needs free capacity; an adapter also
// needs a free adapter slot and its model to be resident.
func (v *versionedState) canCarryOut(doc *configuration.Declaration, r *statemachine.Replica, command statemachine.ReplicaCommand) bool {
	service := doc.Service(r.Service)
	if command.Action != statemachine.Load || service == nil || service.Engine == nil {
		return true
	}
	model, adapter := configuration.SplitUnit(command.Unit)
	sumMb, adapters := command.SizeMB, 0
	for _, resident := range holdings(doc, service, v.units) {
		sumMb += resident.SizeMB
		if strings.Contains(resident.Unit, "/") {
			adapters++
		}
	}
	if adapter != "" && (adapters >= service.Engine.MaxAdapters || !slices.Contains(v.units, model)) {
		return false
	}
	return sumMb <= r.CapacityMB
}

// isOutdatedReport reports whether a report shows a state from before an order that the replica is known to have accepted.
func (o *outstandingOrder) isOutdatedReport(r *statemachine.Replica, report *wire.ReplicaState) bool {
	if known := recordedState(r); known != nil && report.Orders < known.orders {
		return true
	}
	if o.expected == nil {
		return false
	}
	if o.answer == wire.OrderRunning {
		return report.Orders <= o.expected.orders
	}
	return report.Orders < o.expected.orders
}

// withResultingState adds the replica's state after the command to the outcome, if that state is known.
func (c *Controller) withResultingState(s *statemachine.State, command statemachine.ReplicaCommand, outcome statemachine.CommandResult) statemachine.CommandResult {
	o, r := c.routed.orders.byNumber[command.Number], s.Replicas[command.Replica]
	if o == nil || o.result == nil || r == nil {
		return outcome
	}
	service := s.Doc.Service(r.Service)
	if service == nil || service.Engine == nil {
		return outcome
	}
	orders := o.result.orders
	outcome.CommandsAccepted, outcome.Resident = &orders, holdings(s.Doc, service, o.result.units)
	return outcome
}
