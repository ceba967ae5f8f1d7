package registry

// precedence is how an incarnation that is new to this control node stands to the known one at its address.
type precedence int

const (
	// later: no other incarnation has sent from its address, or not for a while.
	later precedence = iota
	// earlier: a heartbeat of the known one came well after it.
	earlier
	// undecided: heartbeats of both came at about the same time. One may come seconds late, also one of the predecessor,
	// so the incarnation that goes on sending is the later; the other falls silent.
	undecided
)

// conflictTenths is the part of UnreachableAfterUs, in tenths, within which heartbeats of two incarnations count as sent
// at about the same time: one and a half intervals where a replica is unreachable after two and a half.
const conflictTenths = 6

// resolveConflict compares a new incarnation with those at its address that are not removed.
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
