package registry

import "petreltide/internal/process/clock"

// GossipEntry is what one control node tells another of a replica: the status where it may be new to the other, else
// only that a heartbeat came, with a checksum of the status.
type GossipEntry struct {
	ID string `json:"id"`
	// Seq is of the newest heartbeat.
	Seq uint64 `json:"seq"`
	// Checksum is of the status that the sender has.
	Checksum uint32 `json:"mark"`
	// AgeMs is how long ago the newest heartbeat came, in ms.
	AgeMs int64 `json:"agoMs"`
	// ConfirmedAgeMs is how long ago the status surely still held, in ms: a heartbeat may have lain unread.
	ConfirmedAgeMs int64 `json:"saidMs"`
	// Status is nil where it has not changed.
	Status *ReplicaStatus `json:"row,omitempty"`
}

// Merge takes another control node's gossip, and reports whether it changed anything that others must learn of. Where an
// entry without a status names one that this control node does not have, a resync is due. Removals come first, as
// another incarnation may have the address by now.
func (r *Registry) Merge(nowUs int64, entries []GossipEntry) (changed bool) {
	for _, gossip := range entries {
		if gossip.Status != nil && gossip.Status.Removed {
			changed = r.Remove(nowUs, gossip.ID) || changed
		}
	}
	for _, gossip := range entries {
		switch heartbeatUs, confirmedUs := nowUs-gossip.AgeMs*clock.Ms, nowUs-r.ReadDelayUs-gossip.ConfirmedAgeMs*clock.Ms; {
		case gossip.Status == nil:
			changed = r.confirm(nowUs, heartbeatUs, confirmedUs, gossip) || changed
		case !gossip.Status.Removed:
			changed = r.receive(nowUs, heartbeatUs, confirmedUs, *gossip.Status) || changed
		}
	}
	return changed
}

// confirm takes gossip without a status: the one that is known still holds, or it has been missed and a resync is due.
func (r *Registry) confirm(nowUs, heartbeatUs, confirmedUs int64, gossip GossipEntry) (changed bool) {
	e := r.entries[gossip.ID]
	if e == nil || (!e.Removed && gossip.Seq > e.lastSeq && gossip.Checksum != e.checksum) {
		r.needsResync = true
		return false
	}
	if e.Removed || gossip.Seq <= e.lastSeq {
		return false
	}
	e.lastSeq = gossip.Seq
	e.LastHeartbeatUs, e.ConfirmedUs = max(e.LastHeartbeatUs, heartbeatUs), max(e.ConfirmedUs, confirmedUs)
	if !e.Unreachable || nowUs-heartbeatUs >= r.UnreachableAfterUs {
		return false
	}
	e.Unreachable = false
	r.recordChange(e)
	return true
}

// ConsumeResyncRequest returns true once after gossip named something that this control node has missed.
func (r *Registry) ConsumeResyncRequest() bool {
	needed := r.needsResync
	r.needsResync = false
	return needed
}

// GossipSince returns the gossip for control nodes that have had everything up to a revision of this registry; 0 for all.
// It holds the statuses that changed and, with includeAlive, a sign of life of replicas whose heartbeat came to this
// control node since EndGossipRound, and the removals of the last seconds once more.
func (r *Registry) GossipSince(nowUs int64, since uint64, includeAlive bool) []GossipEntry {
	gossip := []GossipEntry{}
	for _, id := range r.IDs() {
		e := r.entries[id]
		updated := e.Revision > since || (includeAlive && e.Removed && nowUs-e.LastHeartbeatUs < removedGossipUs)
		if !updated && (!includeAlive || e.Removed || e.Unreachable || e.lastDirectUs <= e.gossipedUs) {
			continue
		}
		entry := e.gossip(nowUs)
		if updated {
			entry.Status = e.gossipStatus()
		}
		gossip = append(gossip, entry)
	}
	return gossip
}

// GossipOf returns the status of one replica for other control nodes; nil where it is not known.
func (r *Registry) GossipOf(nowUs int64, id string) []GossipEntry {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	entry := e.gossip(nowUs)
	entry.Status = e.gossipStatus()
	return []GossipEntry{entry}
}

// gossip is a sign of life without the status.
func (e *Entry) gossip(nowUs int64) GossipEntry {
	return GossipEntry{ID: e.ID, Seq: e.lastSeq, Checksum: e.checksum, AgeMs: (nowUs - e.LastHeartbeatUs) / clock.Ms, ConfirmedAgeMs: (nowUs - e.ConfirmedUs) / clock.Ms}
}

// gossipStatus is the status for other control nodes, with the remaining time counted from the last heartbeat.
func (e *Entry) gossipStatus() *ReplicaStatus {
	status := e.ReplicaStatus
	status.Seq = e.lastSeq
	if e.EndUs > 0 && status.RemainingMs > 0 {
		status.RemainingMs = max(1, (e.EndUs-e.LastHeartbeatUs)/clock.Ms)
	}
	return &status
}

// EndGossipRound ends a round of gossip to all other control nodes.
func (r *Registry) EndGossipRound(nowUs int64) {
	for _, e := range r.entries {
		e.gossipedUs = nowUs
	}
}
