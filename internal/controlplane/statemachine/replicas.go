package statemachine

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
)

// Replica is the row of one incarnation of a replica: where it is, its room, and what it holds.
type Replica struct {
	ID          string           `json:"id"`
	Incarnation string           `json:"inc"`
	Addr        string           `json:"addr"`
	Zone        string           `json:"zone"`
	RoomMb      int64            `json:"roomMb"`
	Slots       int              `json:"slots"`
	Leaving     bool             `json:"leaving,omitempty"`
	LeftMs      int64            `json:"leftMs,omitempty"`
	Unreachable bool             `json:"dark,omitempty"`
	Service     string           `json:"service,omitempty"`
	Holds       map[string]int64 `json:"holds"`
	Index       uint64           `json:"index,omitempty"`
	// Orders is how many orders this incarnation had taken when it held just Holds; nil where that is not known.
	Orders *uint64 `json:"orders,omitempty"`
	// Had are the models that this incarnation has held at some time: they come back from its own disk.
	Had         map[string]bool `json:"had,omitempty"`
	NextAttempt uint64          `json:"nextLeg"`
	Shares      map[string]int  `json:"shares,omitempty"`
}

// Usable says whether a replica may be given more to hold.
func (r *Replica) Usable(d *configuration.Declaration) bool {
	return !r.Leaving && !r.Unreachable && r.Incarnation != "" && (d == nil || !d.IsEmptied(r.Zone))
}

// ReplicaNote writes down what a replica says of itself; Holds counts only with Told.
type ReplicaNote struct {
	ID          string    `json:"id"`
	Incarnation string    `json:"inc"`
	Addr        string    `json:"addr"`
	Zone        string    `json:"zone"`
	RoomMb      int64     `json:"roomMb"`
	Slots       int       `json:"slots"`
	Leaving     bool      `json:"leaving,omitempty"`
	LeftMs      int64     `json:"leftMs,omitempty"`
	Unreachable bool      `json:"dark,omitempty"`
	Service     string    `json:"service,omitempty"`
	Told        bool      `json:"told,omitempty"`
	Holds       []Holding `json:"holds,omitempty"`
	// Orders is how many orders it had taken when it held just Holds, where that is known.
	Orders *uint64 `json:"orders,omitempty"`
}

// Holding is a model or an adapter at a replica, and the room it takes.
type Holding struct {
	Unit   string `json:"unit"`
	SizeMb int64  `json:"sizeMb"`
}

// ReplicaIDs are all replicas in order.
func (s *State) ReplicaIDs() []string {
	return slices.Sorted(maps.Keys(s.Replicas))
}

// TakenMb counts what is held and what may be held: a load in doubt keeps its room,
// and an unload gives its room back only once it is settled.
func (s *State) TakenMb(replica string) int64 {
	r := s.Replicas[replica]
	if r == nil {
		return 0
	}
	var sumMb int64
	for _, mb := range r.Holds {
		sumMb += mb
	}
	if t, ok := s.Pending[replica]; ok && t.Step == Load {
		if _, held := r.Holds[t.Unit]; !held {
			sumMb += t.SizeMb
		}
	}
	return sumMb
}

func (s *State) noteReplica(n ReplicaNote) {
	r := s.Replicas[n.ID]
	if r == nil {
		r = &Replica{ID: n.ID, Holds: map[string]int64{}, NextAttempt: 1}
		s.Replicas[n.ID] = r
	}
	if n.Incarnation != r.Incarnation {
		s.dropReplica(n.ID)
		r = &Replica{ID: n.ID, Incarnation: n.Incarnation, Holds: map[string]int64{}, NextAttempt: 1}
		s.Replicas[n.ID] = r
	}
	r.Addr, r.Zone, r.RoomMb, r.Slots = n.Addr, n.Zone, n.RoomMb, n.Slots
	r.Leaving, r.LeftMs, r.Unreachable, r.Service = n.Leaving, n.LeftMs, n.Unreachable, n.Service
	r.Index, s.HoldsIndex = s.Index, s.Index
	if n.Told {
		r.hold(n.Holds, n.Orders)
	}
}

// hold sets all that a replica holds, and after how many orders, where that is known.
func (r *Replica) hold(all []Holding, orders *uint64) {
	r.Holds, r.Orders = map[string]int64{}, orders
	for _, h := range all {
		r.Holds[h.Unit] = h.SizeMb
		r.had(h.Unit)
	}
}

func (r *Replica) had(unit string) {
	if r.Service == "" || strings.Contains(unit, "/") {
		return
	}
	if r.Had == nil {
		r.Had = map[string]bool{}
	}
	r.Had[unit] = true
}

func (s *State) dropReplica(id string) {
	delete(s.Replicas, id)
	if _, pending := s.Pending[id]; pending {
		s.OrdersIndex = s.Index
	}
	delete(s.Pending, id)
	for key, g := range s.Grants {
		if g.Replica == id {
			delete(s.Grants, key)
		}
	}
}
