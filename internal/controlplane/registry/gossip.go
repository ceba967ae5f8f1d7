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
func (r *Registry) Merge(nowUs int64, entries []GossipEntry) (changed bool) {
	for _, gossip := range entries {
		if gossip.Status != nil && gossip.Status.Removed {
			changed = r.Remove(nowUs, gossip.ID) || changed
		}
	}
	for _, gossip := range entries {
		heartbeatUs, confirmedUs := nowUs-gossip.AgeMs*1000, nowUs-r.ReadDelayUs-gossip.ConfirmedAgeMs*1000
		if gossip.Status != nil {
			if gossip.Status.Removed {
				continue
			}
			changed = r.receive(nowUs, heartbeatUs, confirmedUs, *gossip.Status) || changed
			continue
		}
		e := r.entries[gossip.ID]
		if e == nil || (!e.Removed && gossip.Seq > e.lastSeq && gossip.Checksum != e.checksum) {
			r.needsResync = true
			continue
		}
		if !e.Removed && gossip.Seq > e.lastSeq {
			e.lastSeq = gossip.Seq
			e.LastHeartbeatUs, e.ConfirmedUs = max(e.LastHeartbeatUs, heartbeatUs), max(e.ConfirmedUs, confirmedUs)
			if e.Unreachable && nowUs-heartbeatUs < r.UnreachableAfterUs {
				e.Unreachable, changed = false, true
				r.recordChange(e)
			}
		}
	}
	return changed
}

// TakeResyncRequest is true once after a note told of something this control node has missed.
func (r *Registry) TakeResyncRequest() bool {
	needed := r.needsResync
	r.needsResync = false
	return needed
}

// GossipSince are for other control nodes that have had everything up to a revision of this roster, or who ask for all
// with 0: rows that changed, and a sign of life of those that this control node itself heard since it last told.
// What has ended is told for some seconds: no later word would show that it was missed.
func (r *Registry) GossipSince(nowUs int64, since uint64, includeAlive bool) []GossipEntry {
	gossip := []GossipEntry{}
	for _, id := range r.IDs() {
		e := r.entries[id]
		updated := e.Revision > since || (includeAlive && e.Removed && nowUs-e.LastHeartbeatUs < removedGossipUs)
		if !updated && (!includeAlive || e.Removed || e.Unreachable || e.lastDirectUs <= e.gossipedUs) {
			continue
		}
		n := e.gossip(nowUs)
		if updated {
			n.Status = e.gossipStatus()
		}
		gossip = append(gossip, n)
	}
	return gossip
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
	status := e.ReplicaStatus
	status.Seq = e.lastSeq
	if e.EndUs > 0 && status.RemainingMs > 0 {
		status.RemainingMs = max(1, (e.EndUs-e.LastHeartbeatUs)/clock.Ms)
	}
	return &status
}

// MarkGossiped ends one telling of signs of life to all other control nodes.
func (r *Registry) MarkGossiped(nowUs int64) {
	for _, e := range r.entries {
		e.gossipedUs = nowUs
	}
}
