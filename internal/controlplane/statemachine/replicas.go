package statemachine

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
)

// Replica is the row of one incarnation of a replica: where it is, its room, and what it holds.
type Replica struct {
	ID            string           `json:"id"`
	Incarnation   string           `json:"inc"`
	Addr          string           `json:"addr"`
	Zone          string           `json:"zone"`
	CapacityMB    int64            `json:"roomMb"`
	Slots         int              `json:"slots"`
	Draining      bool             `json:"leaving,omitempty"`
	RemainingMs   int64            `json:"leftMs,omitempty"`
	Unreachable   bool             `json:"dark,omitempty"`
	Service       string           `json:"service,omitempty"`
	Resident      map[string]int64 `json:"holds"`
	ModifiedIndex uint64           `json:"index,omitempty"`
	// CommandsTaken is how many orders this incarnation had taken when it held just Holds; nil where that is not known.
	CommandsTaken *uint64 `json:"orders,omitempty"`
	// EverLoaded are the models that this incarnation has held at some time: they come back from its own disk.
	EverLoaded  map[string]bool `json:"had,omitempty"`
	NextAttempt uint64          `json:"nextLeg"`
	Quotas      map[string]int  `json:"shares,omitempty"`
}

// AcceptsLoads says whether a replica may be given more to hold.
func (r *Replica) AcceptsLoads(declaration *configuration.Declaration) bool {
	return !r.Draining && !r.Unreachable && r.Incarnation != "" && (declaration == nil || !declaration.IsDrained(r.Zone))
}

// ReplicaUpdate writes down what a replica says of itself; Holds counts only with Told.
type ReplicaUpdate struct {
	ID            string         `json:"id"`
	Incarnation   string         `json:"inc"`
	Addr          string         `json:"addr"`
	Zone          string         `json:"zone"`
	CapacityMB    int64          `json:"roomMb"`
	Slots         int            `json:"slots"`
	Draining      bool           `json:"leaving,omitempty"`
	RemainingMs   int64          `json:"leftMs,omitempty"`
	Unreachable   bool           `json:"dark,omitempty"`
	Service       string         `json:"service,omitempty"`
	ResidentKnown bool           `json:"told,omitempty"`
	Resident      []ResidentUnit `json:"holds,omitempty"`
	// CommandsTaken is how many orders it had taken when it held just Holds, where that is known.
	CommandsTaken *uint64 `json:"orders,omitempty"`
}

// ResidentUnit is a model or an adapter at a replica, and the room it takes.
type ResidentUnit struct {
	Unit   string `json:"unit"`
	SizeMB int64  `json:"sizeMb"`
}

// ReplicaIDs are all replicas in order.
func (s *State) ReplicaIDs() []string {
	return slices.Sorted(maps.Keys(s.Replicas))
}

// ReservedMB counts what is held and what may be held: a load in doubt keeps its room,
// and an unload gives its room back only once it is settled.
func (s *State) ReservedMB(replica string) int64 {
	row := s.Replicas[replica]
	if row == nil {
		return 0
	}
	var sumMB int64
	for _, mb := range row.Resident {
		sumMB += mb
	}
	if command, ok := s.Pending[replica]; ok && command.Action == Load {
		if _, resident := row.Resident[command.Unit]; !resident {
			sumMB += command.SizeMB
		}
	}
	return sumMB
}

func (s *State) upsertReplica(update ReplicaUpdate) {
	r := s.Replicas[update.ID]
	if r == nil {
		r = &Replica{ID: update.ID, Resident: map[string]int64{}, NextAttempt: 1}
		s.Replicas[update.ID] = r
	}
	if update.Incarnation != r.Incarnation {
		s.removeReplica(update.ID)
		r = &Replica{ID: update.ID, Incarnation: update.Incarnation, Resident: map[string]int64{}, NextAttempt: 1}
		s.Replicas[update.ID] = r
	}
	r.Addr, r.Zone, r.CapacityMB, r.Slots = update.Addr, update.Zone, update.CapacityMB, update.Slots
	r.Draining, r.RemainingMs, r.Unreachable, r.Service = update.Draining, update.RemainingMs, update.Unreachable, update.Service
	r.ModifiedIndex, s.ReplicasIndex = s.Index, s.Index
	if update.ResidentKnown {
		r.setResident(update.Resident, update.CommandsTaken)
	}
}

// setResident sets all that a replica holds, and after how many orders, where that is known.
func (r *Replica) setResident(units []ResidentUnit, commandsTaken *uint64) {
	r.Resident, r.CommandsTaken = map[string]int64{}, commandsTaken
	for _, unit := range units {
		r.Resident[unit.Unit] = unit.SizeMB
		r.recordLoaded(unit.Unit)
	}
}

func (r *Replica) recordLoaded(unit string) {
	if r.Service == "" || strings.Contains(unit, "/") {
		return
	}
	if r.EverLoaded == nil {
		r.EverLoaded = map[string]bool{}
	}
	r.EverLoaded[unit] = true
}

func (s *State) removeReplica(id string) {
	delete(s.Replicas, id)
	if _, pending := s.Pending[id]; pending {
		s.CommandsIndex = s.Index
	}
	delete(s.Pending, id)
	for key, g := range s.Grants {
		if g.Replica == id {
			delete(s.Grants, key)
		}
	}
}
