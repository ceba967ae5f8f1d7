package registry

import (
	"maps"
	"slices"

	"petreltide/internal/process/clock"
)

const (
	// maxEntries bounds the incarnations that are known, removed ones among them; more are not taken.
	maxEntries = 20_000
	// forgetUs is how long nothing must have come of an incarnation, removed or not, before it is forgotten.
	forgetUs = 60 * clock.Sec
	// removedGossipUs is how long a removal is repeated in gossip: no later message would show that it was lost.
	removedGossipUs = 10 * clock.Sec
)

// Registry is one control node's soft state of all replicas, from their own heartbeats and other control nodes' gossip.
// Of two statuses of an incarnation the one with the higher Seq counts.
type Registry struct {
	// Revision rises with every change that others must learn of.
	Revision uint64
	// UnreachableAfterUs is how long no heartbeat of a replica may come before it is unreachable.
	UnreachableAfterUs int64
	// ReadDelayUs is how long what is read now may have lain unread: a control node that wakes from a pause finds
	// heartbeats in its sockets that were true before it. 0 where it was not paused.
	ReadDelayUs int64

	entries map[string]*Entry
	changes []changeRecord
	// sortedIDs are the keys of entries; nil after one came or went.
	sortedIDs []string
	// lastSweepUs is when Sweep ran last; 0 before the first.
	lastSweepUs int64
	// needsResync says that gossip named something that this control node has missed.
	needsResync bool
}

// New returns an empty registry that calls a replica unreachable after unreachableAfterUs without a heartbeat.
func New(unreachableAfterUs int64) *Registry {
	return &Registry{UnreachableAfterUs: unreachableAfterUs, entries: map[string]*Entry{}}
}

// HandleHeartbeat takes a replica's own heartbeat. changed reports whether others must learn of it.
func (r *Registry) HandleHeartbeat(nowUs int64, status ReplicaStatus) (changed bool) {
	changed = r.receive(nowUs, nowUs, nowUs-r.ReadDelayUs, status)
	if e := r.entries[status.ID]; e != nil {
		e.lastDirectUs = nowUs
	}
	return changed
}

// receive takes a status that was sent at heartbeatUs and surely held until confirmedUs, both by this control node's
// clock, and reports whether it changed anything that others must learn of.
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

// register takes the first status of an incarnation. The one that it follows at its address is removed; where the known
// one is the later, the new one is entered as removed.
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

// Remove records that an incarnation has ended; nothing that comes of it later counts. It reports whether that is new.
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

// Sweep marks replicas whose heartbeats are overdue as unreachable and forgets those of which nothing came for long. A
// control node that was itself paused since the last sweep moves all heartbeats on by the pause.
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

// IDs returns all incarnations in order. The caller must not change the list.
func (r *Registry) IDs() []string {
	if r.sortedIDs == nil {
		r.sortedIDs = slices.Sorted(maps.Keys(r.entries))
	}
	return r.sortedIDs
}

// Entry returns the entry of one incarnation; nil where it is not known. The caller must not change it.
func (r *Registry) Entry(id string) *Entry { return r.entries[id] }

// Len returns how many incarnations are known, removed ones among them.
func (r *Registry) Len() int { return len(r.entries) }
