package statemachine

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
)

// Replica is the record of one incarnation of a replica: where it is, what it can hold, and what it holds.
type Replica struct {
	ID string `json:"id"`
	// Incarnation tells processes apart that followed each other under one ID.
	Incarnation string `json:"inc"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	// CapacityMB is the memory for models and adapters.
	CapacityMB int64 `json:"roomMb"`
	// Slots is how many requests it serves at once.
	Slots int `json:"slots"`
	// Draining says that it has had notice of its end: it gets no more to load.
	Draining bool `json:"leaving,omitempty"`
	// RemainingMs is how long a draining replica stays, in ms from when that was written; 0 where it is not known.
	RemainingMs int64 `json:"leftMs,omitempty"`
	// Unreachable says that the controller has not heard from it for too long.
	Unreachable bool `json:"dark,omitempty"`
	// Service is the service it belongs to; empty for replicas of the platform's list, which belong to none.
	Service string `json:"service,omitempty"`
	// Resident are the models, and adapters as "model/adapter", that it holds, with their size in MB.
	Resident map[string]int64 `json:"holds"`
	// ModifiedIndex is the entry that last changed this record.
	ModifiedIndex uint64 `json:"index,omitempty"`
	// CommandsAccepted is how many commands this incarnation had taken when it held just Resident; nil where that is not known.
	CommandsAccepted *uint64 `json:"orders,omitempty"`
	// EverLoaded are the models that this incarnation has held at some time: they come back from its own disk.
	EverLoaded map[string]bool `json:"had,omitempty"`
	// NextAttempt is the first attempt number that is not granted yet.
	NextAttempt uint64 `json:"nextLeg"`
	// Quotas are the concurrent requests that each gateway may have here. Their sum is at most Slots.
	Quotas map[string]int `json:"shares,omitempty"`
}

// newReplica returns the record of an incarnation of which nothing else is known.
func newReplica(id, incarnation string) *Replica {
	return &Replica{ID: id, Incarnation: incarnation, Resident: map[string]int64{}, NextAttempt: 1}
}

// AcceptsLoads reports whether a replica may be given more to load under a declaration, which may be nil.
func (r *Replica) AcceptsLoads(declaration *configuration.Declaration) bool {
	return !r.Draining && !r.Unreachable && r.Incarnation != "" && (declaration == nil || !declaration.IsDrained(r.Zone))
}

// ReplicaUpdate is what the leader has learnt of a replica. An incarnation that is not the known one replaces its record.
type ReplicaUpdate struct {
	ID          string `json:"id"`
	Incarnation string `json:"inc"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	CapacityMB  int64  `json:"roomMb"`
	Slots       int    `json:"slots"`
	Draining    bool   `json:"leaving,omitempty"`
	RemainingMs int64  `json:"leftMs,omitempty"`
	Unreachable bool   `json:"dark,omitempty"`
	Service     string `json:"service,omitempty"`
	// ResidentKnown says that Resident and CommandsAccepted count; without it what the replica holds stays as it is recorded.
	ResidentKnown bool           `json:"told,omitempty"`
	Resident      []ResidentUnit `json:"holds,omitempty"`
	// CommandsAccepted is how many commands it had taken when it held just Resident; nil where that is not known.
	CommandsAccepted *uint64 `json:"orders,omitempty"`
}

// ReplicaIDs returns the IDs of all replicas in order.
func (s *State) ReplicaIDs() []string {
	return slices.Sorted(maps.Keys(s.Replicas))
}

// ReservedMB returns the memory of a replica that is used or may be used: a load in doubt keeps its memory, and an
// unload gives its memory back only once its result is known.
func (s *State) ReservedMB(replica string) int64 {
	r := s.Replicas[replica]
	if r == nil {
		return 0
	}
	var sumMB int64
	for _, sizeMB := range r.Resident {
		sumMB += sizeMB
	}
	if command, ok := s.Pending[replica]; ok && command.Action == Load {
		if _, resident := r.Resident[command.Unit]; !resident {
			sumMB += command.SizeMB
		}
	}
	return sumMB
}

// upsertReplica writes down what the leader has learnt of a replica.
func (s *State) upsertReplica(update ReplicaUpdate) {
	r := s.Replicas[update.ID]
	if r == nil {
		r = newReplica(update.ID, "")
		s.Replicas[update.ID] = r
	}
	if update.Incarnation != r.Incarnation {
		s.removeReplica(update.ID)
		r = newReplica(update.ID, update.Incarnation)
		s.Replicas[update.ID] = r
	}
	r.Addr, r.Zone, r.CapacityMB, r.Slots = update.Addr, update.Zone, update.CapacityMB, update.Slots
	r.Draining, r.RemainingMs, r.Unreachable, r.Service = update.Draining, update.RemainingMs, update.Unreachable, update.Service
	r.ModifiedIndex, s.ReplicasIndex = s.Index, s.Index
	if update.ResidentKnown {
		r.setResident(update.Resident, update.CommandsAccepted)
	}
}

// removeReplica drops a replica with its pending command and its grants.
func (s *State) removeReplica(id string) {
	delete(s.Replicas, id)
	if _, pending := s.Pending[id]; pending {
		s.CommandsIndex = s.Index
	}
	delete(s.Pending, id)
	s.removeGrants(id)
}

// setResident replaces what a replica holds, and after how many commands, where that is known.
func (r *Replica) setResident(units []ResidentUnit, commandsAccepted *uint64) {
	r.Resident, r.CommandsAccepted = map[string]int64{}, commandsAccepted
	for _, unit := range units {
		r.Resident[unit.Unit] = unit.SizeMB
		r.recordLoaded(unit.Unit)
	}
}

// recordLoaded remembers that a replica of a service has held a model; adapters are not remembered.
func (r *Replica) recordLoaded(unit string) {
	if r.Service == "" || strings.Contains(unit, "/") {
		return
	}
	if r.EverLoaded == nil {
		r.EverLoaded = map[string]bool{}
	}
	r.EverLoaded[unit] = true
}
