package registry

import (
	"maps"
	"slices"
	"sort"

	"petreltide/internal/process/clock"
)

const (
	maxEntries      = 20_000
	forgetUs        = 60 * clock.Sec
	removedGossipUs = 10 * clock.Sec
)

// Registry is one control node's soft state of all replicas: heard from them directly or from other control nodes.
// It is never written to disk; who is heard last, by Seq, is right.
type Registry struct {
	Revision           uint64
	UnreachableAfterUs int64
	// ReadDelayUs is how long what is read now may have lain unread: a control node that wakes from a freeze finds
	// words in its sockets that were true before it.
	ReadDelayUs int64
	entries     map[string]*Entry
	lastSweepUs int64
	needsResync bool
	changes     []changeRecord
	sortedIDs   []string
}

// changeRecord is one entry of the list of what changed, kept so that nobody need look through all rows.
type changeRecord struct {
	revision uint64
	id       string
}

const maxChangeLog = 8192

// New is an empty roster, which calls a replica unreachable after unreachableUs without a heartbeat.
func New(unreachableUs int64) *Registry {
	return &Registry{UnreachableAfterUs: unreachableUs, entries: map[string]*Entry{}}
}

func (r *Registry) recordChange(e *Entry) {
	e.checksum = e.ReplicaStatus.checksum()
	r.Revision++
	e.Revision = r.Revision
	r.changes = append(r.changes, changeRecord{r.Revision, e.ID})
	if len(r.changes) > maxChangeLog {
		r.changes = append([]changeRecord(nil), r.changes[maxChangeLog/2:]...)
	}
}

// ChangedSince are the rows that changed after a revision, each once, in no order.
func (r *Registry) ChangedSince(rev uint64) []string {
	if len(r.changes) == 0 || r.changes[0].revision > rev+1 {
		ids := []string{}
		for id, e := range r.entries {
			if e.Revision > rev {
				ids = append(ids, id)
			}
		}
		return ids
	}
	at := sort.Search(len(r.changes), func(i int) bool { return r.changes[i].revision > rev })
	seen, ids := map[string]bool{}, []string{}
	for _, t := range r.changes[at:] {
		if !seen[t.id] && r.entries[t.id] != nil {
			seen[t.id] = true
			ids = append(ids, t.id)
		}
	}
	return ids
}

// HandleHeartbeat takes what a replica said; changed is true where others must learn of it.
func (r *Registry) HandleHeartbeat(nowUs int64, status ReplicaStatus) (changed bool) {
	changed = r.receive(nowUs, nowUs, nowUs-r.ReadDelayUs, status)
	if e := r.entries[status.ID]; e != nil {
		e.lastDirectUs = nowUs
	}
	return changed
}

func (r *Registry) receive(nowUs, heartbeatUs, confirmedUs int64, status ReplicaStatus) bool {
	e := r.entries[status.ID]
	if e == nil {
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
		e = &Entry{ReplicaStatus: status, LastHeartbeatUs: heartbeatUs, ConfirmedUs: confirmedUs, lastSeq: status.Seq}
		e.setEnd(heartbeatUs, status.RemainingMs)
		r.entries[status.ID], r.sortedIDs = e, nil
		r.recordChange(e)
		return true
	}
	if e.Removed {
		return false
	}
	if status.Seq <= e.lastSeq && !status.Removed {
		return false
	}
	e.lastSeq = max(e.lastSeq, status.Seq)
	e.LastHeartbeatUs, e.ConfirmedUs = max(e.LastHeartbeatUs, heartbeatUs), max(e.ConfirmedUs, confirmedUs)
	changed := !e.equivalent(&status)
	if e.Unreachable && nowUs-heartbeatUs < r.UnreachableAfterUs {
		e.Unreachable, changed = false, true
	}
	remainingMs, draining, stage := e.RemainingMs, e.Draining, e.Stage
	e.ReplicaStatus = status
	e.setEnd(heartbeatUs, status.RemainingMs)
	if status.Stage == "" {
		e.Stage = stage
	}
	if draining && status.Draining && remainingMs > 0 && status.RemainingMs == 0 {
		e.RemainingMs = remainingMs
	}
	if changed {
		r.recordChange(e)
	}
	return changed
}

// Remove notes that an incarnation of a replica has ended; no later word of it counts.
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

// Sweep marks those not heard for too long as unreachable and forgets those long gone.
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

// IDs are all incarnations in order; the list must not be changed.
func (r *Registry) IDs() []string {
	if r.sortedIDs == nil {
		r.sortedIDs = slices.Sorted(maps.Keys(r.entries))
	}
	return r.sortedIDs
}

// Entry is the entry of one incarnation; nil where it is not known.
func (r *Registry) Entry(id string) *Entry { return r.entries[id] }

// Len is how many incarnations are known, those that have ended among them.
func (r *Registry) Len() int { return len(r.entries) }
