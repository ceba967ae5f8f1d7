package registry

import "petreltide/internal/process/clock"

// GossipEntry is one control node's message to another about a replica. It carries the status where the receiver may not have
// it, and otherwise only reports a heartbeat, with a checksum of the status.
type GossipEntry struct {
	ID string `json:"id"`
	// Seq is the sequence number of the newest heartbeat.
	Seq uint64 `json:"seq"`
	// Checksum is the checksum of the sender's status.
	Checksum uint32 `json:"mark"`
	// AgeMs is the time since the newest heartbeat was received, in ms.
	AgeMs int64 `json:"agoMs"`
	// ConfirmedAgeMs is the time since the status was last known to be valid, in ms. It may exceed AgeMs, as a heartbeat may
	// have waited unread in a socket.
	ConfirmedAgeMs int64 `json:"saidMs"`
	// Status is nil where the status has not changed.
	Status *ReplicaStatus `json:"row,omitempty"`
}

// Merge applies another control node's gossip and reports whether it changed anything that must be propagated. A resync is
// requested where an entry without a status refers to a status that this control node does not have. Removals are applied
// first, as another incarnation may use the address by now.
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

// confirm applies gossip without a status: it confirms the known status, or requests a resync where this control node missed
// the status.
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

// ConsumeResyncRequest reports whether gossip referred to a status that this control node missed, and clears the request.
func (r *Registry) ConsumeResyncRequest() bool {
	needed := r.needsResync
	r.needsResync = false
	return needed
}

// GossipSince returns the gossip for control nodes that have received everything up to a revision of this registry; 0 returns
// all. It contains the statuses that changed. With includeAlive it also contains a confirmation for each replica whose
// heartbeat this control node received since EndGossipRound, and repeats the removals of the last removedGossipUs.
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

// GossipOf returns the status of one replica as gossip for other control nodes; nil where the replica is not known.
func (r *Registry) GossipOf(nowUs int64, id string) []GossipEntry {
	e := r.entries[id]
	if e == nil {
		return nil
	}
	entry := e.gossip(nowUs)
	entry.Status = e.gossipStatus()
	return []GossipEntry{entry}
}

// gossip returns a gossip entry without the status.
func (e *Entry) gossip(nowUs int64) GossipEntry {
	return GossipEntry{ID: e.ID, Seq: e.lastSeq, Checksum: e.checksum, AgeMs: (nowUs - e.LastHeartbeatUs) / clock.Ms, ConfirmedAgeMs: (nowUs - e.ConfirmedUs) / clock.Ms}
}

// gossipStatus returns the status for other control nodes, with the remaining time counted from the last heartbeat.
func (e *Entry) gossipStatus() *ReplicaStatus {
	status := e.ReplicaStatus
	status.Seq = e.lastSeq
	if e.EndUs > 0 && status.RemainingMs > 0 {
		status.RemainingMs = max(1, (e.EndUs-e.LastHeartbeatUs)/clock.Ms)
	}
	return &status
}

// EndGossipRound records that a gossip round to all other control nodes has ended.
func (r *Registry) EndGossipRound(nowUs int64) {
	for _, e := range r.entries {
		e.gossipedUs = nowUs
	}
}
