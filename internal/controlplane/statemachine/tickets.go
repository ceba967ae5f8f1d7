package statemachine

import (
	"strings"

	"petreltide/internal/api/configuration"
	"petreltide/internal/api/fault"
)

// Step is what an order asks of a replica.
type Step string

// The steps of an order.
const (
	Load   Step = "load"
	Unload Step = "unload"
)

// Ticket is an order that stands: at most one for each replica, numbered without gaps, fenced by its epoch.
type Ticket struct {
	Number      uint64 `json:"number"`
	Epoch       uint64 `json:"epoch"`
	Revision    uint64 `json:"revision"`
	Replica     string `json:"replica"`
	Incarnation string `json:"inc"`
	Step        Step   `json:"step"`
	Unit        string `json:"unit"`
	SizeMb      int64  `json:"sizeMb"`
	Why         string `json:"why,omitempty"`
}

// Settled ends a ticket. With Orders, Holds is all that the replica holds once it has taken that many orders;
// without, nothing is known but that the ticket was done or was not.
type Settled struct {
	Number uint64    `json:"number"`
	Done   bool      `json:"done"`
	Why    string    `json:"why,omitempty"`
	Orders *uint64   `json:"orders,omitempty"`
	Holds  []Holding `json:"holds,omitempty"`
}

// PendingLoads is how many loads stand.
func (s *State) PendingLoads() int {
	n := 0
	for _, t := range s.Pending {
		if t.Step == Load {
			n++
		}
	}
	return n
}

func (s *State) settle(d Settled) bool {
	for id, t := range s.Pending {
		if t.Number != d.Number {
			continue
		}
		delete(s.Pending, id)
		s.OrdersIndex = s.Index
		r := s.Replicas[id]
		if r == nil || r.Incarnation != t.Incarnation {
			return false
		}
		if d.Done {
			s.carryOut(r, t)
		}
		r.Orders = nil
		if d.Orders != nil {
			r.hold(d.Holds, d.Orders)
		}
		if !d.Done && d.Orders == nil {
			return false
		}
		r.Index, s.HoldsIndex = s.Index, s.Index
		return true
	}
	return false
}

// carryOut changes what a replica holds as a ticket says.
func (s *State) carryOut(r *Replica, t Ticket) {
	if t.Step == Load {
		r.Holds[t.Unit] = t.SizeMb
		r.had(t.Unit)
		s.Loads++
		s.LoadedMb += t.SizeMb
		return
	}
	delete(r.Holds, t.Unit)
	for unit := range r.Holds {
		if r.Service != "" && strings.HasPrefix(unit, t.Unit+"/") {
			delete(r.Holds, unit)
		}
	}
}

func (s *State) issue(epoch uint64, t Ticket) *fault.Fault {
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
	_, held := r.Holds[t.Unit]
	switch t.Step {
	case Load:
		if held {
			return fault.New(fault.AlreadyHeld, t.Replica, "%s is already held", t.Unit)
		}
		if s.Doc == nil {
			return fault.New(fault.PolicyNonsense, t.Unit, "no declaration yet")
		}
		sizeMb, known := s.unitMb(r, t.Unit)
		if !known {
			return fault.New(fault.PolicyNonsense, t.Unit, "no such model or adapter")
		}
		t.SizeMb = sizeMb
		if f := s.adapterFits(r, t.Unit); f != nil {
			return f
		}
		if takenMb := s.TakenMb(t.Replica); takenMb+sizeMb > r.RoomMb {
			return fault.New(fault.NoRoom, t.Replica, "%s takes %d MB, %d of %d MB are taken", t.Unit, sizeMb, takenMb, r.RoomMb)
		}
		if !s.Doc.Routed() && s.PendingLoads() >= s.Doc.Store.Loads {
			return fault.New(fault.StoreRate, t.Replica, "%d loads are running", s.PendingLoads())
		}
	case Unload:
		if !held {
			return fault.New(fault.NotHeld, t.Replica, "%s is not held", t.Unit)
		}
		t.SizeMb = r.Holds[t.Unit]
	default:
		return fault.New(fault.PolicyNonsense, t.Replica, "no such step %q", t.Step)
	}
	t.Number, t.Epoch = s.NextTicket, epoch
	s.NextTicket++
	s.Pending[t.Replica] = t
	s.OrdersIndex = s.Index
	if t.Step == Unload {
		s.NewsIndex = s.Index
	}
	return nil
}

func (s *State) unitMb(r *Replica, unit string) (int64, bool) {
	if r.Service != "" {
		sizeMb, _, known := s.Doc.EngineUnitMb(r.Service, unit)
		return sizeMb, known
	}
	sizeMb, _, known := s.Doc.UnitMb(unit)
	return sizeMb, known
}

// adapterFits: an adapter of a service's model needs the model there, and one of the replica's places.
func (s *State) adapterFits(r *Replica, unit string) *fault.Fault {
	model, adapter := configuration.Units(unit)
	if r.Service == "" || adapter == "" {
		return nil
	}
	if _, held := r.Holds[model]; !held {
		return fault.New(fault.NotHeld, r.ID, "adapter %s needs model %s there", adapter, model)
	}
	most, n := 0, 0
	if svc := s.Doc.Service(r.Service); svc != nil && svc.Engine != nil {
		most = svc.Engine.AdaptersMost
	}
	for held := range r.Holds {
		if strings.Contains(held, "/") {
			n++
		}
	}
	if n >= most {
		return fault.New(fault.NoRoom, r.ID, "%d of %d places for adapters are taken", n, most)
	}
	return nil
}
