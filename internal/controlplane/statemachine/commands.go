package statemachine

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// Action is what an order asks of a replica.
type Action string

// The steps of an order.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// ReplicaCommand is an order that stands: at most one for each replica, numbered without gaps, fenced by its epoch.
type ReplicaCommand struct {
	Number      uint64 `json:"number"`
	Epoch       uint64 `json:"epoch"`
	Revision    uint64 `json:"revision"`
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	Action      Action `json:"step"`
	Unit        string `json:"unit"`
	SizeMB      int64  `json:"sizeMb"`
	Reason      string `json:"why,omitempty"`
}

// CommandResult ends a ticket. With Orders, Holds is all that the replica holds once it has taken that many orders;
// without, nothing is known but that the ticket was done or was not.
type CommandResult struct {
	Number        uint64         `json:"number"`
	Succeeded     bool           `json:"done"`
	Reason        string         `json:"why,omitempty"`
	CommandsTaken *uint64        `json:"orders,omitempty"`
	Resident      []ResidentUnit `json:"holds,omitempty"`
}

// PendingLoads is how many loads stand.
func (s *State) PendingLoads() int {
	loads := 0
	for _, command := range s.Pending {
		if command.Action == Load {
			loads++
		}
	}
	return loads
}

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
		replica.CommandsTaken = nil
		if result.CommandsTaken != nil {
			replica.setResident(result.Resident, result.CommandsTaken)
		}
		if !result.Succeeded && result.CommandsTaken == nil {
			return false
		}
		replica.ModifiedIndex, s.ReplicasIndex = s.Index, s.Index
		return true
	}
	return false
}

// applyCommand changes what a replica holds as a ticket says.
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
	_, resident := r.Resident[command.Unit]
	switch command.Action {
	case Load:
		if resident {
			return fault.New(fault.UnitAlreadyLoaded, command.Replica, "%s is already held", command.Unit)
		}
		if s.Doc == nil {
			return fault.New(fault.PolicyInvalidResult, command.Unit, "no declaration yet")
		}
		sizeMB, known := s.unitSize(r, command.Unit)
		if !known {
			return fault.New(fault.PolicyInvalidResult, command.Unit, "no such model or adapter")
		}
		command.SizeMB = sizeMB
		if f := s.checkAdapter(r, command.Unit); f != nil {
			return f
		}
		if reservedMB := s.ReservedMB(command.Replica); reservedMB+sizeMB > r.CapacityMB {
			return fault.New(fault.InsufficientCapacity, command.Replica, "%s takes %d MB, %d of %d MB are taken", command.Unit, sizeMB, reservedMB, r.CapacityMB)
		}
		if !s.Doc.Routed() && s.PendingLoads() >= s.Doc.Store.Loads {
			return fault.New(fault.StoreRateLimited, command.Replica, "%d loads are running", s.PendingLoads())
		}
	case Unload:
		if !resident {
			return fault.New(fault.UnitNotLoaded, command.Replica, "%s is not held", command.Unit)
		}
		command.SizeMB = r.Resident[command.Unit]
	default:
		return fault.New(fault.PolicyInvalidResult, command.Replica, "no such step %q", command.Action)
	}
	command.Number, command.Epoch = s.NextNumber, epoch
	s.NextNumber++
	s.Pending[command.Replica] = command
	s.CommandsIndex = s.Index
	if command.Action == Unload {
		s.UpdateIndex = s.Index
	}
	return nil
}

func (s *State) unitSize(r *Replica, unit string) (int64, bool) {
	if r.Service != "" {
		sizeMB, _, known := s.Doc.EngineUnitSize(r.Service, unit)
		return sizeMB, known
	}
	sizeMB, _, known := s.Doc.UnitSize(unit)
	return sizeMB, known
}

// checkAdapter: an adapter of a service's model needs the model there, and one of the replica's places.
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
