package registry

import "petreltide/internal/process/clock"

// Entry is a control node's record of one incarnation. Times are in us of the control node's own clock.
type Entry struct {
	// ReplicaStatus is the newest status. Its Seq may be lower than that of the last heartbeat, as gossip may confirm a status
	// without sending it.
	ReplicaStatus
	// LastHeartbeatUs is when a control node received the newest heartbeat; for a removed incarnation, when it was removed.
	LastHeartbeatUs int64
	// ConfirmedUs is the latest time at which the status is known to have been valid.
	ConfirmedUs int64
	// EndUs is the time at which the replica announced it will end; 0 where it announced none.
	EndUs int64
	// Revision is the registry's revision at the entry's last change.
	Revision uint64
	// Unreachable reports that the replica's heartbeats are overdue.
	Unreachable bool

	// lastSeq is the highest sequence number received.
	lastSeq uint64
	// checksum is the checksum of ReplicaStatus at its last recorded change.
	checksum uint32
	// lastDirectUs is when this control node itself last received a heartbeat of the replica; 0 where it never did.
	lastDirectUs int64
	// gossipedUs is when the last gossip round to all control nodes ended.
	gossipedUs int64
}

// setStatus replaces the status. It keeps the previous stage, and the remaining time of a draining replica, where the new
// status omits them.
func (e *Entry) setStatus(heartbeatUs int64, status ReplicaStatus) {
	before := e.ReplicaStatus
	e.ReplicaStatus = status
	e.setEnd(heartbeatUs, status.RemainingMs)
	if status.Stage == "" {
		e.Stage = before.Stage
	}
	if before.Draining && status.Draining && before.RemainingMs > 0 && status.RemainingMs == 0 {
		e.RemainingMs = before.RemainingMs
	}
}

// setEnd sets EndUs for a replica that announced its remaining time.
func (e *Entry) setEnd(heartbeatUs, remainingMs int64) {
	if remainingMs > 0 {
		e.EndUs = heartbeatUs + remainingMs*clock.Ms
	}
}
