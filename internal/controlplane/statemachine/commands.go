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
	SizeMb      int64  `json:"sizeMb"`
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
	n := 0
	for _, t := range s.Pending {
		if t.Action == Load {
			n++
		}
	}
	return n
}

func (s *State) resolveCommand(d CommandResult) bool {
	for id, t := range s.Pending {
		if t.Number != d.Number {
			continue
		}
		delete(s.Pending, id)
		s.CommandsIndex = s.Index
		r := s.Replicas[id]
		if r == nil || r.Incarnation != t.Incarnation {
			return false
		}
		if d.Succeeded {
			s.applyCommand(r, t)
		}
		r.CommandsTaken = nil
		if d.CommandsTaken != nil {
			r.setResident(d.Resident, d.CommandsTaken)
		}
		if !d.Succeeded && d.CommandsTaken == nil {
			return false
		}
		r.ModifiedIndex, s.ReplicasIndex = s.Index, s.Index
		return true
	}
	return false
}

// applyCommand changes what a replica holds as a ticket says.
func (s *State) applyCommand(r *Replica, t ReplicaCommand) {
	if t.Action == Load {
		r.Resident[t.Unit] = t.SizeMb
		r.recordLoaded(t.Unit)
		s.TotalLoads++
		s.TotalLoadedMb += t.SizeMb
		return
	}
	delete(r.Resident, t.Unit)
	for unit := range r.Resident {
		if r.Service != "" && strings.HasPrefix(unit, t.Unit+"/") {
			delete(r.Resident, unit)
		}
	}
}

func (s *State) issueCommand(epoch uint64, t ReplicaCommand) *fault.Fault {
	r := s.Replicas[t.Replica]
	if r == nil || r.Incarnation != t.Incarnation {
		return fault.New(fault.ReplicaUnknown, t.Replica, "no such replica or another incarnation")
	}
	if t.Revision != s.Revision {
		return fault.New(fault.StaleBase, t.Replica, "proposed under revision %d, current is %d", t.Revision, s.Revision)
	}
	if _, busy := s.Pending[t.Replica]; busy {
		return fault.New(fault.ReplicaBusy, t.Replica, "an order is pending")
	}
	_, held := r.Resident[t.Unit]
	switch t.Action {
	case Load:
		if held {
			return fault.New(fault.UnitAlreadyLoaded, t.Replica, "%s is already held", t.Unit)
		}
		if s.Doc == nil {
			return fault.New(fault.PolicyInvalidResult, t.Unit, "no declaration yet")
		}
		sizeMb, known := s.unitSizeMb(r, t.Unit)
		if !known {
			return fault.New(fault.PolicyInvalidResult, t.Unit, "no such model or adapter")
		}
		t.SizeMb = sizeMb
		if f := s.checkAdapter(r, t.Unit); f != nil {
			return f
		}
		if takenMb := s.ReservedMb(t.Replica); takenMb+sizeMb > r.CapacityMb {
			return fault.New(fault.InsufficientCapacity, t.Replica, "%s takes %d MB, %d of %d MB are taken", t.Unit, sizeMb, takenMb, r.CapacityMb)
		}
		if !s.Doc.Routed() && s.PendingLoads() >= s.Doc.Store.Loads {
			return fault.New(fault.StoreRateLimited, t.Replica, "%d loads are running", s.PendingLoads())
		}
	case Unload:
		if !held {
			return fault.New(fault.UnitNotLoaded, t.Replica, "%s is not held", t.Unit)
		}
		t.SizeMb = r.Resident[t.Unit]
	default:
		return fault.New(fault.PolicyInvalidResult, t.Replica, "no such step %q", t.Action)
	}
	t.Number, t.Epoch = s.NextNumber, epoch
	s.NextNumber++
	s.Pending[t.Replica] = t
	s.CommandsIndex = s.Index
	if t.Action == Unload {
		s.UpdateIndex = s.Index
	}
	return nil
}

func (s *State) unitSizeMb(r *Replica, unit string) (int64, bool) {
	if r.Service != "" {
		sizeMb, _, known := s.Doc.EngineUnitSize(r.Service, unit)
		return sizeMb, known
	}
	sizeMb, _, known := s.Doc.UnitSize(unit)
	return sizeMb, known
}

// checkAdapter: an adapter of a service's model needs the model there, and one of the replica's places.
func (s *State) checkAdapter(r *Replica, unit string) *fault.Fault {
	model, adapter := configuration.SplitUnit(unit)
	if r.Service == "" || adapter == "" {
		return nil
	}
	if _, held := r.Resident[model]; !held {
		return fault.New(fault.UnitNotLoaded, r.ID, "adapter %s needs model %s there", adapter, model)
	}
	most, n := 0, 0
	if svc := s.Doc.Service(r.Service); svc != nil && svc.Engine != nil {
		most = svc.Engine.MaxAdapters
	}
	for held := range r.Resident {
		if strings.Contains(held, "/") {
			n++
		}
	}
	if n >= most {
		return fault.New(fault.InsufficientCapacity, r.ID, "%d of %d places for adapters are taken", n, most)
	}
	return nil
}
