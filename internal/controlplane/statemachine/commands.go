package statemachine

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// CommandResult resolves a pending command. Where CommandsAccepted is set, Resident lists everything that is loaded at the
// replica after it accepted that many commands; where it is nil, only Succeeded is known.
type CommandResult struct {
	// Number is the number of the command.
	Number    uint64 `json:"number"`
	Succeeded bool   `json:"done"`
	// Reason describes, for operators, why the command did not succeed.
	Reason           string         `json:"why,omitempty"`
	CommandsAccepted *uint64        `json:"orders,omitempty"`
	Resident         []ResidentUnit `json:"holds,omitempty"`
}

// PendingLoads returns the number of pending load commands.
func (s *State) PendingLoads() int {
	loads := 0
	for _, command := range s.Pending {
		if command.Action == Load {
			loads++
		}
	}
	return loads
}

// resolveCommand removes the pending command that a result belongs to and reports whether gateways must be updated. The
// result of a command that is not pending, or that was issued to a former incarnation, changes no replica.
func (s *State) resolveCommand(result CommandResult) bool {
	for id, command := range s.Pending {
		if command.Number != result.Number {
			continue
		}
		delete(s.Pending, id)
		s.CommandsIndex = s.Index
		replica := s.Replicas[id]
		if replica == nil || replica.Incarnation != command.Incarnation {
			return false
		}
		if result.Succeeded {
			s.applyCommand(replica, command)
		}
		replica.CommandsAccepted = nil
		if result.CommandsAccepted != nil {
			replica.setResident(result.Resident, result.CommandsAccepted)
		}
		if !result.Succeeded && result.CommandsAccepted == nil {
			return false
		}
		replica.ModifiedIndex, s.ReplicasIndex = s.Index, s.Index
		return true
	}
	return false
}

// applyCommand records the effect of a successful command on the resident units. Unloading a model unloads its adapters
// too.
func (s *State) applyCommand(replica *Replica, command ReplicaCommand) {
	if command.Action == Load {
		replica.Resident[command.Unit] = command.SizeMB
		replica.recordLoaded(command.Unit)
		s.TotalLoads++
		s.TotalLoadedMB += command.SizeMB
		return
	}
	delete(replica.Resident, command.Unit)
	for unit := range replica.Resident {
		if replica.Service != "" && strings.HasPrefix(unit, command.Unit+"/") {
			delete(replica.Resident, unit)
		}
	}
}

// issueCommand validates a command, assigns its number and epoch and makes it pending. It returns the reason where the
// command is rejected.
func (s *State) issueCommand(epoch uint64, command ReplicaCommand) *fault.Fault {
	r := s.Replicas[command.Replica]
	if r == nil || r.Incarnation != command.Incarnation {
		return fault.New(fault.ReplicaUnknown, command.Replica, "no such replica or another incarnation")
	}
	if command.Revision != s.Revision {
		return fault.New(fault.StaleBase, command.Replica, "proposed under revision %d, current is %d", command.Revision, s.Revision)
	}
	if _, busy := s.Pending[command.Replica]; busy {
		return fault.New(fault.ReplicaBusy, command.Replica, "an order is pending")
	}
	sizeMB, resident := r.Resident[command.Unit]
	switch command.Action {
	case Load:
		if resident {
			return fault.New(fault.UnitAlreadyLoaded, command.Replica, "%s is already held", command.Unit)
		}
		var refusal *fault.Fault
		if sizeMB, refusal = s.checkLoad(r, command.Unit); refusal != nil {
			return refusal
		}
	case Unload:
		if !resident {
			return fault.New(fault.UnitNotLoaded, command.Replica, "%s is not held", command.Unit)
		}
	default:
		return fault.New(fault.PolicyInvalidResult, command.Replica, "no such step %q", command.Action)
	}
	command.Number, command.Epoch, command.SizeMB = s.NextNumber, epoch, sizeMB
	s.NextNumber++
	s.Pending[command.Replica] = command
	s.CommandsIndex = s.Index
	if command.Action == Unload {
		// Gateways must stop sending requests for the unit before the replica unloads it.
		s.UpdateIndex = s.Index
	}
	return nil
}

// checkLoad returns the size in MB of a unit that a replica may load, or a fault. A load is allowed where the unit is
// declared, fits into the memory that is not reserved, and, for a declaration without routes, fewer loads are pending
// than the weight store serves at once.
func (s *State) checkLoad(r *Replica, unit string) (int64, *fault.Fault) {
	if s.Doc == nil {
		return 0, fault.New(fault.PolicyInvalidResult, unit, "no declaration yet")
	}
	sizeMB, known := s.unitSize(r, unit)
	if !known {
		return 0, fault.New(fault.PolicyInvalidResult, unit, "no such model or adapter")
	}
	if f := s.checkAdapter(r, unit); f != nil {
		return 0, f
	}
	if reservedMB := s.ReservedMB(r.ID); reservedMB+sizeMB > r.CapacityMB {
		return 0, fault.New(fault.InsufficientCapacity, r.ID, "%s takes %d MB, %d of %d MB are taken", unit, sizeMB, reservedMB, r.CapacityMB)
	}
	if !s.Doc.Routed() && s.PendingLoads() >= s.Doc.Store.Loads {
		return 0, fault.New(fault.StoreRateLimited, r.ID, "%d loads are running", s.PendingLoads())
	}
	return sizeMB, nil
}

// unitSize returns the declared size of a unit in MB, or false where the unit is not declared.
func (s *State) unitSize(r *Replica, unit string) (int64, bool) {
	if r.Service != "" {
		sizeMB, _, known := s.Doc.EngineUnitSize(r.Service, unit)
		return sizeMB, known
	}
	sizeMB, _, known := s.Doc.UnitSize(unit)
	return sizeMB, known
}

// checkAdapter refuses an adapter whose model is not resident, or that would exceed the replica's maximum number of
// adapters. It returns nil for models.
func (s *State) checkAdapter(r *Replica, unit string) *fault.Fault {
	model, adapter := configuration.SplitUnit(unit)
	if r.Service == "" || adapter == "" {
		return nil
	}
	if _, loaded := r.Resident[model]; !loaded {
		return fault.New(fault.UnitNotLoaded, r.ID, "adapter %s needs model %s there", adapter, model)
	}
	maxAdapters, adapters := 0, 0
	if service := s.Doc.Service(r.Service); service != nil && service.Engine != nil {
		maxAdapters = service.Engine.MaxAdapters
	}
	for loaded := range r.Resident {
		if strings.Contains(loaded, "/") {
			adapters++
		}
	}
	if adapters >= maxAdapters {
		return fault.New(fault.InsufficientCapacity, r.ID, "%d of %d places for adapters are taken", adapters, maxAdapters)
	}
	return nil
}
