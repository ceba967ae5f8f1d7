package registry

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// maxEntries bounds the known incarnations, including removed ones. Further incarnations are ignored.
	maxEntries = 20_000
	// forgetUs is the time without a heartbeat, or since its removal, after which an incarnation is forgotten.
	forgetUs = 60 * clock.Sec
	// removedGossipUs is how long a removal is repeated in gossip, as no later message would reveal that it was lost.
	removedGossipUs = 10 * clock.Sec
)

// Registry is one control node's soft state of all replicas, built from their heartbeats and from other control nodes' gossip.
// Of two statuses of an incarnation, the one with the higher Seq wins.
type Registry struct {
	// Revision increases with every change that must be propagated.
	Revision uint64
	// UnreachableAfterUs is the time without a heartbeat after which a replica is unreachable.
	UnreachableAfterUs int64
	// ReadDelayUs bounds how long a message that is read now may have waited unread. After a pause, a control node reads
	// heartbeats from its sockets that may have been sent before the pause. 0 where it was not paused.
	ReadDelayUs int64

	entries map[string]*Entry
	changes []changeRecord
	// sortedIDs caches the sorted keys of entries; nil after an entry was added or deleted.
	sortedIDs []string
	// lastSweepUs is when Sweep last ran; 0 before the first run.
	lastSweepUs int64
	// needsResync reports that gossip referred to a status that this control node missed.
	needsResync bool
}

// New returns an empty registry that marks a replica as unreachable after unreachableAfterUs without a heartbeat.
func New(unreachableAfterUs int64) *Registry {
	return &Registry{UnreachableAfterUs: unreachableAfterUs, entries: map[string]*Entry{}}
}

// HandleHeartbeat applies a heartbeat received from a replica. changed reports whether the change must be propagated.
func (r *Registry) HandleHeartbeat(nowUs int64, status ReplicaStatus) (changed bool) {
	changed = r.receive(nowUs, nowUs, nowUs-r.ReadDelayUs, status)
	if e := r.entries[status.ID]; e != nil {
		e.lastDirectUs = nowUs
	}
	return changed
}

// receive applies a status that was received at heartbeatUs and is known to have been valid at confirmedUs, both by this control
// node's clock. It reports whether the change must be propagated.
func (r *Registry) receive(nowUs, heartbeatUs, confirmedUs int64, status ReplicaStatus) bool {
	e := r.entries[status.ID]
	if e == nil {
		return r.register(nowUs, heartbeatUs, confirmedUs, status)
	}
	if e.Removed || (status.Seq <= e.lastSeq && !status.Removed) {
		return false
	}
	e.lastSeq = max(e.lastSeq, status.Seq)
	e.LastHeartbeatUs, e.ConfirmedUs = max(e.LastHeartbeatUs, heartbeatUs), max(e.ConfirmedUs, confirmedUs)
	changed := !equivalent(&e.ReplicaStatus, &status)
	if e.Unreachable && nowUs-heartbeatUs < r.UnreachableAfterUs {
		e.Unreachable, changed = false, true
	}
	e.setStatus(heartbeatUs, status)
	if changed {
		r.recordChange(e)
	}
	return changed
}

// register adds an entry for the first status of an incarnation and removes its predecessor at the same address. Where the
// known incarnation is the later one, the new one is added as removed; where the order is undecided, nothing is added.
func (r *Registry) register(nowUs, heartbeatUs, confirmedUs int64, status ReplicaStatus) bool {
	if len(r.entries) >= maxEntries || status.ID == "" {
		return false
	}
	switch r.resolveConflict(&status, heartbeatUs) {
	case undecided:
		return false
	case earlier:
		status.Removed, heartbeatUs = true, nowUs
	}
	for _, other := range r.entries {
		if other.Addr == status.Addr && !other.Removed && !status.Removed {
			r.Remove(nowUs, other.ID)
		}
	}
	e := &Entry{ReplicaStatus: status, LastHeartbeatUs: heartbeatUs, ConfirmedUs: confirmedUs, lastSeq: status.Seq}
	e.setEnd(heartbeatUs, status.RemainingMs)
	r.entries[status.ID], r.sortedIDs = e, nil
	r.recordChange(e)
	return true
}

// Remove records that an incarnation has ended, after which its heartbeats are ignored. It reports whether the removal is new.
func (r *Registry) Remove(nowUs int64, id string) bool {
	e := r.entries[id]
	if e == nil {
		if len(r.entries) >= maxEntries || id == "" {
			return false
		}
		e = &Entry{ReplicaStatus: ReplicaStatus{ID: id}}
		r.entries[id], r.sortedIDs = e, nil
	}
	if e.Removed {
		return false
	}
	e.Removed, e.LastHeartbeatUs = true, nowUs
	e.Seq++
	e.lastSeq = e.Seq
	r.recordChange(e)
	return true
}

// RestoreDeparture applies a departure that was recorded elsewhere, as of a time that is not known. status is that of the heartbeat
// which reported that the replica drains, or Removed for a replica that has ended. A status that this registry knows already, or a
// newer one, is kept. The replica counts as not heard for a while, so that an incarnation that has come after it at its address is
// taken at once.
func (r *Registry) RestoreDeparture(nowUs int64, status ReplicaStatus) (changed bool) {
	if status.Removed {
		return r.Remove(nowUs, status.ID)
	}
	sinceUs := nowUs - r.UnreachableAfterUs
	return r.receive(nowUs, sinceUs, sinceUs, status)
}

// Sweep marks replicas whose heartbeats are overdue as unreachable and forgets incarnations after forgetUs. If the control node
// itself was paused since the last sweep, Sweep first shifts the times of all heartbeats by the pause.
func (r *Registry) Sweep(nowUs int64) {
	if nowUs-r.lastSweepUs > r.UnreachableAfterUs/2 && r.lastSweepUs > 0 {
		for _, e := range r.entries {
			e.LastHeartbeatUs = min(e.LastHeartbeatUs+nowUs-r.lastSweepUs, nowUs)
		}
	}
	r.lastSweepUs = nowUs
	for id, e := range r.entries {
		switch {
		case nowUs-e.LastHeartbeatUs > forgetUs:
			if !e.Removed {
				r.Revision++
			}
			delete(r.entries, id)
			r.sortedIDs = nil
		case !e.Removed && !e.Unreachable && nowUs-e.LastHeartbeatUs > r.UnreachableAfterUs:
			e.Unreachable = true
			r.recordChange(e)
		}
	}
}

// IDs returns the sorted IDs of all known incarnations. The caller must not modify the slice.
func (r *Registry) IDs() []string {
	if r.sortedIDs == nil {
		r.sortedIDs = slices.Sorted(maps.Keys(r.entries))
	}
	return r.sortedIDs
}

// Entry returns the entry of an incarnation; nil where it is not known. The caller must not modify the entry.
func (r *Registry) Entry(id string) *Entry { return r.entries[id] }

// Len returns the number of known incarnations, including removed ones.
func (r *Registry) Len() int { return len(r.entries) }
