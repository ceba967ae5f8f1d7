package registry

// precedence is how an incarnation that was never heard of stands to the one at its address.
type precedence int

const (
	// later: nobody else speaks from its address, or has not for a while.
	later precedence = iota
	// earlier: the one that is known was heard well after it.
	earlier
	// undecided: both were heard at about the same time. A word may come seconds late, also one of the incarnation
	// before, so that the one that goes on speaking is right; the other falls silent.
	undecided
)

// conflictTenths is the part of UnreachableAfterUs, in tenths, within which two incarnations were heard at about the same time: one
// and a half heartbeats where an incarnation is unreachable after two and a half.
const conflictTenths = 6

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
