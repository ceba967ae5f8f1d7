package registry

import (
	"petreltide/internal/process/clock"
)

// GossipEntry is what one control node tells another of a replica: the whole row where it may be news, else only
// that it was heard, and a checksum of what it said.
type GossipEntry struct {
	ID       string `json:"id"`
	Seq      uint64 `json:"seq"`
	Checksum uint32 `json:"mark"`
	AgeMs    int64  `json:"agoMs"`
	// ConfirmedAgeMs ago is since when what it says surely holds: a word may have lain unread.
	ConfirmedAgeMs int64          `json:"saidMs"`
	Status         *ReplicaStatus `json:"row,omitempty"`
}

// Merge takes another control node's notes. Where one tells of a row that this control node does not have as new,
// it asks for all rows. Ends come first, as another incarnation may have its address by now.
func (r *Registry) Merge(nowUs int64, notes []GossipEntry) (changed bool) {
	for _, n := range notes {
		if n.Status != nil && n.Status.Removed {
			changed = r.Remove(nowUs, n.ID) || changed
		}
	}
	for _, n := range notes {
		heardUs, saidUs := nowUs-n.AgeMs*1000, nowUs-r.ReadDelayUs-n.ConfirmedAgeMs*1000
		if n.Status != nil {
			if n.Status.Removed {
				continue
			}
			changed = r.receive(nowUs, heardUs, saidUs, *n.Status) || changed
			continue
		}
		e := r.entries[n.ID]
		if e == nil || (!e.Removed && n.Seq > e.lastSeq && n.Checksum != e.checksum) {
			r.needsResync = true
			continue
		}
		if !e.Removed && n.Seq > e.lastSeq {
			e.lastSeq = n.Seq
			e.LastHeartbeatUs, e.ConfirmedUs = max(e.LastHeartbeatUs, heardUs), max(e.ConfirmedUs, saidUs)
			if e.Unreachable && nowUs-heardUs < r.UnreachableAfterUs {
				e.Unreachable, changed = false, true
				r.recordChange(e)
			}
		}
	}
	return changed
}

// TakeResyncRequest is true once after a note told of something this control node has missed.
func (r *Registry) TakeResyncRequest() bool {
	w := r.needsResync
	r.needsResync = false
	return w
}

// GossipSince are for other control nodes that have had everything up to a revision of this roster, or who ask for all
// with 0: rows that changed, and a sign of life of those that this control node itself heard since it last told.
// What has ended is told for some seconds: no later word would show that it was missed.
func (r *Registry) GossipSince(nowUs int64, since uint64, alive bool) []GossipEntry {
	notes := []GossipEntry{}
	for _, id := range r.IDs() {
		e := r.entries[id]
		news := e.Revision > since || (alive && e.Removed && nowUs-e.LastHeartbeatUs < removedGossipUs)
		if !news && (!alive || e.Removed || e.Unreachable || e.lastDirectUs <= e.gossipedUs) {
			continue
		}
		n := e.gossip(nowUs)
		if news {
			n.Status = e.gossipStatus()
		}
		notes = append(notes, n)
	}
	return notes
}

// GossipOf is the whole row of one replica, if it is known.
func (r *Registry) GossipOf(nowUs int64, id string) []GossipEntry {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	n := e.gossip(nowUs)
	n.Status = e.gossipStatus()
	return []GossipEntry{n}
}

func (e *Entry) gossip(nowUs int64) GossipEntry {
	return GossipEntry{ID: e.ID, Seq: e.lastSeq, Checksum: e.checksum, AgeMs: (nowUs - e.LastHeartbeatUs) / 1000, ConfirmedAgeMs: (nowUs - e.ConfirmedUs) / 1000}
}

// gossipStatus is the row as other control nodes are told it.
func (e *Entry) gossipStatus() *ReplicaStatus {
	row := e.ReplicaStatus
	row.Seq = e.lastSeq
	if e.EndUs > 0 && row.RemainingMs > 0 {
		row.RemainingMs = max(1, (e.EndUs-e.LastHeartbeatUs)/clock.Ms)
	}
	return &row
}

// MarkGossiped ends one telling of signs of life to all other control nodes.
func (r *Registry) MarkGossiped(nowUs int64) {
	for _, e := range r.entries {
		e.gossipedUs = nowUs
	}
}
