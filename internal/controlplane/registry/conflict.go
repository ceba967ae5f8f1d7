package registry

// precedence is the order of an incarnation that is new to this control node relative to the known one at its address.
type precedence int

const (
	// later means that no other incarnation has sent heartbeats from the address, or none recently.
	later precedence = iota
	// earlier means that the known incarnation sent a heartbeat well after the new one.
	earlier
	// undecided means that heartbeats of both arrived at about the same time. A heartbeat may arrive seconds late, including
	// one of the predecessor, so the incarnation that continues to send is the later one; the other stops sending.
	undecided
)

// conflictTenths is the fraction of UnreachableAfterUs, in tenths, within which heartbeats of two incarnations count as sent
// at about the same time. This is one and a half heartbeat intervals where a replica is unreachable after two and a half.
const conflictTenths = 6

// resolveConflict returns the precedence of a new incarnation over those at its address that are not removed.
func (r *Registry) resolveConflict(status *ReplicaStatus, heartbeatUs int64) precedence {
	withinUs := r.UnreachableAfterUs * conflictTenths / 10
	result := later
	for _, other := range r.entries {
		switch {
		case other.Addr != status.Addr || other.Removed:
		case heartbeatUs < other.LastHeartbeatUs-withinUs:
			result = earlier
		case heartbeatUs < other.LastHeartbeatUs+withinUs:
			return undecided
		}
	}
	return result
}
