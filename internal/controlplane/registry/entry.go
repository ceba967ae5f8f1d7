package registry

import "petreltide/internal/process/clock"

// Entry is what a control node knows of one incarnation. Times are by the control node's own clock.
type Entry struct {
	// ReplicaStatus is the newest status. Its Seq may be lower than that of the last heartbeat: gossip may confirm a
	// status without sending it.
	ReplicaStatus
	// LastHeartbeatUs is when the newest heartbeat came to some control node; of a removed incarnation, when it was removed.
	LastHeartbeatUs int64
	// ConfirmedUs is the latest time at which the status surely still held.
	ConfirmedUs int64
	// EndUs is when the replica said that its time is up; 0 where it named none.
	EndUs int64
	// Revision is the registry's at the entry's last change.
	Revision uint64
	// Unreachable says that no heartbeat has come for too long.
	Unreachable bool

	// lastSeq is the highest sequence number received.
	lastSeq  uint64
	checksum uint32
	// lastDirectUs is when this control node itself received a heartbeat; 0 where it never did.
	lastDirectUs int64
	// gossipedUs is when the last round of gossip to all control nodes ended.
	gossipedUs int64
}

// setStatus replaces the status, but keeps a stage or a remaining time that the new one leaves out.
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

// setEnd computes when a replica that named its remaining time is taken away.
func (e *Entry) setEnd(heartbeatUs, remainingMs int64) {
	if remainingMs > 0 {
		e.EndUs = heartbeatUs + remainingMs*clock.Ms
	}
}
