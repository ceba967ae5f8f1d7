package controller

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/wire"
	"petreltide/internal/controlplane/statemachine"
)

// basis is a state of a replica named by its order count: after so many orders, none of them under way, it holds
// just these units. A replica refuses an order whose expected count is not its own, or while another order is
// under way. An order sent on a basis is therefore carried out in that state or not at all, however long it or
// what the controller heard of the replica was on its way, and whoever leads by then.
type versionedState struct {
	orders uint64
	units  []string
}

// recordedState is the basis that the ledger keeps of a replica; nil where its count is not known.
func recordedState(r *statemachine.Replica) *versionedState {
	if r == nil || r.CommandsAccepted == nil {
		return nil
	}
	return &versionedState{orders: *r.CommandsAccepted, units: slices.Sorted(maps.Keys(r.Resident))}
}

// reportedState is what a report shows; nil while an order is under way, as what is held will change.
func reportedState(report *wire.ReplicaState) *versionedState {
	if report.Busy {
		return nil
	}
	return &versionedState{orders: report.Orders, units: slices.Clone(report.Units)}
}

// after is the state once an order that was taken on this basis is done.
func (b *versionedState) afterCommand(command statemachine.ReplicaCommand) *versionedState {
	if b == nil {
		return nil
	}
	units := slices.DeleteFunc(slices.Clone(b.units), func(unit string) bool {
		return unit == command.Unit || (command.Action == statemachine.Unload && strings.HasPrefix(unit, command.Unit+"/"))
	})
	if command.Action == statemachine.Load {
		units = append(units, command.Unit)
	}
	slices.Sort(units)
	return &versionedState{orders: b.orders + 1, units: units}
}

// admits says whether an order may be sent on this basis: a load must find room, a place, and its model.
func (b *versionedState) canCarryOut(doc *configuration.Declaration, r *statemachine.Replica, command statemachine.ReplicaCommand) bool {
	service := doc.Service(r.Service)
	if command.Action != statemachine.Load || service == nil || service.Engine == nil {
		return true
	}
	model, adapter := configuration.SplitUnit(command.Unit)
	sumMb, adapters := command.SizeMB, 0
	for _, resident := range holdings(doc, service, b.units) {
		sumMb += resident.SizeMB
		if strings.Contains(resident.Unit, "/") {
			adapters++
		}
	}
	if adapter != "" && (adapters >= service.Engine.MaxAdapters || !slices.Contains(b.units, model)) {
		return false
	}
	return sumMb <= r.CapacityMB
}

// isOutdatedReport says whether a report shows a state from before an order that the replica is known to have taken.
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

// withResultingState adds to a settled order what the replica holds after it, where that is known.
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
