// Package registry holds one control node's soft state of the replicas that register by heartbeats. It keeps the newest status
// of each replica by the replica's own sequence numbers, exchanges statuses with the other control nodes by gossip, and marks
// a replica as unreachable after a timeout. Package controlnode drives it; packages controller and distribution read it.
//
// Invariants:
//   - The registry writes nothing to disk or to the replicated log, and makes no placement decisions.
//   - An incarnation that was removed stays removed until it is forgotten, whatever heartbeats or gossip arrive late.
//   - At most one incarnation per address is not removed.
//   - A control node that was paused does not mark replicas as unreachable for heartbeats missed during its own pause.
//
// A Registry is not safe for concurrent use.
package registry
