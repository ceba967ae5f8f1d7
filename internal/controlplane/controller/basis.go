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
type basis struct {
	orders uint64
	units  []string
}

// recordedBasis is the basis that the ledger keeps of a replica; nil where its count is not known.
func recordedBasis(r *statemachine.Replica) *basis {
	if r == nil || r.CommandsAccepted == nil {
		return nil
	}
	return &basis{orders: *r.CommandsAccepted, units: slices.Sorted(maps.Keys(r.Resident))}
}

// reportedBasis is what a report shows; nil while an order is under way, as what is held will change.
func reportedBasis(report *wire.ReplicaState) *basis {
	if report.Busy {
		return nil
	}
	return &basis{orders: report.Orders, units: slices.Clone(report.Units)}
}

// after is the state once an order that was taken on this basis is done.
func (b *basis) after(command statemachine.ReplicaCommand) *basis {
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
	return &basis{orders: b.orders + 1, units: units}
}

// admits says whether an order may be sent on this basis: a load must find room, a place, and its model.
func (b *basis) admits(doc *configuration.Declaration, r *statemachine.Replica, command statemachine.ReplicaCommand) bool {
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
func (o *standingOrder) isOutdatedReport(r *statemachine.Replica, report *wire.ReplicaState) bool {
	if known := recordedBasis(r); known != nil && report.Orders < known.orders {
		return true
	}
	if o.basis == nil {
		return false
	}
	if o.answer == wire.OrderRunning {
		return report.Orders <= o.basis.orders
	}
	return report.Orders < o.basis.orders
}

// withResult adds to a settled order what the replica holds after it, where that is known.
func (c *Controller) withResult(s *statemachine.State, command statemachine.ReplicaCommand, outcome statemachine.CommandResult) statemachine.CommandResult {
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
