package statemachine

import (
	"maps"
	"slices"
	"strings"

	"petreltide/internal/api/configuration"
)

// Replica is the record of one incarnation of a replica: its address, its capacity and its resident units.
type Replica struct {
	ID string `json:"id"`
	// Incarnation distinguishes successive processes with the same ID.
	Incarnation string `json:"inc"`
	Addr        string `json:"addr"`
	Zone        string `json:"zone"`
	// CapacityMB is the memory for models and adapters, in MB.
	CapacityMB int64 `json:"roomMb"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Draining reports that the replica was notified of its shutdown; it gets no further loads.
	Draining bool `json:"leaving,omitempty"`
	// RemainingMs is the time in ms, from when the record was written, until a draining replica ends; 0 where unknown.
	RemainingMs int64 `json:"leftMs,omitempty"`
	// Unreachable reports that the replica's heartbeats to the controller are overdue.
	Unreachable bool `json:"dark,omitempty"`
	// Service is the service that the replica belongs to; empty for replicas from the platform's list, which belong to none.
	Service string `json:"service,omitempty"`
	// Resident maps each loaded model, and each loaded adapter as "model/adapter", to its size in MB.
	Resident map[string]int64 `json:"holds"`
	// ModifiedIndex is the log index of the entry that last changed this record.
	ModifiedIndex uint64 `json:"index,omitempty"`
	// CommandsAccepted is the number of commands this incarnation had accepted when Resident was current; nil where unknown.
	CommandsAccepted *uint64 `json:"orders,omitempty"`
	// EverLoaded are the models that this incarnation has loaded before; it reloads them from its own disk.
	EverLoaded map[string]bool `json:"had,omitempty"`
	// NextAttempt is the lowest attempt number that is not granted yet.
	NextAttempt uint64 `json:"nextLeg"`
	// Quotas maps each gateway to the concurrent requests it may have at this replica. Their sum was at most Slots when they
	// were set.
	Quotas map[string]int `json:"shares,omitempty"`
}

// newReplica returns the initial record of an incarnation.
func newReplica(id, incarnation string) *Replica {
	return &Replica{ID: id, Incarnation: incarnation, Resident: map[string]int64{}, NextAttempt: 1}
}

// AcceptsLoads reports whether load commands may be issued to the replica under a declaration, which may be nil.
func (r *Replica) AcceptsLoads(declaration *configuration.Declaration) bool {
	return !r.Draining && !r.Unreachable && r.Incarnation != "" && (declaration == nil || !declaration.IsDrained(r.Zone))
}

// ReplicaUpdate is the leader's observation of a replica. An update with a new incarnation replaces the replica's record.
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
	// ResidentKnown reports that Resident and CommandsAccepted are valid; otherwise the recorded ones are kept.
	ResidentKnown bool           `json:"told,omitempty"`
	Resident      []ResidentUnit `json:"holds,omitempty"`
	// CommandsAccepted is the number of commands accepted when Resident was current; nil where unknown.
	CommandsAccepted *uint64 `json:"orders,omitempty"`
}

// ReplicaIDs returns the sorted IDs of all replicas.
func (s *State) ReplicaIDs() []string {
	return slices.Sorted(maps.Keys(s.Replicas))
}

// ReservedMB returns the memory of a replica, in MB, that is or may be in use. A pending load reserves its memory, and an
// unload frees its memory only once its result is known.
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

// upsertReplica creates or updates the record of a replica from the leader's observation.
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

// removeReplica drops a replica, its pending command and its grants.
func (s *State) removeReplica(id string) {
	delete(s.Replicas, id)
	if _, pending := s.Pending[id]; pending {
		s.CommandsIndex = s.Index
	}
	delete(s.Pending, id)
	s.removeGrants(id)
}

// setResident replaces the resident units and the number of commands accepted, which is nil where unknown.
func (r *Replica) setResident(units []ResidentUnit, commandsAccepted *uint64) {
	r.Resident, r.CommandsAccepted = map[string]int64{}, commandsAccepted
	for _, unit := range units {
		r.Resident[unit.Unit] = unit.SizeMB
		r.recordLoaded(unit.Unit)
	}
}

// recordLoaded adds a model to EverLoaded for a replica of a service. Adapters are not recorded.
func (r *Replica) recordLoaded(unit string) {
	if r.Service == "" || strings.Contains(unit, "/") {
		return
	}
	if r.EverLoaded == nil {
		r.EverLoaded = map[string]bool{}
	}
	r.EverLoaded[unit] = true
}
